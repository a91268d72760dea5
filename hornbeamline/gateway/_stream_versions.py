"""Binds streams to the software versions of their targets."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

from hornbeamline.core import TaskSet
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import (
    Account,
    CallerRequest,
    Refusal,
    Route,
    RouteKind,
)
from hornbeamline.gateway._version_binding import (
    ORIGIN_TIMEOUT_S,
    BegunStream,
    OriginRecords,
    VersionBinding,
)
from hornbeamline.gateway.const import (
    REASON_NO_TARGET,
    REASON_ORIGIN_UNKNOWN,
    REASON_VERSION_GONE,
)
from hornbeamline.gateway.errors import RefusedError
from hornbeamline.origins import OriginUnavailableError, StreamKey
from hornbeamline.telemetry import log_event

# Share of the caller's time that a resumption waits for the origin: a refused
# caller can return to another host meanwhile.
FIND_SHARE: Final = 0.25
# Streams and their resumptions end within this multiple of their time limit.
LIFETIME_RATIO: Final = 2
# Time that a list of targets may lag behind the restart of a target, and the
# number of streams begun during it that are checked at most.
LIST_LAG_S: Final = 3.0
# Interval of checking for a list that was read after a resumption arrived.
_LIST_CHECK_S: Final = 0.05
_MAX_RECENT: Final = 4096
# Version of a stream whose target was not the listed one.
UNKNOWN_VERSION: Final = '\0'
_RETRY_AFTER_S: Final = 1.0
_UNAVAILABLE: Final = 503


class StreamVersions:
    """Binds streams to the software versions of their targets."""

    def __init__(
        self,
        records: OriginRecords,
        targets: TargetDirectory,
        list_lag_s: float = LIST_LAG_S,
    ) -> None:
        """Use these records and the listed targets.

        `list_lag_s` is the time after which each target that has joined is in
        a list that is read.
        """
        self._records = records
        self._targets = targets
        self._list_lag_s = list_lag_s
        # Streams that began a short time ago, with the time, oldest first.
        self._recent: deque[tuple[float, BegunStream]] = deque(
            maxlen=_MAX_RECENT
        )
        self._tasks = TaskSet()
        targets.on_changed = self._check_recent

    async def bind_request(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        account: Account | None,
        left_s: float,
    ) -> VersionBinding:
        """Return the binding of a request that has `left_s` seconds left.

        Raises `RefusedError` if the request resumes a stream that cannot go
        on: its version is not known, or no longer serves.
        """
        if route.kind is not RouteKind.STREAM or not route.can_resume:
            return VersionBinding()
        account_name = '' if account is None else account.name
        own = StreamKey(service, account_name, request.id)
        if request.resumes is None and request.last_event_id is None:
            return self._new_binding(own)
        stream = StreamKey(service, account_name, request.resumes or '')
        version = await self._find(request, route, stream, left_s)
        pause_s = None
        if version is not None:
            pause_s = self._targets.version_pause_s(service, version)
        if pause_s != 0:
            raise self._refusal(request, service, version, pause_s)
        if request.last_event_id is None:
            # The caller has no event yet, so that it may name this attempt
            # when it resumes the stream.
            return self._new_binding(own, version)
        return VersionBinding(version=version)

    def _new_binding(
        self, stream: StreamKey, required: str | None = None
    ) -> VersionBinding:
        return VersionBinding(
            self._records,
            stream if stream.request_id else None,
            required,
            self._note_begun,
        )

    async def _find(
        self,
        request: CallerRequest,
        route: Route,
        stream: StreamKey,
        left_s: float,
    ) -> str | None:
        """Return the version of a resumed stream; None if it is unknown."""
        wait_until = self._targets.now() + left_s * FIND_SHARE
        if request.resumes is None:
            # The caller does not say which attempt began its stream.
            return await self._sole_version(request, route, stream, wait_until)
        timeout_s = min(ORIGIN_TIMEOUT_S, left_s * FIND_SHARE)
        try:
            found = await self._records.find(stream, timeout_s)
        except OriginUnavailableError as error:
            log_event(
                'request.origin_unavailable',
                request=request.id,
                resumes=request.resumes,
                error=str(error),
            )
            return await self._sole_version(request, route, stream, wait_until)
        return None if found == UNKNOWN_VERSION else found

    async def _sole_version(
        self,
        request: CallerRequest,
        route: Route,
        stream: StreamKey,
        wait_until: float,
    ) -> str | None:
        """Return the version if no other can have begun the stream.

        Targets of another version may have joined while this host was cut off
        or suspended. Only a list that is read after the resumption arrived,
        plus its lag, has all that can have begun the stream.
        """
        for_s = LIFETIME_RATIO * route.timeout_s
        read_after = request.received_at + self._list_lag_s
        while True:
            sole = self._records.sole_version(stream.service, for_s, read_after)
            candidate = self._records.sole_version(stream.service, for_s)
            now = self._targets.now()
            if sole is not None or candidate is None or now >= wait_until:
                log_event(
                    'request.sole_version',
                    request=request.id,
                    resumes=request.resumes,
                    version=sole,
                    candidate=candidate,
                    list_age_s=self._targets.age_s,
                )
                return sole
            await asyncio.sleep(_LIST_CHECK_S)

    def _refusal(
        self,
        request: CallerRequest,
        service: str,
        version: str | None,
        pause_s: float | None,
    ) -> RefusedError:
        listed = self._targets.versions_by_service().get(service, {})
        log_event(
            'request.not_resumed',
            request=request.id,
            resumes=request.resumes,
            service=service,
            version=version,
            pause_s=pause_s,
            listed=','.join(sorted(listed)),
            list_age_s=self._targets.age_s,
        )
        reason = REASON_VERSION_GONE
        retry_after_s = None
        if version is None:
            reason = REASON_ORIGIN_UNKNOWN
            retry_after_s = _RETRY_AFTER_S
        elif pause_s is not None:
            reason = REASON_NO_TARGET
            retry_after_s = pause_s
        return RefusedError(
            Refusal(
                _UNAVAILABLE,
                reason,
                f'{service}: no target continues a stream of {version}',
                retry_after_s,
            )
        )

    def _note_begun(self, begun: BegunStream) -> None:
        self._recent.append((self._targets.now(), begun))
        self._check_recent()

    def _check_recent(self) -> None:
        """Forget the versions of streams whose targets were not as listed.

        A target may have started again under its id, with another version,
        before the stream began.
        """
        oldest = self._targets.now() - LIST_LAG_S
        while self._recent and self._recent[0][0] < oldest:
            self._recent.popleft()
        for _, begun in self._recent:
            listed = self._targets.listed(begun.target.id)
            if listed is None or listed.version == begun.target.version:
                continue
            if begun.binding.version == UNKNOWN_VERSION:
                continue
            begun.binding.version = UNKNOWN_VERSION
            log_event(
                'request.origin_uncertain',
                request=begun.stream.request_id,
                target=listed.id,
                known=begun.target.version,
                listed=listed.version,
            )
            self._tasks.spawn(
                self._record_unknown(begun.stream), 'origin of a stream'
            )

    async def _record_unknown(self, stream: StreamKey) -> None:
        try:
            await self._records.record(
                stream, UNKNOWN_VERSION, ORIGIN_TIMEOUT_S
            )
        except OriginUnavailableError as error:
            log_event(
                'request.origin_unavailable',
                request=stream.request_id,
                resumes=None,
                error=str(error),
            )
