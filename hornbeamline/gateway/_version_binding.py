"""Software version to which the events of one stream are bound."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, Self

from hornbeamline.gateway._types import Target
from hornbeamline.gateway.errors import OriginNotRecordedError
from hornbeamline.origins import OriginUnavailableError, StreamKey

# Longest wait for the origin of a stream to be found or recorded: an election
# takes less.
ORIGIN_TIMEOUT_S: Final = 2.0


class OriginRecords(Protocol):
    """Records of the versions that began streams."""

    def sole_version(
        self, service: str, for_s: float, read_after: float = -math.inf
    ) -> str | None:
        """Return the version if no other was listed for `for_s` seconds.

        None unless a list was read after `read_after`.
        """

    async def record(
        self, stream: StreamKey, version: str, timeout_s: float
    ) -> None:
        """Store the version; raises `OriginUnavailableError`."""

    async def find(self, stream: StreamKey, timeout_s: float) -> str | None:
        """Return the version, if any; raises `OriginUnavailableError`."""


class BegunStream(NamedTuple):
    """Stream whose first event is about to be sent."""

    stream: StreamKey
    target: Target
    binding: VersionBinding


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
        on_bound: Callable[[BegunStream], None] | None = None,
    ) -> None:
        """Create a binding; without `stream`, the origin is not recorded.

        `version` is that of a resumed stream. `on_bound` is called when the
        first event is about to be sent.
        """
        self._records = records
        self._stream = stream
        self.version = version
        self._on_bound = on_bound
        self._is_bound = False
        self._recording: asyncio.Task[None] | None = None
        self._recorded_version: str | None = None

    def allows(self, target: Target) -> bool:
        """Return whether a target may write the next events."""
        return self.version is None or target.version == self.version

    async def attempt_started(self, target: Target) -> None:
        """Record the origin while the target works on its first event."""
        if self._is_bound or self._stream is None:
            return
        if self._recorded_version == target.version and self._is_sound():
            return
        await self._stop_recording()
        self._start_recording(target.version, self._stream)

    async def bind(self, target: Target) -> None:
        """Bind the stream to a target, before its first event is sent.

        Raises `OriginNotRecordedError` if the origin cannot be recorded: a
        caller that resumed the stream could be sent to other targets.
        """
        if self._is_bound:
            return
        if self._stream is not None:
            await self._await_record(target, self._stream)
        self._is_bound = True
        self.version = target.version
        if self._stream is not None and self._on_bound is not None:
            self._on_bound(BegunStream(self._stream, target, self))

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
        await asyncio.wait({recording})

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
        # The attempt may end before the result is awaited.
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


def _retrieve(recording: asyncio.Task[None]) -> None:
    if not recording.cancelled():
        recording.exception()
