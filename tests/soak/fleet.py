"""Fleet of processes behind relays, with targets that record calls."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import shutil
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from hornbeamline.local_fleet import ProcessGroup, free_addresses
from tests.process.fleet import (
    OPERATOR_CREDENTIAL,
    Fleet,
    base_document,
    hosts,
)
from tests.relay import Relay

CONTROLS = 3
ENTRIES = 4
# Longer than the 4 s deadline of a request.
CALL_TIMEOUT = aiohttp.ClientTimeout(total=6)
# Some calls last long enough for a kill to interrupt them.
LONG_CALL_SHARE = 0.1
LONG_CALL_S = 0.6


class Execution(NamedTuple):
    """A call that a target executed."""

    key: str
    request_id: str
    began_s: float
    ended_s: float


class RecordingTarget:
    """Target of a plain service, in this process, that records calls."""

    def __init__(self, address: str, rng: random.Random) -> None:
        self.address = address
        self.executions: list[Execution] = []
        # Shares of calls that are executed but lose their answer, and that are
        # refused without execution.
        self.reset_share = 0.0
        self.refuse_share = 0.0
        self._rng = rng

    async def start(self) -> web.AppRunner:
        """Start to listen; the caller must clean up the runner."""
        app = web.Application()
        app.router.add_post('/v1/run', self._run)
        app.router.add_get('/v1/load', self._load)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        host, _, port = self.address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        return runner

    async def _run(self, request: web.Request) -> web.Response:
        if self._rng.random() < self.refuse_share:
            return web.Response(status=503, headers={'X-Not-Run': 'true'})
        body = await request.json()
        began_s = time.monotonic()
        key = request.headers.get('Idempotency-Key', '')
        request_id = request.headers['X-Request-Id']
        # The part after the dot numbers the attempts of a request.
        caller_id = request_id.partition('.')[0]
        is_long = self._rng.random() < LONG_CALL_SHARE
        # Recorded before the work, so that it counts even if it is cancelled.
        index = len(self.executions)
        self.executions.append(Execution(key, caller_id, began_s, began_s))
        await asyncio.sleep(
            LONG_CALL_S if is_long else self._rng.uniform(0.005, 0.05),
        )
        ended_s = time.monotonic()
        self.executions[index] = Execution(key, caller_id, began_s, ended_s)
        if self._rng.random() < self.reset_share:
            assert request.transport is not None
            request.transport.abort()
        output = {'stage': body['stage'], 'echo': body['input']}
        usage = {'target_ms': 1000 * (ended_s - began_s), 'tokens': 0}
        return web.json_response(
            {'request_id': request_id, 'output': output, 'usage': usage},
        )

    async def _load(self, _request: web.Request) -> web.Response:
        return web.json_response({'in_progress': 0, 'queued': 0, 'age_s': 0})


def marker_pipeline(revision: int) -> dict[str, Any]:
    """Return a pipeline whose answers show the revision in force."""
    return {'stages': [{'name': f'r{revision}', 'service': 'mark'}]}


def document() -> dict[str, Any]:
    """Return the fleet's document at revision 1."""
    services = {
        'desk': {'kind': 'plain', 'idempotent': False},
        'mark': {'kind': 'plain'},
    }
    fleet = base_document(services)
    fleet['hosts_by_name'] = hosts(CONTROLS, ENTRIES)
    targets = fleet['targets_by_name']
    addresses = free_addresses(len(services))
    for service, address in zip(services, addresses, strict=True):
        # plan_fleet replaces the addresses, but requires distinct ones.
        second = {**targets[f'{service}-1'], 'address': address}
        targets[f'{service}-2'] = second
    fleet['pipelines_by_name'] = {
        'file': {'stages': [{'name': 'desk', 'service': 'desk'}]},
        'mark': marker_pipeline(1),
    }
    return fleet


