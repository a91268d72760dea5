"""Leader's side: stores records, answers questions, sets the defaults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from itertools import chain
from typing import Final

from hornbeamline.control_link import LeaderServer
from hornbeamline.core import TaskSet
from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.helpers.batching import Batcher
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.origins._machine import (
    MACHINE_NAME,
    DefaultChange,
    OriginCommand,
    OriginMachine,
    OriginOutcome,
    OriginRecord,
)
from hornbeamline.origins._messages import (
    AskVersions,
    RecordReply,
    RecordStreams,
    VersionAnswer,
    VersionQuery,
    VersionsReply,
)
from hornbeamline.origins._metrics import RECORDS
from hornbeamline.origins._observer import VersionCounts, VersionObserver
from hornbeamline.origins.const import (
    MIN_RETENTION_S,
    RETENTION_RATIO,
    TICK_INTERVAL_S,
)
from hornbeamline.replog import ReplicatedLog
from hornbeamline.telemetry import log_event

# Requests of entry hosts that share a command.
_MAX_MERGED_REQUESTS: Final = 64


class OriginService:
    """Serves the versions of streams; runs on every control process."""

    def __init__(
        self,
        log: ReplicatedLog,
        server: LeaderServer,
        machine: OriginMachine,
        versions_by_service: Callable[[], Mapping[str, VersionCounts]],
        list_age_s: Callable[[], float],
        longest_stream_s: Callable[[], float],
        clock: Clock,
    ) -> None:
        """Register the state machine and the handlers of the leader.

        `versions_by_service` returns the number of listed targets by
        service and version, including targets that are draining, and
        `list_age_s` the age of that list in seconds, infinite without a
        list. `longest_stream_s` returns the longest time limit of a stream
        with all its resumptions. Must run before the log starts.
        """
        self._log = log
        self._machine = machine
        self._versions_by_service = versions_by_service
        self._list_age_s = list_age_s
        self._longest_stream_s = longest_stream_s
        self._clock = clock
        self._observer = VersionObserver()
        self._leads = False
        # Set while no change of a default is being committed.
        self._defaults_settled = asyncio.Event()
        self._defaults_settled.set()
        # Merges requests, so that the log grows with time only.
        self._records = Batcher(self._store, _MAX_MERGED_REQUESTS)
        self._tasks = TaskSet()
        log.register_state_machine(MACHINE_NAME, machine)
        log.on_leadership(self._on_leadership)
        server.register_handler(RecordStreams, self._on_record)
        server.register_handler(AskVersions, self._on_ask)

    async def start(self) -> None:
        """Start the loop that acts while this process is the leader."""
        self._tasks.keep_running(self._run, 'origins')

    async def stop(self) -> None:
        """Stop the loop."""
        await self._tasks.cancel_all()

    @property
    def retention_s(self) -> float:
        """Return how long records and unlisted defaults are kept at least."""
        longest_s = self._longest_stream_s()
        return max(MIN_RETENTION_S, RETENTION_RATIO * longest_s)

    def _on_leadership(self, leads: bool) -> None:
        self._leads = leads
        self._observer.reset()

    async def _run(self) -> None:
        while True:
            if self._leads:
                try:
                    await self._tick()
                except ReplicatedLogError as error:
                    self._observer.reset()
                    log_event('origins.leader_failed', error=str(error))
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _tick(self) -> None:
        """Replace defaults and end a generation if they are due."""
        machine = self._machine
        now = self._clock.monotonic()
        changes = self._observer.decide(
            self._versions_by_service(),
            self._list_age_s(),
            machine.defaults_by_service,
            self.retention_s,
            now,
        )
        if changes:
            await self._change_defaults(changes)
        RECORDS.set(len(machine))
        is_due = self._observer.ends_generation(
            machine.generation,
            self.retention_s,
            now,
        )
        if is_due and len(machine):
            await self._rotate()

    async def _change_defaults(self, changes: list[DefaultChange]) -> None:
        self._defaults_settled.clear()
        try:
            outcome = await self._propose(OriginCommand(defaults=changes))
        finally:
            self._defaults_settled.set()
        for change, is_changed in zip(changes, outcome.changed, strict=True):
            log_event(
                'origins.default_changed',
                service=change.service,
                previous=change.previous,
                version=change.version,
                reason='first' if change.previous is None else 'gone',
                is_changed=is_changed,
            )

    async def _rotate(self) -> None:
        generation = self._machine.generation
        outcome = await self._propose(
            OriginCommand(ended_generation=generation),
        )
        log_event(
            'origins.rotated',
            generation=generation,
            dropped=outcome.dropped,
            kept=len(self._machine),
        )

    async def _propose(self, command: OriginCommand) -> OriginOutcome:
        outcome = await self._log.propose(MACHINE_NAME, encode(command))
        return decode(outcome, OriginOutcome)

    async def _store(
        self, requests: list[Sequence[OriginRecord]]
    ) -> list[Sequence[bool]]:
        """Commit the records of several requests with one command."""
        command = OriginCommand(list(chain.from_iterable(requests)))
        accepted = iter((await self._propose(command)).accepted)
        return [[next(accepted) for _record in records] for records in requests]

    async def _on_record(self, request: RecordStreams) -> RecordReply:
        accepted = await self._records.submit(request.records)
        if not all(accepted):
            log_event('origins.full', refused=accepted.count(False))
        defaults_by_service = self._machine.defaults_by_service
        return RecordReply(
            accepted,
            {
                service: defaults_by_service[service]
                for service in request.services
                if service in defaults_by_service
            },
        )

    async def _on_ask(self, request: AskVersions) -> VersionsReply:
        for query in request.queries:
            self._note_use(query)
        # The use of a default prevents a later change, but not one that is
        # being committed.
        await self._defaults_settled.wait()
        await self._log.read_barrier()
        return VersionsReply(
            [self._answer(question) for question in request.queries],
        )

    def _note_use(self, query: VersionQuery) -> None:
        if query.in_use is None:
            return
        default = self._machine.defaults_by_service.get(query.service)
        if query.in_use == default:
            self._observer.note_use(query.service, self._clock.monotonic())

    def _answer(self, query: VersionQuery) -> VersionAnswer:
        return VersionAnswer(
            self._machine.find(query.digest) if query.digest else None,
            self._machine.defaults_by_service.get(query.service),
        )
