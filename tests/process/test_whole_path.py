"""Requests through separate processes, from the caller to targets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import aiohttp
import pytest

from hornbeamline.helpers.codec import encode_json
from tests.process.fleet import (
    base_document,
    eventually,
    hosts,
    running_fleet,
)
from tests.serving import expected_tokens

SERVICES = {
    'encoder': 'encoding',
    'ledger': 'retrieval',
    'ranker': 'reranking',
    'drafting': 'generation',
}


@pytest.fixture(scope='module')
def caller_address(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[str]:
    """Run a fleet with four targets; yield the entry host's address."""
    document = base_document(
        {name: {'kind': kind} for name, kind in SERVICES.items()},
    )
    document['hosts_by_name'] = hosts(1, 1)
    document['pipelines_by_name']['report'] = {
        'stages': [
            {'name': kind, 'service': name} for name, kind in SERVICES.items()
        ],
    }
    with running_fleet(tmp_path_factory.mktemp('path'), document) as fleet:
        for target in fleet.plan.addresses.targets_by_name:
            fleet.override_settings(target)
        fleet.start()
        asyncio.run(eventually(fleet.all_ready, 40))
        yield fleet.plan.addresses.callers_by_entry['entry-1']
        assert set(fleet.stop_all().values()) == {0}


async def test_request_crosses_all_stages(caller_address: str) -> None:
    """Guards against a stage that is skipped or runs on a wrong target."""
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
    # shows that the last stage received the outputs of all others.
    expected_outputs = {
        kind: {
            'target': f'{name}-1',
            'stage': kind,
            'echo': {'prompt': 'levy report'},
        }
        for name, kind in tuple(SERVICES.items())[:-1]
    }
    prompt = f'levy report\n{encode_json(expected_outputs).decode()}'
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
