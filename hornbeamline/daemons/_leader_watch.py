"""Logs why a control process knows no leader."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Final, NamedTuple

from hornbeamline.core import TaskSet
from hornbeamline.directory import DirectoryMember
from hornbeamline.directory.registry import DirectoryRegistry
from hornbeamline.replog import RaftLog
from hornbeamline.telemetry import log_event

CHECK_INTERVAL_S: Final = 1.0


class _Situation(NamedTuple):
    """What a control process without a leader knows of the others."""

    term: int
    # Whether its own log names it as a voter or learner.
    is_member: bool
    voters: str
    # Control processes that it enrols with, and those that answer.
    asked: str
    answering: str
    # Control processes that enrol with it.
    enrolled: str


class LeaderWatch:
    """Service that logs the situation of this process without a leader.

    A line is written when the situation changes, at most one each
    `CHECK_INTERVAL_S`.
    """

    def __init__(
        self,
        log: RaftLog,
        member: DirectoryMember,
        registry: DirectoryRegistry,
        own_name: str,
    ) -> None:
        """Initialize with the log and both sides of the directory."""
        self._log = log
        self._member = member
        self._registry = registry
        self._own_name = own_name
        self._logged: _Situation | None = None
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Start to watch."""
        self._tasks.keep_running(self._watch, 'leader watch')

    async def stop(self) -> None:
        """Stop watching."""
        await self._tasks.cancel_all()

    def check(self) -> None:
        """Log the situation if it has changed since the last line."""
        if self._log.leader is not None:
            if self._logged is not None:
                log_event(
                    'control.leader_known',
                    leader=self._log.leader,
                    term=self._log.term,
                )
            self._logged = None
            return
        situation = self._situation()
        if situation != self._logged:
            self._logged = situation
            log_event('control.no_leader', **situation._asdict())

    def _situation(self) -> _Situation:
        members = self._log.members
        enrolled = set(self._registry.controls()) - {self._own_name}
        return _Situation(
            self._log.term,
            self._own_name in members.members_by_name,
            _joined(member.name for member in members.voters),
            _joined(self._member.known_controls()),
            _joined(self._member.answering_controls()),
            _joined(enrolled),
        )

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()


def _joined(names: Iterable[str]) -> str:
    return ','.join(sorted(names))
