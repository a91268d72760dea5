"""Software version that the targets of a stream must have."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final, Protocol, Self

from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import (
    Account,
    CallerRequest,
    Refusal,
    Route,
    RouteKind,
    Target,
)
from hornbeamline.gateway.const import (
    REASON_ORIGIN_UNKNOWN,
    REASON_VERSION_GONE,
)
from hornbeamline.gateway.errors import OriginNotRecordedError, RefusedError
from hornbeamline.origins import OriginUnavailableError, StreamKey
from hornbeamline.telemetry import log_event

# Longest wait for the origin of a stream to be found or recorded: an election
# takes less.
ORIGIN_TIMEOUT_S: Final = 2.0
# Share of the caller's time that a resumption waits for the origin: a refused
# caller can return to another host meanwhile.
FIND_SHARE: Final = 0.25
_RETRY_AFTER_S: Final = 1.0
_UNAVAILABLE: Final = 503


class OriginRecords(Protocol):
    """Records of the versions that began streams."""

    def sole_version(self, service: str) -> str | None:
        """Return the version if no other was listed for a long time."""

    async def record(
        self, stream: StreamKey, version: str, timeout_s: float
    ) -> None:
        """Store the version; raises `OriginUnavailableError`."""

    async def find(self, stream: StreamKey, timeout_s: float) -> str | None:
        """Return the version, if any; raises `OriginUnavailableError`."""


class VersionBinding:
    """Software version to which the events of one stream are bound.

    A new stream is bound to the version of the target that writes its first
    event, a resumed one from the beginning.
    """

    def __init__(
        self,
        records: OriginRecords | None = None,
        stream: StreamKey | None = None,
        version: str | None = None,
    ) -> None:
        """Create a binding; without `stream`, the origin is not recorded."""
        self._records = records
        self._stream = stream
        self.version = version
        self._recording: asyncio.Task[None] | None = None
        self._recorded_version: str | None = None

    def allows(self, target: Target) -> bool:
        """Return whether a target may write the next events."""
        return self.version is None or target.version == self.version

    async def attempt_started(self, target: Target) -> None:
        """Record the origin while the target works on its first event."""
        if self.version is not None or self._stream is None:
            return
        if self._recorded_version == target.version and self._is_sound():
            return
        await self._stop_recording()
        self._start_recording(target.version, self._stream)

    async def bind(self, target: Target) -> None:
        """Bind the stream to a target, before its first event is relayed.

        Raises `OriginNotRecordedError` if the origin cannot be recorded: a
        caller that resumed the stream could be sent to other targets.
        """
        if self.version is not None:
            return
        if self._stream is not None:
            await self._await_record(target, self._stream)
        self.version = target.version

    async def __aenter__(self) -> Self:
        """Return the binding."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop recording."""
        await self._stop_recording()

    async def _stop_recording(self) -> None:
        recording = self._recording
        self._recording = None
        if recording is None or recording.done():
            return
        recording.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await recording

    def _is_sound(self) -> bool:
        recording = self._recording
        if recording is None:
            return False
        return not recording.done() or recording.exception() is None

    def _start_recording(self, version: str, stream: StreamKey) -> None:
        if self._records is None:
            return
        self._recorded_version = version
        self._recording = asyncio.ensure_future(
            self._records.record(stream, version, ORIGIN_TIMEOUT_S)
        )
        # Retrieved even if the attempt fails for another reason.
        self._recording.add_done_callback(_retrieve)

    async def _await_record(self, target: Target, stream: StreamKey) -> None:
        if not self._is_sound():
            self._start_recording(target.version, stream)
        recording = self._recording
        if recording is None:
            return
        try:
            await recording
        except OriginUnavailableError as error:
            raise OriginNotRecordedError(
                f'{target.id}: the origin of the stream is not recorded: '
                f'{error}'
            ) from error


class StreamVersions:
    """Binds streams to the software versions of their targets."""

    def __init__(
        self, records: OriginRecords, targets: TargetDirectory
    ) -> None:
        """Use these records and the listed targets."""
        self._records = records
        self._targets = targets

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
        if request.resumes is None and request.last_event_id is None:
            stream = StreamKey(service, account_name, request.id)
            return VersionBinding(self._records, stream if request.id else None)
        stream = StreamKey(service, account_name, request.resumes or '')
        version = await self._find(request, stream, left_s)
        if version is None:
            raise self._refuse(request, service, version)
        if not self._targets.serving_version(service, version):
            raise self._refuse(request, service, version)
        return VersionBinding(version=version)

    async def _find(
        self, request: CallerRequest, stream: StreamKey, left_s: float
    ) -> str | None:
        """Return the version of a resumed stream; None if it is unknown."""
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
            found = self._records.sole_version(stream.service)
        if request.resumes is not None:
            return found
        # The caller does not say which attempt began its stream.
        versions = self._targets.versions_by_service().get(stream.service, {})
        return found if versions.keys() <= {found} else None

    def _refuse(
        self, request: CallerRequest, service: str, version: str | None
    ) -> RefusedError:
        listed = self._targets.versions_by_service().get(service, {})
        log_event(
            'request.not_resumed',
            request=request.id,
            resumes=request.resumes,
            service=service,
            version=version,
            listed=','.join(sorted(listed)),
            list_age_s=self._targets.age_s,
        )
        if version is None:
            return RefusedError(
                Refusal(
                    _UNAVAILABLE,
                    REASON_ORIGIN_UNKNOWN,
                    'the version that began the stream is not known',
                    _RETRY_AFTER_S,
                )
            )
        return RefusedError(
            Refusal(
                _UNAVAILABLE,
                REASON_VERSION_GONE,
                f'{service}: no target of version {version}',
            )
        )


def _retrieve(recording: asyncio.Task[None]) -> None:
    if not recording.cancelled():
        recording.exception()
