"""Entry side: the versions that began streams."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from typing import Final, TypeVar

from hornbeamline.control_link import LeaderUnavailableError
from hornbeamline.helpers.clock import Clock
from hornbeamline.origins._beliefs import DefaultBeliefs
from hornbeamline.origins._link import OriginLink, PendingQuery, StreamRecord
from hornbeamline.origins._machine import OriginRecord
from hornbeamline.origins._memory import BegunStreams
from hornbeamline.origins._messages import VersionQuery
from hornbeamline.origins._metrics import BEGUN, FOUND
from hornbeamline.origins._types import StreamKey
from hornbeamline.origins.const import (
    MAX_VERSION_LENGTH,
    REFRESH_RETRY_S,
    REFRESH_TIMEOUT_S,
)
from hornbeamline.origins.errors import OriginUnavailableError
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event

_AnswerT = TypeVar('_AnswerT')
# Characters of a digest in log lines.
_PREFIX_LENGTH: Final = 12


class StreamOrigins:
    """Service that remembers which version began a stream.

    A stream without a record began at the default version of its service, so
    that nothing is stored while one version serves.
    """

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        controls: Callable[[], Sequence[str]],
    ) -> None:
        """Initialize with the control processes that answer now."""
        self._clock = clock
        self._link = OriginLink(peering, clock, controls)
        self._beliefs = DefaultBeliefs()
        self._begun = BegunStreams()
        self._order = 0
        # Time before which the leader is not asked for a steady default.
        self._refresh_at = -math.inf

    async def start(self) -> None:
        """Do nothing: the service acts on calls."""

    async def stop(self) -> None:
        """Do nothing: each call to the leader ends with its timeout."""

    def note_listed(
        self,
        versions_by_service: Mapping[str, Collection[str]],
        age_s: float = 0,
    ) -> None:
        """Record the versions of all listed targets, also draining ones.

        `age_s` is the time since the list was read, in seconds.

        Must be called for each list that is a few seconds old at most, also
        if it has not changed: after 20 s without one a default must be
        confirmed again.
        """
        now = self._clock.monotonic()
        self._beliefs.note_listed(versions_by_service, now, age_s)

    def sole_version(
        self, service: str, for_s: float, read_after: float = -math.inf
    ) -> str | None:
        """Return the version if no other was listed here for `for_s` seconds.

        At least 60 s. For use when `find` gets no answer from a leader. A
        stream may have begun at a version that was not listed here yet, so
        that the newest list must have been read after `read_after`.
        """
        now = self._clock.monotonic()
        return self._beliefs.sole_version(service, for_s, now, read_after)

    async def record(
        self,
        stream: StreamKey,
        version: str,
        timeout_s: float,
    ) -> None:
        """Make sure that `find` returns `version` for a stream.

        Must return before the first event of the stream is passed on. It
        returns at once if the version is known to be the default and no
        other was recorded for the stream, else after a call to the leader.

        Raises `OriginUnavailableError` after `timeout_s` seconds or if the
        records are full; the record may still be stored.

        If no leader answers, the version may still be known to be the
        default: it was confirmed, and lists since then, at most 20 s apart,
        have had it.
        """
        if len(version) > MAX_VERSION_LENGTH:
            raise OriginUnavailableError('the name of the version is too long')
        deadline = self._clock.monotonic() + timeout_s
        digest = stream.digest
        service = stream.service
        begun = self._begun.find(digest)
        if begun is not None and begun.version == version:
            return
        is_sent = begun is not None and begun.order > 0
        if is_sent or not await self._is_default(service, version, deadline):
            await self._store(service, digest, version, deadline)
            return
        BEGUN.labels('default').inc()
        self._begun.note(digest, version, 0, self._clock.monotonic())

    async def find(self, stream: StreamKey, timeout_s: float) -> str | None:
        """Return the version that began a stream; None if it is unknown.

        A record that was stored before the call is always seen. Raises
        `OriginUnavailableError` if no leader answers within `timeout_s`
        seconds.
        """
        began_at = self._clock.monotonic()
        begun = self._begun.find(stream.digest)
        if begun is not None and begun.version is not None:
            self._log_found(stream, begun.version, 'memory', began_at)
            return begun.version
        query = VersionQuery(stream.service, stream.digest)
        deadline = began_at + timeout_s
        answer = await self._in_time(
            self._link.queries.submit(PendingQuery(query, deadline)),
            deadline,
        )
        self._beliefs.observe_default(stream.service, answer.default)
        if answer.recorded is not None:
            self._log_found(stream, answer.recorded, 'leader', began_at)
            return answer.recorded
        source = 'unknown' if answer.default is None else 'default'
        self._log_found(stream, answer.default, source, began_at)
        return answer.default

    async def _is_default(
        self, service: str, version: str, deadline: float
    ) -> bool:
        """Return whether a stream at the version needs no record.

        Raises `OriginUnavailableError` if nothing is known.
        """
        now = self._clock.monotonic()
        believed = self._beliefs.version_of(service)
        if believed is not None and believed != version:
            return False
        if self._beliefs.is_fresh(service, now):
            return True
        is_steady = self._beliefs.is_steady(service, now)
        if is_steady:
            if now < self._refresh_at:
                return True
            deadline = min(deadline, now + REFRESH_TIMEOUT_S)
        query = VersionQuery(service, in_use=version)
        try:
            answer = await self._in_time(
                self._link.queries.submit(PendingQuery(query, deadline)),
                deadline,
            )
        except OriginUnavailableError:
            if not is_steady:
                raise
            self._note_refresh_failed(service, version)
            return True
        if answer.default == version:
            self._beliefs.confirm(service, version, now)
            return True
        self._beliefs.observe_default(service, answer.default)
        return False

    async def _store(
        self, service: str, digest: bytes, version: str, deadline: float
    ) -> None:
        """Store a record; raises `OriginUnavailableError`."""
        self._order = max(self._order + 1, self._clock.wall_ms())
        order = self._order
        self._begun.note(digest, None, order, self._clock.monotonic())
        entry = StreamRecord(
            service,
            OriginRecord(digest, version, order),
            deadline,
        )
        try:
            stored = await self._in_time(
                self._link.records.submit(entry), deadline
            )
        except OriginUnavailableError:
            BEGUN.labels('failed').inc()
            raise
        self._beliefs.observe_default(service, stored.default)
        if not stored.is_accepted:
            BEGUN.labels('full').inc()
            raise OriginUnavailableError('the records are full')
        BEGUN.labels('recorded').inc()
        self._begun.note(digest, version, order, self._clock.monotonic())

    async def _in_time(
        self, work: Awaitable[_AnswerT], deadline: float
    ) -> _AnswerT:
        """Wait for the leader; raises `OriginUnavailableError`."""
        left_s = max(deadline - self._clock.monotonic(), 0)
        try:
            async with asyncio.timeout(left_s):
                return await work
        except (TimeoutError, LeaderUnavailableError) as error:
            raise OriginUnavailableError(
                f'no leader answered within {left_s:.3g} s',
            ) from error

    def _note_refresh_failed(self, service: str, version: str) -> None:
        now = self._clock.monotonic()
        if now < self._refresh_at:
            return
        self._refresh_at = now + REFRESH_RETRY_S
        log_event(
            'origins.default_unconfirmed',
            service=service,
            version=version,
        )

    def _log_found(
        self,
        stream: StreamKey,
        version: str | None,
        source: str,
        began_at: float,
    ) -> None:
        FOUND.labels(source).inc()
        log_event(
            'origins.found',
            service=stream.service,
            stream=stream.digest.hex()[:_PREFIX_LENGTH],
            version=version,
            source=source,
            took_s=self._clock.monotonic() - began_at,
        )
