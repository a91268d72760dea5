"""Ledger and configuration while processes are killed and frozen."""

from __future__ import annotations

import asyncio
import copy
import os
import shutil
import signal
from collections.abc import Iterator
from typing import Any

import aiohttp
import pytest

from tests.common import write_toml
from tests.process.fleet import (
    Answer,
    Fleet,
    base_document,
    eventually,
    hosts,
    running_fleet,
)

# Long enough to kill the owner while the target works.
SERVICE_MS = 700


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run three control hosts, two entry hosts and the target of a desk.

    All tests of this module share the processes, since their start takes
    longer than most tests; each test must leave all of them working.
    """
    folder = tmp_path_factory.mktemp('fleet')
    document = base_document({'desk': {'kind': 'plain', 'idempotent': False}})
    document['hosts_by_name'] = hosts(3, 2)
    with running_fleet(folder, document) as running:
        running.override_settings('desk-1', service_ms=SERVICE_MS)
        running.start()
        asyncio.run(eventually(running.all_ready, 40))
        yield running


def with_queue_length(fleet: Fleet, queue_length: int) -> dict[str, Any]:
    """Return the fleet's document with another queue length."""
    document = copy.deepcopy(fleet.plan.document)
    document['rules'] = {'admission': {'queue_length': queue_length}}
    return document


async def send_until_final(fleet: Fleet, entry: str, key: str) -> Answer:
    """Resend a request until it is answered or its outcome stays unknown."""
    for _ in range(60):
        try:
            answer = await fleet.send(entry, key)
        except (aiohttp.ClientError, TimeoutError):
            answer = Answer(0, {})
        is_pending = answer.body.get('reason') in {None, 'in_progress'}
        is_lasting = answer.body.get('outcome') == 'unknown' and not is_pending
        if answer.status == 200 or is_lasting:
            return answer
        await asyncio.sleep(0.25)
    raise AssertionError(f'{key} has no final outcome: {answer}')


async def execution_counts(fleet: Fleet, *keys: str) -> list[int]:
    """Return how often the desk executed the requests of these keys."""
    counts = await fleet.executions('desk-1')
    names_by_key = {name.split('/')[1]: name for name in counts}
    return [counts.get(names_by_key.get(key, ''), 0) for key in keys]


async def test_killed_leader_loses_no_claim_and_no_change(
    fleet: Fleet,
) -> None:
    """Guards against lost claims and changes when the leader is killed."""
    first = await fleet.send('entry-1', 'before')
    assert first.status == 200, first
    revision = fleet.apply(with_queue_length(fleet, 11))['revision']
    leader = fleet.leader()
    sending = asyncio.create_task(fleet.send('entry-1', 'during'))
    await asyncio.sleep(SERVICE_MS / 2000)
    fleet.group.kill(leader)
    await asyncio.gather(sending, return_exceptions=True)
    after = await send_until_final(fleet, 'entry-2', 'after')
    assert after.status == 200, after
    assert fleet.apply(with_queue_length(fleet, 12))['revision'] == revision + 1
    for key in ('before', 'during'):
        again = await send_until_final(fleet, 'entry-2', key)
        assert again.status == 200, again
    fleet.start(leader)
    assert await execution_counts(fleet, 'before', 'during', 'after') == [
        1,
        1,
        1,
    ]
    assert fleet.status()['revision'] == revision + 1


async def test_killed_owner_leaves_unknown_and_one_execution(
    fleet: Fleet,
) -> None:
    """Guards against a second execution after the owner was killed."""
    sending = asyncio.create_task(fleet.send('entry-1', 'owner'))
    await asyncio.sleep(SERVICE_MS / 2000)
    fleet.group.kill('entry-1')
    await asyncio.gather(sending, return_exceptions=True)

    async def is_unknown() -> bool:
        found = await fleet.lookup('entry-2', 'owner')
        is_owner_lost = found.body.get('reason') == 'owner_lost'
        return found.body.get('outcome') == 'unknown' and is_owner_lost

    await eventually(is_unknown, 15)
    again = await fleet.send('entry-2', 'owner')
    assert again.body['outcome'] == 'unknown', again
    assert await execution_counts(fleet, 'owner') == [1]
    fleet.start('entry-1')
    await eventually(fleet.all_ready)


async def test_thawed_entry_serves_no_old_revision(fleet: Fleet) -> None:
    """Guards against a thawed host that still uses its expired lease."""
    fleet.group.freeze('entry-1')
    document = with_queue_length(fleet, 13)
    document['accounts_by_name']['cement']['credential_sha256'] = '0' * 64
    revision = fleet.apply(document)['revision']
    await asyncio.sleep(4.1)
    waiting = asyncio.create_task(fleet.send('entry-1', 'old'))
    await asyncio.sleep(0.2)
    fleet.group.thaw('entry-1')
    answer = await waiting
    assert answer.status in {401, 503}, answer
    assert await execution_counts(fleet, 'old') == [0]

    async def is_current() -> bool:
        return all(
            host['revision'] == revision and host['lease_left_s'] > 0
            for host in fleet.status()['hosts']
        )

    await eventually(is_current)
    fleet.apply(with_queue_length(fleet, 14))


