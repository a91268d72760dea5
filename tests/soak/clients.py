"""Concurrent callers, operators and readers that record all results."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, NamedTuple

from hornbeamline.helpers.clock import SystemClock
from hornbeamline.history import (
    ChangeAnswer,
    ChangeArgument,
    ReadArgument,
    Recorder,
    RevisionObservation,
)
from tests.process.fleet import CREDENTIAL
from tests.soak.fleet import SoakFleet, marker_pipeline

CALLERS = 8
MARKERS = 4
OPERATORS = 2
READERS = 2
MAX_ATTEMPTS = 60
# A change without a result after this time is recorded as lost.
CHANGE_TIMEOUT_S = 45
LOST = 'lost'


class Attempt(NamedTuple):
    """One request with a key and the outcome that the caller received."""

    key: str
    entry: str
    request_id: str
    # An outcome, or `lost` for a call without an answer.
    outcome: str
    reason: str
    output: Any
    began_s: float
    ended_s: float


class Clients:
    """All clients of a run and what they recorded."""

    def __init__(self, soak: SoakFleet | None, seed: int) -> None:
        self.recorder = Recorder(SystemClock())
        self.attempts: list[Attempt] = []
        self.served: list[RevisionObservation] = []
        self.renewed: list[RevisionObservation] = []
        self.accepted_s_by_revision: dict[int, float] = {}
        self.changes_by_revision: dict[int, str] = {}
        self.violations: list[str] = []
        if soak is not None:
            self._soak = soak
        self._seed = seed
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        for kind, count in (
            (self._call, CALLERS),
            (self._mark, MARKERS),
            (self._operate, OPERATORS),
            (self._read, READERS),
            (self._watch, 1),
        ):
            for number in range(count):
                rng = random.Random(f'{self._seed}/{kind.__name__}/{number}')
                self._tasks.append(asyncio.create_task(kind(number, rng)))

    async def stop(self, timeout_s: float) -> None:
        """Stop all clients after their operations in flight."""
        self._stopping.set()
        async with asyncio.timeout(timeout_s):
            await asyncio.gather(*self._tasks)

    async def send(self, entry: str, key: str) -> Attempt:
        """Send the request of a key to an entry host and record it."""
        began_s = time.monotonic()
        status, body = await self._soak.http(
            'POST',
            f'{self._url(entry)}/v1/pipelines/file/requests',
            CREDENTIAL,
            {'input': {'text': key}},
            key,
        )
        attempt = Attempt(
            key,
            entry,
            str(body.get('request_id', '')),
            str(body['outcome']) if status else LOST,
            str(body.get('reason', '')),
            body.get('output'),
            began_s,
            time.monotonic(),
        )
        self.attempts.append(attempt)
        return attempt

    async def lookup(self, key: str) -> tuple[int, dict[str, Any]]:
        """Return the outcome of a key, from any host that knows it."""
        status, body = 0, {}
        for turn in range(MAX_ATTEMPTS):
            entry = self._soak.entries[turn % len(self._soak.entries)]
            url = f'{self._url(entry)}/v1/requests/{key}'
            status, body = await self._soak.http('GET', url, CREDENTIAL)
            if status in {200, 404} and body.get('reason') != 'in_progress':
                break
            await asyncio.sleep(0.25)
        return status, body

    def _url(self, entry: str) -> str:
        callers = self._soak.fleet.plan.addresses.callers_by_entry
        return f'http://{callers[entry]}'

    async def _call(self, number: int, rng: random.Random) -> None:
        turn = 0
        while not self._stopping.is_set():
            turn += 1
            await self._send_until_final(f'k{number}-{turn}', rng)
            await asyncio.sleep(rng.uniform(0, 0.1))

    async def _send_until_final(self, key: str, rng: random.Random) -> None:
        """Send a request; retry at other hosts until its outcome is final."""
        entries = rng.sample(self._soak.entries, len(self._soak.entries))
        for turn in range(MAX_ATTEMPTS):
            first, second = entries[turn % 4], entries[(turn + 1) % 4]
            sends = [self.send(first, key)]
            if rng.random() < 0.1:
                sends.append(self.send(second, key))
            attempts = await asyncio.gather(*sends)
            if any(_is_final(attempt) for attempt in attempts):
                break
            await asyncio.sleep(rng.uniform(0.02, 0.4))
        if rng.random() < 0.1:
            await self.send(rng.choice(entries), key)

    async def _mark(self, number: int, rng: random.Random) -> None:
        """Send requests whose answers show the host's revision.

        Requests do not wait for earlier ones, so that a host that resumes
        after a freeze has requests from the whole freeze in its queue.
        """
        entry = self._soak.entries[number % len(self._soak.entries)]
        async with asyncio.TaskGroup() as group:
            while not self._stopping.is_set():
                group.create_task(self._observe_revision(entry))
                await asyncio.sleep(rng.uniform(0.05, 0.25))

    async def _observe_revision(self, entry: str) -> None:
        began_s = time.monotonic()
        url = f'{self._url(entry)}/v1/pipelines/mark/requests'
        body = {'input': {}}
        status, answer = await self._soak.http('POST', url, CREDENTIAL, body)
        if status == 200:
            revision = int(answer['output']['stage'].removeprefix('r'))
            ended_s = time.monotonic()
            self.served.append(
                RevisionObservation(entry, revision, began_s, ended_s),
            )

    async def _operate(self, number: int, rng: random.Random) -> None:
        turn = 0
        while not self._stopping.is_set():
            turn += 1
            base = await self._read_once(f'o{number}')
            if base is not None:
                # Sometimes two concurrent changes compete for a base revision.
                count = 1 + (rng.random() < 0.3)
                await asyncio.gather(
                    *(
                        self._change(f'o{number}-{turn}-{each}', base, rng)
                        for each in range(count)
                    ),
                )
            await asyncio.sleep(rng.uniform(0.1, 0.6))

    async def _change(self, name: str, base: int, rng: random.Random) -> None:
        """Change the marker pipeline; retry until there is a result.

        All sends of one change id count as one operation, since the first
        of them that is decided gives the result of all.
        """
        argument = ChangeArgument(base, name)
        began_s = self.recorder.began()
        body = {
            'change_id': name,
            'base_revision': base,
            'author': name,
            'operations': [
                {
                    'action': 'put',
                    'section': 'pipelines_by_name',
                    'name': 'mark',
                    'table': marker_pipeline(base + 1),
                },
            ],
        }
        path = '/v1/configuration/changes'
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        while time.monotonic() < deadline:
            status, answer = await self._soak.operator_call('POST', path, body)
            if status in {200, 409}:
                break
            if status not in {0, 421, 503}:
                self.violations.append(f'change {name}: {status} {answer}')
            await asyncio.sleep(rng.uniform(0.02, 0.2))
        else:
            self.recorder.lost(name, argument, began_s)
            return
        result = ChangeAnswer(status == 200, int(answer['revision']))
        self.recorder.ended(name, argument, result, began_s)
        if not result.accepted:
            return
        self.accepted_s_by_revision[result.revision] = time.monotonic()
        self.changes_by_revision[result.revision] = name
        if rng.random() < 0.3:
            began_s = self.recorder.began()
            status, answer = await self._soak.operator_call('POST', path, body)
            if status in {200, 409}:
                again = ChangeAnswer(status == 200, int(answer['revision']))
                self.recorder.ended(name, argument, again, began_s)

    async def _read(self, number: int, rng: random.Random) -> None:
        while not self._stopping.is_set():
            await self._read_once(f'r{number}')
            await asyncio.sleep(rng.uniform(0.05, 0.4))

    async def _read_once(self, client: str) -> int | None:
        began_s = self.recorder.began()
        status, body = await self._soak.operator_call(
            'GET',
            '/v1/configuration',
        )
        if status != 200:
            # A read without a result needs no record: it has no effect.
            return None
        revision = int(body['revision'])
        self.recorder.ended(client, ReadArgument(), revision, began_s)
        if body['document']['pipelines_by_name']['mark'] != marker_pipeline(
            revision
        ):
            self.violations.append(
                f'revision {revision} has the document of another revision'
            )
        return revision

    async def _watch(self, _number: int, rng: random.Random) -> None:
        """Record the revisions with which the hosts renewed their leases."""
        while not self._stopping.is_set():
            began_s = time.monotonic()
            status, body = await self._soak.operator_call('GET', '/v1/status')
            if status == 200:
                ended_s = time.monotonic()
                # A host that has just started renews with revision 0.
                self.renewed += [
                    RevisionObservation(
                        host['host'],
                        host['revision'],
                        began_s,
                        ended_s,
                    )
                    for host in body['hosts']
                    if host['revision']
                ]
            await asyncio.sleep(rng.uniform(0.2, 0.5))


def _is_final(attempt: Attempt) -> bool:
    if attempt.outcome == 'answered':
        return True
    return attempt.outcome == 'unknown' and attempt.reason != 'in_progress'
