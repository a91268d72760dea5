"""A request through separate processes, from caller to targets."""

from __future__ import annotations

import contextlib
import signal
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from hornbeamline.helpers.codec import encode_json
from tests.common import (
    digest_of,
    free_address,
    running,
    wait_listening,
    write_toml,
)
from tests.serving import expected_tokens

SERVICES = {
    'encoder': 'encoding',
    'ledger': 'retrieval',
    'ranker': 'reranking',
    'drafting': 'generation',
}


def fleet_document(addresses: dict[str, str]) -> dict[str, Any]:
    """Return a small fleet with one target per service."""
    return {
        'fleet': {'name': 'test'},
        'data_centres_by_name': {'dc-a': {'region': 'r'}},
        'services_by_name': {
            name: {'kind': kind} for name, kind in SERVICES.items()
        },
        'targets_by_name': {
            f'{name}-1': {
                'service': name,
                'data_centre': 'dc-a',
                'address': addresses[name],
            }
            for name in SERVICES
        },
        'accounts_by_name': {
            'cement': {'credential_sha256': digest_of('cement-credential')},
        },
        'pipelines_by_name': {
            'report': {
                'stages': [
                    {'name': kind, 'service': name}
                    for name, kind in SERVICES.items()
                ],
            },
        },
    }


@pytest.fixture
def caller_address(tmp_path: Path):
    """Run one entry process and four targets; yield the caller address."""
    addresses = {name: free_address() for name in SERVICES}
    fleet = write_toml(tmp_path / 'fleet.toml', fleet_document(addresses))
    caller = free_address()
    entry = write_toml(
        tmp_path / 'entry.toml',
        {
            'host': {'name': 'entry-1', 'data_centre': 'dc-a', 'fleet': 'test'},
            'caller': {'address': caller},
            'peering': {'address': free_address()},
            'controls_by_name': {'control-1': free_address()},
            'stop': {'balancer_wait_s': 0},
        },
    )
    with contextlib.ExitStack() as stack:
        for name, address in addresses.items():
            path = write_toml(
                tmp_path / f'{name}.toml',
                {
                    'name': f'{name}-1',
                    'address': address,
                    'service': name,
                    'kind': SERVICES[name],
                },
            )
            stack.enter_context(
                running(
                    tmp_path / 'log',
                    'target',
                    'run',
                    '--settings',
                    str(path),
                )
            )
        process = stack.enter_context(
            running(
                tmp_path / 'log',
                'entry',
                'run',
                '--settings',
                str(entry),
                '--fleet',
                str(fleet),
            )
        )
        for address in (*addresses.values(), caller):
            wait_listening(address)
        yield caller
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0


async def test_request_crosses_all_stages(caller_address: str) -> None:
    """Guards against a stage that is skipped or answered by another."""
    async with aiohttp.ClientSession() as session:
        response = await session.post(
            f'http://{caller_address}/v1/pipelines/report/requests',
            headers={'Authorization': 'Bearer cement-credential'},
            json={'input': {'prompt': 'levy report'}},
        )
        answer = await response.json()
    assert response.status == 200, answer
    assert answer['outcome'] == 'answered'
    assert [cost['stage'] for cost in answer['costs']] == list(
        SERVICES.values(),
    )
    # The text of the stand-in engine depends on the whole prompt, so it
    # shows that each stage's output came to the last one.
    outputs = {
        kind: {
            'target': f'{name}-1',
            'stage': kind,
            'echo': {'prompt': 'levy report'},
        }
        for name, kind in tuple(SERVICES.items())[:-1]
    }
    prompt = f'levy report\n{encode_json(outputs).decode()}'
    assert answer['output']['text'] == expected_tokens(prompt, 64)


async def test_wrong_credential_is_refused(caller_address: str) -> None:
    """Guards against a request without a client account."""
    async with aiohttp.ClientSession() as session:
        response = await session.post(
            f'http://{caller_address}/v1/pipelines/report/requests',
            headers={'Authorization': 'Bearer wrong'},
            json={'input': {}},
        )
    assert response.status == 401
