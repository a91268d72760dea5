"""SIGTERM of an entry process that serves callers at that moment."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import Any

import aiohttp

from tests.common import (
    digest_of,
    free_address,
    running,
    wait_listening,
    write_toml,
)

WORKERS = 20
KINDS = {'reader': 'plain', 'engine': 'generation'}


def write_settings(folder: Path, caller: str) -> dict[str, Path]:
    """Write the settings of an entry process and two targets."""
    addresses = {name: free_address() for name in KINDS}
    paths = {
        name: write_toml(
            folder / f'{name}.toml',
            {
                'name': name,
                'address': addresses[name],
                'service': name,
                'kind': kind,
                'service_ms': 150,
                'concurrency': 100,
            },
        )
        for name, kind in KINDS.items()
    }
    paths['fleet'] = write_toml(
        folder / 'fleet.toml',
        {
            'fleet': {'name': 'test'},
            'data_centres_by_name': {'dc-a': {'region': 'r'}},
            'services_by_name': {
                name: {'kind': kind} for name, kind in KINDS.items()
            },
            'targets_by_name': {
                name: {
                    'service': name,
                    'data_centre': 'dc-a',
                    'address': address,
                    'concurrency': 100,
                }
                for name, address in addresses.items()
            },
            'accounts_by_name': {
                'cement': {'credential_sha256': digest_of('cement')},
            },
            'pipelines_by_name': {
                name: {'stages': [{'name': name, 'service': name}]}
                for name in KINDS
            },
        },
    )
    paths['entry'] = write_toml(
        folder / 'entry.toml',
        {
            'host': {'name': 'entry-1', 'data_centre': 'dc-a', 'fleet': 'test'},
            'caller': {'address': caller},
            'peering': {'address': free_address()},
            'controls_by_name': {'control-1': free_address()},
            'stop': {'balancer_wait_s': 0.5},
        },
    )
    for address in addresses.values():
        paths[address] = Path()
    return paths


async def test_stop_cuts_off_no_request(tmp_path: Path) -> None:
    """Guards against requests cut off by SIGTERM.

    A load balancer looks at readiness every 0.2 s, and callers send on new
    connections until it takes the host away. Every request that was sent
    must end in a whole answer or in `stopping`.
    """
    caller = free_address()
    paths = write_settings(tmp_path, caller)
    ends: dict[str, int] = {}
    with contextlib.ExitStack() as stack:
        for name in KINDS:
            arguments = ('target', 'run', '--settings', str(paths[name]))
            stack.enter_context(running(tmp_path / 'log', *arguments))
        process = stack.enter_context(
            running(
                tmp_path / 'log',
                'entry',
                'run',
                '--settings',
                str(paths['entry']),
                '--fleet',
                str(paths['fleet']),
            ),
        )
        for address in (caller, *(key for key in paths if ':' in key)):
            wait_listening(address)
        async with aiohttp.ClientSession(
            f'http://{caller}',
            connector=aiohttp.TCPConnector(force_close=True),
        ) as session:
            taken_away = asyncio.Event()
            work = asyncio.gather(
                balance(session, taken_away),
                *(
                    call_until_stopped(session, number, taken_away, ends)
                    for number in range(WORKERS)
                ),
            )
            await asyncio.sleep(1)
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(20):
                await work
        code = await asyncio.to_thread(process.wait, 20)
    assert code == 0
    assert set(ends) <= {'answered', 'stopping'}, ends
    assert ends['answered'] > WORKERS


async def balance(
    session: aiohttp.ClientSession,
    taken_away: asyncio.Event,
) -> None:
    """Look at readiness and take the host away once it fails."""
    while not taken_away.is_set():
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get('/readyz') as response:
                if response.status == 200:
                    await asyncio.sleep(0.2)
                    continue
        taken_away.set()


async def call_until_stopped(
    session: aiohttp.ClientSession,
    number: int,
    taken_away: asyncio.Event,
    ends: dict[str, int],
) -> None:
    """Send requests until the host is taken away; count how they end."""
    while not taken_away.is_set():
        end = await one_end(session, number)
        ends[end] = ends.get(end, 0) + 1


async def one_end(session: aiohttp.ClientSession, number: int) -> str:
    """Send one request and return how it ended."""
    pipeline = tuple(KINDS)[number % 2]
    body: dict[str, Any] = {
        'input': {'prompt': f'p {number}'},
        'stream': pipeline == 'engine',
    }
    try:
        async with session.post(
            f'/v1/pipelines/{pipeline}/requests',
            json=body,
            headers={'Authorization': 'Bearer cement'},
        ) as response:
            text = await response.text()
    except aiohttp.ClientError as error:
        return f'cut off: {error!r}'
    if response.status == 503 and '"reason":"stopping"' in text:
        return 'stopping'
    if response.status != 200 or '"outcome":"answered"' not in text:
        return f'failed: {response.status} {text[-200:]}'
    return 'answered'
