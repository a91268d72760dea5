"""Fleet of processes: control hosts, entry hosts and targets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from hornbeamline.cli._operator import OperatorAccess, OperatorClient
from hornbeamline.local_fleet import (
    FleetPlan,
    ProcessGroup,
    plan_fleet,
    write_settings,
)
from tests.common import ROOT, digest_of, wait_listening, write_toml

CREDENTIAL = 'cement-credential'
OPERATOR_CREDENTIAL = 'local-operator'
CALL_TIMEOUT = aiohttp.ClientTimeout(total=8)


class Answer(NamedTuple):
    """Status and JSON body of an HTTP answer."""

    status: int
    body: dict[str, Any]


def hosts(controls: int, entries: int) -> dict[str, Any]:
    """Return the table of hosts in one data centre."""
    table = {'data_centre': 'dc-a'}
    return {
        **{
            f'c{number}': {**table, 'roles': ['control']}
            for number in range(1, controls + 1)
        },
        **{f'entry-{number}': table for number in range(1, entries + 1)},
    }


def base_document(services: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return a document with one target per service and one account."""
    return {
        'fleet': {'name': 'test'},
        'data_centres_by_name': {'dc-a': {'region': 'r'}},
        'services_by_name': services,
        'targets_by_name': {
            f'{name}-1': {
                'service': name,
                'data_centre': 'dc-a',
                'address': f'127.0.0.1:{port}',
            }
            for port, name in enumerate(services, 1)
        },
        'accounts_by_name': {
            'cement': {'credential_sha256': digest_of(CREDENTIAL)},
        },
        'pipelines_by_name': {
            'whole': {
                'stages': [
                    {'name': name, 'service': name} for name in services
                ],
            },
        },
    }


class Fleet:
    """Run the processes of a plan and call them."""

    def __init__(
        self,
        folder: Path,
        document: dict[str, Any],
        group: ProcessGroup,
    ) -> None:
        role_counts = [0, 0]
        for host in document['hosts_by_name'].values():
            role_counts['control' not in host.get('roles', ())] += 1
        self.plan: FleetPlan = plan_fleet(document, *role_counts)
        self.folder = folder
        self.group = group
        self.commands = write_settings(self.plan, folder)
        self.controls = list(self.plan.addresses.operators_by_control)
        self.entries = list(self.plan.addresses.callers_by_entry)

    def override_settings(self, name: str, **options: Any) -> None:
        """Replace settings of a process that has not started."""
        path = Path(self.commands[name][-1])
        settings = tomllib.loads(path.read_text(encoding='utf-8'))
        # This key belongs to the table of the engine.
        settings.pop('checks_fencing', None)
        write_toml(path, {**settings, **options})

    def start(self, *names: str) -> None:
        """Start processes, all by default, and wait for their ports."""
        for name in names or self.commands:
            self.group.start(name, self.commands[name])
        addresses = self.plan.addresses
        by_name = {
            **addresses.callers_by_entry,
            **addresses.operators_by_control,
            **addresses.targets_by_name,
        }
        for name in names or self.commands:
            wait_listening(by_name[name], 30)

    def stop_all(self) -> dict[str, int]:
        """Stop all processes and return their exit codes.

        Entry hosts stop first, since they close their sessions with the
        leader.
        """
        codes = self.group.stop(self.entries)
        return codes | self.group.stop(self.commands.keys() - set(codes))

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command of `hornbeamline` with the operator's options."""
        operators = self.plan.addresses.operators_by_control.values()
        options = [f'--operator={address}' for address in operators]
        return subprocess.run(
            [
                *(sys.executable, '-m', 'hornbeamline', *arguments),
                *options,
                f'--credential={OPERATOR_CREDENTIAL}',
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply(self, document: dict[str, Any]) -> dict[str, Any]:
        """Apply a document and return the printed result."""
        path = write_toml(self.folder / 'applied.toml', document)
        ended = self.run_cli('config', 'apply', str(path), '--json')
        assert ended.returncode == 0, ended.stderr
        return json.loads(ended.stdout)

    def status(self) -> dict[str, Any]:
        """Return the fleet's status."""
        ended = self.run_cli('status', '--json')
        assert ended.returncode == 0, ended.stderr
        return json.loads(ended.stdout)

    def leader(self) -> str:
        """Return the name of the leading control process."""
        return str(self.status()['leader'])

    async def send(self, entry: str, key: str = '', **body: Any) -> Answer:
        """Send a request to the pipeline `whole`."""
        headers = {'Authorization': f'Bearer {CREDENTIAL}'}
        if key:
            headers['Idempotency-Key'] = key
        path = '/v1/pipelines/whole/requests'
        content = {'input': {'text': 'levy report'}, **body}
        return await self._call('POST', entry, path, headers, content)

    async def lookup(self, entry: str, key: str) -> Answer:
        """Look up a request by its key."""
        headers = {'Authorization': f'Bearer {CREDENTIAL}'}
        return await self._call('GET', entry, f'/v1/requests/{key}', headers)

    async def is_ready(self, entry: str) -> bool:
        """Return whether an entry host is ready."""
        address = self.plan.addresses.callers_by_entry[entry]
        async with aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session:
            try:
                async with session.get(f'http://{address}/readyz') as answer:
                    return answer.status == 200
            except aiohttp.ClientError:
                return False

    async def all_ready(self) -> bool:
        """Return whether all entry hosts are ready."""
        return all([await self.is_ready(entry) for entry in self.entries])

    async def executions(self, target: str) -> dict[str, int]:
        """Return how often a target executed each request key."""
        address = self.plan.addresses.targets_by_name[target]
        async with (
            aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session,
            session.get(f'http://{address}/v1/executions') as answer,
        ):
            return await answer.json()

    async def change_voter(self, change: dict[str, str]) -> Answer:
        """Send a change of voters to the leader."""
        access = OperatorAccess(
            list(self.plan.addresses.operators_by_control.values()),
            OPERATOR_CREDENTIAL,
            20,
        )
        client = OperatorClient(access)
        return Answer(*await client.request('POST', '/v1/voters', change))

    async def _call(
        self,
        method: str,
        entry: str,
        path: str,
        headers: dict[str, str],
        content: Any = None,
    ) -> Answer:
        url = f'http://{self.plan.addresses.callers_by_entry[entry]}{path}'
        async with (
            aiohttp.ClientSession(timeout=CALL_TIMEOUT) as session,
            session.request(
                method, url, headers=headers, json=content
            ) as response,
        ):
            return Answer(
                response.status, await response.json(content_type=None)
            )


@contextlib.contextmanager
def running_fleet(folder: Path, document: dict[str, Any]) -> Iterator[Fleet]:
    """Yield a fleet whose processes are stopped at the end."""
    with ProcessGroup(folder) as group:
        yield Fleet(folder, document, group)


async def eventually(
    check: Callable[[], Awaitable[bool]],
    timeout_s: float = 20,
) -> None:
    """Wait until a check holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not await check():
        assert time.monotonic() < deadline, (
            'the check did not hold before the timeout'
        )
        await asyncio.sleep(0.05)
