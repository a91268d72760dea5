"""Histories of concurrent clients under faults of processes and links."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path

from tests.common import failed_exits
from tests.soak.checks import check_configuration, check_keys
from tests.soak.clients import Clients
from tests.soak.faults import plan_rounds, run_rounds
from tests.soak.fleet import SoakFleet, soak_fleet, until_ready

MAX_ROUNDS = 1000
MAX_SHOWN = 30
READY_TIMEOUT_S = 60
CLIENT_TIMEOUT_S = 60


async def test_histories_under_faults(
    tmp_path: Path,
    soak_seed: int,
    soak_seconds: float,
) -> None:
    """Guards against violations that only combined faults cause."""
    rng = random.Random(soak_seed)
    rounds = plan_rounds(rng, MAX_ROUNDS)
    schedule = [f'seed {soak_seed}, {soak_seconds} s']
    print('', *schedule, sep='\n')
    async with soak_fleet(tmp_path, rng) as soak:
        clients = Clients(soak, soak_seed)
        clients.start()
        try:
            await run_rounds(soak, rounds, soak_seconds, schedule)
            await until_ready(soak, READY_TIMEOUT_S)
            await clients.stop(CLIENT_TIMEOUT_S)
            violations = await check(soak, clients)
            codes = await asyncio.to_thread(stop_all, soak)
        finally:
            # pytest shows this when the test fails.
            print(*schedule, sep='\n')
    violations += failed_exits(soak.group, codes)
    shown = [f'{len(violations)} violations', *violations[:MAX_SHOWN]]
    assert not violations, '\n'.join([*schedule, *shown])


async def check(soak: SoakFleet, clients: Clients) -> list[str]:
    """Return all violations of a run."""
    keys = sorted({attempt.key for attempt in clients.attempts})
    outcomes_by_key: dict[str, str] = {}
    for key in keys:
        status, body = await clients.lookup(key)
        assert status in {200, 404}, f'look-up of {key}: {status} {body}'
        is_known = status == 200
        outcomes_by_key[key] = str(body['outcome']) if is_known else ''
    executions = [
        execution
        for name, target in soak.targets_by_name.items()
        if name.startswith('desk')
        for execution in target.executions
    ]
    status, answer = await soak.operator_call(
        'GET',
        '/v1/configuration/history?after=1&limit=1000',
    )
    assert status == 200, answer
    history = {
        change['revision']: change['change_id'] for change in answer['changes']
    }
    outcomes = Counter(attempt.outcome for attempt in clients.attempts)
    print(
        f'{len(keys)} keys, {len(clients.attempts)} attempts {dict(outcomes)}, '
        f'{len(executions)} executions, '
        f'{len(clients.changes_by_revision)} accepted changes, '
        f'{len(clients.recorder.operations)} configuration operations, '
        f'{len(clients.served)} answers that show a revision',
    )
    return [
        *check_keys(clients.attempts, executions, outcomes_by_key),
        *check_configuration(clients, history),
    ]


def stop_all(soak: SoakFleet) -> dict[str, int]:
    """Stop all processes; return the exit codes that are not 0."""
    codes = soak.group.stop(soak.entries)
    codes |= soak.group.stop(soak.controls)
    return {name: code for name, code in codes.items() if code}