class SoakFleet:
    """Processes, relays in front of the control processes, and targets."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        addresses = fleet.plan.addresses
        self.fleet = fleet
        self.group = fleet.group
        self.controls = fleet.controls
        self.entries = fleet.entries
        self.operators_by_control = addresses.operators_by_control
        self.relays_by_control = {
            name: Relay(address, addresses.peers_by_control[name])
            for name, address in zip(
                self.controls,
                free_addresses(CONTROLS),
                strict=True,
            )
        }
        self.targets_by_name = {
            name: RecordingTarget(address, random.Random(rng.random()))
            for name, address in addresses.targets_by_name.items()
        }
        self.session: aiohttp.ClientSession
        self._rng = random.Random(rng.random())
        by_name = {
            name: relay.address
            for name, relay in self.relays_by_control.items()
        }
        for name in self.entries:
            fleet.override_settings(name, controls_by_name=by_name)
        for name in self.controls:
            peering = {
                'address': addresses.peers_by_control[name],
                'advertised_address': by_name[name],
            }
            fleet.override_settings(
                name,
                controls_by_name=by_name,
                peering=peering,
            )

    async def start(self, *names: str) -> None:
        """Start processes and wait for their ports."""
        await asyncio.to_thread(self.fleet.start, *names)

    async def kill(self, *names: str) -> None:
        """Kill processes, one after the other."""
        for name in names:
            await asyncio.to_thread(self.group.kill, name)

    async def operator_call(
        self,
        method: str,
        path: str,
        body: Any = None,
    ) -> tuple[int, dict[str, Any]]:
        """Call a random control process; follow its redirect to the leader.

        Return status 0 for a call without an answer.
        """
        address = self._rng.choice(list(self.operators_by_control.values()))
        status, answer = 421, {'leader_address': address}
        for _ in range(2):
            if status == 421 and answer['leader_address']:
                status, answer = await self.http(
                    method,
                    f'http://{answer["leader_address"]}{path}',
                    OPERATOR_CREDENTIAL,
                    body,
                )
        return status, answer

    async def http(
        self,
        method: str,
        url: str,
        credential: str,
        body: Any = None,
        key: str = '',
    ) -> tuple[int, dict[str, Any]]:
        """Call a process; return status 0 for a call without an answer."""
        headers = {'Authorization': f'Bearer {credential}'}
        if key:
            headers['Idempotency-Key'] = key
        try:
            async with self.session.request(
                method,
                url,
                headers=headers,
                json=body,
            ) as response:
                return response.status, json.loads(await response.text())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    async def leader(self) -> str:
        """Return the leader's name; wait for an election if there is none."""
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            status, answer = await self.operator_call('GET', '/v1/status')
            if status == 200:
                return str(answer['leader'])
            await asyncio.sleep(0.05)
        raise AssertionError('no leader within 30 s')

    async def replace_control(self, name: str) -> None:
        """Delete the data of a killed control process and replace its voter."""
        shutil.rmtree(self.fleet.folder / f'data-{name}')
        self.fleet.override_settings(name, join=True)
        await self.start(name)
        deadline = time.monotonic() + 40
        answer: dict[str, Any] = {}
        while time.monotonic() < deadline:
            status, answer = await self.operator_call(
                'POST',
                '/v1/voters',
                {'action': 'replace', 'name': name},
            )
            # If the answer was lost, the retry finds the replacement done.
            if status == 200 or 'still has its iden' in str(answer):
                return
            await asyncio.sleep(0.2)
        raise AssertionError(f'{name} was not replaced within 40 s: {answer}')


@contextlib.asynccontextmanager
async def soak_fleet(
    folder: Path,
    rng: random.Random,
) -> AsyncIterator[SoakFleet]:
    """Yield a started fleet whose entry hosts are all ready."""
    async with contextlib.AsyncExitStack() as stack:
        group = stack.enter_context(ProcessGroup(folder))
        soak = SoakFleet(Fleet(folder, document(), group), rng)
        for relay in soak.relays_by_control.values():
            await stack.enter_async_context(relay)
        for target in soak.targets_by_name.values():
            runner = await target.start()
            stack.push_async_callback(runner.cleanup)
        # Connections are not reused: a pooled one to a killed process would
        # fail without a fault of the fleet.
        soak.session = await stack.enter_async_context(
            aiohttp.ClientSession(
                timeout=CALL_TIMEOUT,
                connector=aiohttp.TCPConnector(force_close=True, limit=0),
            ),
        )
        await soak.start(*soak.controls, *soak.entries)
        await until_ready(soak, 60)
        yield soak


async def until_ready(soak: SoakFleet, timeout_s: float) -> None:
    """Wait until all entry hosts are ready."""
    deadline = time.monotonic() + timeout_s
    while not await soak.fleet.all_ready():
        assert time.monotonic() < deadline, (
            f'entry hosts are not ready, exited: {soak.group.exited()}'
        )
        await asyncio.sleep(0.1)