async def test_crashed_process_shows_its_stacks(fleet: Fleet) -> None:
    """Guards against a crash in native code that leaves no trace."""
    os.kill(fleet.group.pid('entry-2'), signal.SIGSEGV)

    async def has_ended() -> bool:
        return 'entry-2' in fleet.group.exited()

    await eventually(has_ended)
    shown = fleet.group.log_of('entry-2')
    assert 'Fatal Python error: Segmentation fault' in shown
    assert 'asyncio/runners.py' in shown
    fleet.start('entry-2')
    await eventually(fleet.all_ready)


async def test_frozen_leader_is_replaced_and_returns(fleet: Fleet) -> None:
    """Guards against a deposed leader that still decides after a freeze."""
    frozen = fleet.leader()
    fleet.group.freeze(frozen)
    answer = await send_until_final(fleet, 'entry-1', 'frozen')
    assert answer.status == 200, answer
    revision = fleet.apply(with_queue_length(fleet, 15))['revision']
    fleet.group.thaw(frozen)
    again = await send_until_final(fleet, 'entry-2', 'frozen')
    assert again.status == 200, again
    assert await execution_counts(fleet, 'frozen') == [1]
    state = fleet.status()
    assert (state['leader'] != frozen, state['revision']) == (True, revision)


async def test_lost_quorum_refuses_and_full_restart_keeps_data(
    fleet: Fleet,
) -> None:
    """Guards against work without a quorum and data lost in a restart."""
    first = await send_until_final(fleet, 'entry-1', 'restart')
    assert first.status == 200, first
    revision = fleet.apply(with_queue_length(fleet, 16))['revision']
    for control in fleet.controls:
        fleet.group.kill(control)
    await asyncio.sleep(4.2)
    assert not await fleet.is_ready('entry-1')
    # Without the ledger a host cannot know whether another host executed
    # the request of a key.
    for key in ('restart', 'refused'):
        refused = await fleet.send('entry-2', key)
        assert refused.status == 504
        assert refused.body['outcome'] == 'unknown'
        assert refused.body['retry_after_s'] > 0
    fleet.start(*fleet.controls)
    await eventually(fleet.all_ready)
    again = await send_until_final(fleet, 'entry-2', 'restart')
    assert again.status == 200, again
    assert await execution_counts(fleet, 'restart', 'refused') == [1, 0]
    assert fleet.status()['revision'] == revision


async def test_emptied_voter_is_replaced_through_the_log(
    fleet: Fleet,
) -> None:
    """Guards against a voter that votes again after it lost its data."""
    leader = fleet.leader()
    lost = next(name for name in fleet.controls if name != leader)
    before = {voter['name']: voter for voter in fleet.status()['voters']}
    fleet.group.kill(lost)
    shutil.rmtree(fleet.folder / f'data-{lost}')
    fleet.start(lost)
    refused = await fleet.change_voter({'action': 'none', 'name': lost})
    assert (refused.status, refused.body['reason']) == (409, 'refused')

    async def is_replaced() -> bool:
        change = {'action': 'replace', 'name': lost}
        return (await fleet.change_voter(change)).status == 200

    await eventually(is_replaced)
    after = {voter['name']: voter for voter in fleet.status()['voters']}
    assert after[lost]['is_voter']
    assert after[lost]['identity'] != before[lost]['identity']
    assert after.keys() == before.keys()


async def test_config_commands(fleet: Fleet) -> None:
    """Guards against wrong exit codes, output and partial changes."""
    revision = fleet.apply(with_queue_length(fleet, 17))['revision']
    again = fleet.apply(with_queue_length(fleet, 17))
    assert again == {
        'status': 'unchanged',
        'revision': revision,
        'operations': 0,
    }
    broken = copy.deepcopy(fleet.plan.document)
    broken['services_by_name'].pop('desk')
    path = write_toml(fleet.folder / 'broken.toml', broken)
    ended = fleet.run_cli('config', 'apply', str(path))
    assert ended.returncode == 2
    assert f'{path}: targets_by_name.desk-1.service' in ended.stderr
    assert len(ended.stderr.splitlines()) == 1
    listed = fleet.run_cli('config', 'history').stdout.splitlines()
    numbers = [int(line.split(' ', 1)[0]) for line in listed]
    assert numbers == list(range(1, revision + 1))
    assert 'put rules.admission' in listed[-1]
    shown = fleet.run_cli('config', 'show').stdout
    assert shown.startswith(f'# revision {revision}\n')
    assert 'queue_length = 17' in shown


def test_planned_stop_and_unreachable_operator(fleet: Fleet) -> None:
    """Guards against a failing shutdown and a command that hangs."""
    stopped = fleet.stop_all()
    assert set(stopped.values()) == {0}, stopped
    unreachable = fleet.run_cli('status', '--timeout=2')
    assert unreachable.returncode == 4
    assert 'no control host answered' in unreachable.stderr
