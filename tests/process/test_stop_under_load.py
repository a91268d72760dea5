"""SIGTERM to an entry process under load."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import aiohttp

from tests.process.fleet import (
    CREDENTIAL,
    base_document,
    eventually,
    hosts,
    running_fleet,
)

WORKERS = 20
KINDS = {'reader': 'plain', 'engine': 'generation'}


def document() -> dict[str, Any]:
    """Return a fleet with a pipeline for plain and one for stream answers."""
    fleet = base_document(
        {name: {'kind': kind} for name, kind in KINDS.items()}
    )
    for target in fleet['targets_by_name'].values():
        target['concurrency'] = 100
    fleet['hosts_by_name'] = hosts(1, 1)
    fleet['pipelines_by_name'] = {
        name: {'stages': [{'name': name, 'service': name}]} for name in KINDS
    }
    return fleet


async def test_stop_cuts_off_no_request(tmp_path: Path) -> None:
    """Guards against requests that SIGTERM cuts off.

    A load balancer polls readiness every 0.2 s, and callers send on new
    connections until it removes the host. Each request must end in a
    complete answer or in a refusal with the reason `stopping`.
    """
    counts_by_result: dict[str, int] = {}
    with running_fleet(tmp_path, document()) as fleet:
        for target in fleet.plan.addresses.targets_by_name:
            fleet.override_settings(target, service_ms=150)
        fleet.start()
        await eventually(fleet.all_ready, 40)
        caller = fleet.plan.addresses.callers_by_entry['entry-1']
        async with aiohttp.ClientSession(
            f'http://{caller}',
            connector=aiohttp.TCPConnector(force_close=True),
        ) as session:
            removed = asyncio.Event()
            work = asyncio.gather(
                poll_readiness(session, removed),
                *(
                    call_until_stopped(
                        session, number, removed, counts_by_result
                    )
                    for number in range(WORKERS)
                ),
            )
            await asyncio.sleep(1)
            stopping = asyncio.to_thread(fleet.group.stop, ['entry-1'])
            async with asyncio.timeout(20):
                stopped, _ = await asyncio.gather(stopping, work)
    assert stopped == {'entry-1': 0}
    assert set(counts_by_result) <= {'answered', 'stopping'}, counts_by_result
    assert counts_by_result['answered'] > WORKERS


async def poll_readiness(
    session: aiohttp.ClientSession,
    removed: asyncio.Event,
) -> None:
    """Poll readiness as a load balancer; remove the host on a failure."""
    while not removed.is_set():
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get('/readyz') as response:
                if response.status == 200:
                    await asyncio.sleep(0.2)
                    continue
        removed.set()


async def call_until_stopped(
    session: aiohttp.ClientSession,
    number: int,
    removed: asyncio.Event,
    counts_by_result: dict[str, int],
) -> None:
    """Send requests until the host is removed; count their results."""
    while not removed.is_set():
        result = await send_one(session, number)
        counts_by_result[result] = counts_by_result.get(result, 0) + 1


async def send_one(session: aiohttp.ClientSession, number: int) -> str:
    """Send one request and return its result."""
    pipeline = tuple(KINDS)[number % 2]
    body: dict[str, Any] = {
        'input': {'prompt': f'p {number}'},
        'stream': pipeline == 'engine',
    }
    try:
        async with session.post(
            f'/v1/pipelines/{pipeline}/requests',
            json=body,
            headers={'Authorization': f'Bearer {CREDENTIAL}'},
        ) as response:
            text = await response.text()
    except aiohttp.ClientError as error:
        return f'cut off: {error!r}'
    if response.status == 503 and '"reason":"stopping"' in text:
        return 'stopping'
    if response.status != 200 or '"outcome":"answered"' not in text:
        return f'failed: {response.status} {text[-200:]}'
    return 'answered'
