"""Tests upgrades from another build, and fleets of both builds.

Run it by hand with the path of a checkout of the other build:

    python -m tests.soak.mixed_builds PATH [--case PART] [--seed N]
        [--seconds S]

Each case prints its name, its counts and its result; the exit code is 1 if a
case failed.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import aiohttp

from hornbeamline.local_fleet import ProcessGroup
from tests.common import failed_exits
from tests.process.fleet import Fleet, base_document, eventually, hosts
from tests.soak.platform.clients import Clients
from tests.soak.platform.fleet import (
    START_S,
    PlatformFleet,
    put_until_acknowledged,
)
from tests.soak.platform.test_platform_soak import (
    RECOVERY_S,
    check_end,
    until_served,
)

LEADER_EVENT: Final = 'event=replog.leader '
STORED_DOCUMENTS: Final = 30
SENDERS: Final = 6
# An entry process sends an answer without waiting until the outcome is
# recorded. If it is killed within this time, the outcome may stay unknown.
MAX_RECORD_DELAY_S: Final = 1.0
_NO_VARIABLES: Final[Mapping[str, str]] = MappingProxyType({})


class KeyedAnswer(NamedTuple):
    """Answer to a request with an idempotency key."""

    status: int
    output: Any
    received_at: float


class Settings(NamedTuple):
    """Settings of all cases."""

    # Checkout of the other build.
    other: Path
    seed: int
    # Length of the load; upgrades of the platform use only a third of it.
    seconds: float


class MixedGroup(ProcessGroup):
    """Starts the processes in `other_names` from the other checkout."""

    def __init__(self, folder: Path, other: Path) -> None:
        super().__init__(folder)
        self.log_folder = folder
        self.other_names: set[str] = set()
        # Without PYTHONSAFEPATH, modules in the working directory would take
        # precedence over those in PYTHONPATH.
        self._other_environment = {
            'PYTHONPATH': str(other),
            'PYTHONSAFEPATH': '1',
        }
        imported_file = subprocess.run(
            [
                sys.executable,
                '-c',
                'import hornbeamline; print(hornbeamline.__file__)',
            ],
            env={**os.environ, **self._other_environment},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        assert Path(imported_file).is_relative_to(other), imported_file

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        module: str = 'hornbeamline',
        environment: Mapping[str, str] = _NO_VARIABLES,
    ) -> None:
        """Start or restart a process from the checkout of its build."""
        if name in self.other_names:
            environment = {**environment, **self._other_environment}
        super().start(name, arguments, module, environment)


def last_leader(fleet: PlatformFleet) -> str:
    """Return the control process that most recently logged its election."""
    last_election_times = {
        name: max(
            (
                line.partition(' ')[0]
                for line in fleet.group.log_of(name).splitlines()
                if LEADER_EVENT in line
            ),
            default='',
        )
        for name in fleet.controls
    }
    return max(last_election_times, key=last_election_times.__getitem__)


async def platform_upgrade(group: MixedGroup, settings: Settings) -> list[str]:
    """Kill a fleet of the other build; start this build on its disks."""
    fleet = PlatformFleet(
        group.log_folder,
        random.Random(settings.seed),
        group,
    )
    group.other_names = {*fleet.controls, *fleet.entries}
    return await _run_platform(fleet, settings, _upgrade_all)


async def platform_mixed(
    group: MixedGroup,
    settings: Settings,
    *,
    is_other_minority: bool,
) -> list[str]:
    """Run one process per role from one build and all others from the other."""
    fleet = PlatformFleet(
        group.log_folder,
        random.Random(settings.seed),
        group,
    )
    minority = {fleet.controls[0], fleet.entries[0]}
    every_process = {*fleet.controls, *fleet.entries}
    group.other_names = (
        minority if is_other_minority else every_process - minority
    )
    return await _run_platform(fleet, settings, _restart_leader)


async def _upgrade_all(
    fleet: PlatformFleet,
    session: aiohttp.ClientSession,
    clients: Clients,
    _seconds: float,
) -> None:
    for version in range(2, 2 + STORED_DOCUMENTS):
        await put_until_acknowledged(fleet, session, version, START_S)
    clients.version = 1 + STORED_DOCUMENTS
    for name in (*fleet.controls, *fleet.entries):
        await asyncio.to_thread(fleet.group.kill, name)
    fleet.group.other_names = set()
    for name in (*fleet.controls, *fleet.entries):
        fleet.start(name)
    await check_end(fleet, session)


async def _restart_leader(
    fleet: PlatformFleet,
    _session: aiohttp.ClientSession,
    _clients: Clients,
    seconds: float,
) -> None:
    await asyncio.sleep(seconds / 3)
    leader = last_leader(fleet)
    await asyncio.to_thread(fleet.group.kill, leader)
    await asyncio.sleep(seconds / 3)
    await fleet.start_control(leader)


async def _run_platform(
    fleet: PlatformFleet,
    settings: Settings,
    disturb: Callable[..., Awaitable[None]],
) -> list[str]:
    await fleet.start_servers()
    clients = Clients(fleet, settings.seed)
    try:
        async with aiohttp.ClientSession() as session:
            for name in (*fleet.controls, *fleet.entries):
                fleet.start(name, is_first=True)
            await put_until_acknowledged(fleet, session, 1, START_S)
            await until_served(fleet, clients, START_S)
            if disturb is _upgrade_all:
                await disturb(fleet, session, clients, settings.seconds)
                await until_served(fleet, clients, START_S)
                clients.start()
            else:
                clients.start()
                await disturb(fleet, session, clients, settings.seconds)
            await asyncio.sleep(settings.seconds / 3)
            await until_served(fleet, clients, RECOVERY_S)
            await clients.stop()
            await check_end(fleet, session)
        codes = await asyncio.to_thread(
            fleet.group.stop,
            [*fleet.entries, *fleet.controls],
        )
    finally:
        await fleet.stop_servers()
    served = dict(fleet.world.served)
    print(
        f'  {len(fleet.world.sent_by_id)} attempts, served {served}, '
        f'{len(fleet.world.acknowledged)} configurations',
    )
    return fleet.world.violations + failed_exits(fleet.group, codes)


def _product_fleet(group: MixedGroup) -> Fleet:
    document = base_document(
        {
            'ledger': {'kind': 'retrieval'},
            'desk': {'kind': 'plain', 'idempotent': False},
        },
    )
    document['hosts_by_name'] = hosts(3, 3)
    return Fleet(group.log_folder, document, group)


async def _send_keyed(
    fleet: Fleet,
    prefix: str,
    until: float,
    answers_by_key: dict[str, KeyedAnswer],
) -> None:
    """Send non-repeatable requests; record the answers by key."""
    number = 0
    while time.monotonic() < until:
        key = f'{prefix}-{number}'
        number += 1
        try:
            answer = await fleet.send(
                fleet.entries[number % len(fleet.entries)],
                key,
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            continue
        answers_by_key[key] = KeyedAnswer(
            answer.status,
            answer.body.get('output'),
            time.monotonic(),
        )


async def _check_keyed(
    fleet: Fleet,
    answers_by_key: dict[str, KeyedAnswer],
    killed_at: float,
) -> list[str]:
    """Return repeated executions and answers that a look-up does not return."""
    violations = [
        f'{key} ran {count} times'
        for key, count in (await fleet.executions('desk-1')).items()
        if count > 1
    ]
    answered = {
        key: answer
        for key, answer in answers_by_key.items()
        if answer.status == 200
    }
    if not answered:
        violations.append('no request was answered')
    for key, answer in answered.items():
        found = await fleet.lookup(fleet.entries[0], key)
        if found.status == 200 and found.body.get('output') == answer.output:
            continue
        must_be_recorded = (
            not 0 <= killed_at - answer.received_at <= MAX_RECORD_DELAY_S
        )
        if must_be_recorded or found.body.get('outcome') != 'unknown':
            violations.append(f'{key}: look-up returned {found}')
    print(f'  {len(answers_by_key)} keyed requests, {len(answered)} answered')
    return violations


async def product(
    group: MixedGroup,
    settings: Settings,
    other_names: Callable[[Fleet], set[str]],
    *,
    upgrades: bool,
) -> list[str]:
    """Send requests with keys while processes are killed and restarted.

    If `upgrades` is set, all control and entry processes are killed and
    restarted from this build; otherwise only the leader is restarted, from
    its own build.
    """
    fleet = _product_fleet(group)
    group.other_names = other_names(fleet)
    for target in fleet.plan.addresses.targets_by_name:
        fleet.override_settings(target)
    fleet.start()
    await eventually(fleet.all_ready, 40)
    revision = int(fleet.status()['revision'])
    answers_by_key: dict[str, KeyedAnswer] = {}
    until = time.monotonic() + settings.seconds
    async with asyncio.TaskGroup() as tasks:
        for sender in range(SENDERS):
            tasks.create_task(
                _send_keyed(fleet, f'key-{sender}', until, answers_by_key),
            )
        await asyncio.sleep(settings.seconds / 3)
        chosen = [*fleet.controls, *fleet.entries]
        if not upgrades:
            chosen = [await asyncio.to_thread(fleet.leader)]
        for name in chosen:
            await asyncio.to_thread(group.kill, name)
        # Killing only the leader must lose no recorded outcome.
        killed_at = math.inf
        if upgrades:
            killed_at = time.monotonic()
            group.other_names = set()
        await asyncio.to_thread(fleet.start, *chosen)
    await eventually(fleet.all_ready, 40)
    violations = await _check_keyed(fleet, answers_by_key, killed_at)
    status = fleet.status()
    if int(status['revision']) != revision:
        violations.append(f'revision {revision} before, then {status}')
    return violations + failed_exits(group, fleet.stop_all())


def _every_process(fleet: Fleet) -> set[str]:
    return {*fleet.controls, *fleet.entries}


def _one_process_per_role(fleet: Fleet) -> set[str]:
    return {fleet.controls[0], fleet.entries[0]}


def _all_but_one_per_role(fleet: Fleet) -> set[str]:
    return _every_process(fleet) - _one_process_per_role(fleet)


Case = Callable[[MixedGroup, Settings], Awaitable[list[str]]]
CASES: Final[dict[str, Case]] = {
    'platform: disks of the other build': platform_upgrade,
    'platform: one process a role of the other build': lambda group, settings: (
        platform_mixed(group, settings, is_other_minority=True)
    ),
    'platform: one process a role of this build': lambda group, settings: (
        platform_mixed(group, settings, is_other_minority=False)
    ),
    'product: folders of the other build': lambda group, settings: product(
        group,
        settings,
        _every_process,
        upgrades=True,
    ),
    'product: one process a role of the other build': lambda group, settings: (
        product(group, settings, _one_process_per_role, upgrades=False)
    ),
    'product: one process a role of this build': lambda group, settings: (
        product(group, settings, _all_but_one_per_role, upgrades=False)
    ),
}


def main() -> int:
    """Run all cases; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('other', type=Path)
    parser.add_argument(
        '--case', default='', help='part of the names of the cases to run'
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    options = parser.parse_args()
    settings = Settings(
        options.other.resolve(),
        options.seed,
        options.seconds,
    )
    failed = 0
    for name, case in CASES.items():
        if options.case not in name:
            continue
        print(name, flush=True)
        with (
            tempfile.TemporaryDirectory() as folder,
            MixedGroup(Path(folder), settings.other) as group,
        ):
            violations = asyncio.run(_run_case(case, group, settings))
        failed += bool(violations)
        print(
            f'  {"FAILED" if violations else "passed"}',
            *violations[:20],
            sep='\n  ',
            flush=True,
        )
    return int(failed > 0)


async def _run_case(
    case: Case,
    group: MixedGroup,
    settings: Settings,
) -> list[str]:
    return await case(group, settings)


if __name__ == '__main__':
    sys.exit(main())
