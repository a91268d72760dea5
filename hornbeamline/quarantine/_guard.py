"""Guard of one request: refuses, interrupts and reports it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from types import TracebackType
from typing import Protocol

from hornbeamline.quarantine._likelihood import AnswerTiming
from hornbeamline.quarantine._types import EngineCrash
from hornbeamline.quarantine.const import SUSPECT_ENGINES
from hornbeamline.quarantine.errors import PartQuarantinedError


class GuardOwner(Protocol):
    """The quarantine, as its guards use it."""

    def check(self, parts: Sequence[str]) -> None:
        """Raise `PartQuarantinedError` if a part is in quarantine."""

    def is_suspect(self, parts: Sequence[str]) -> bool:
        """Return whether a part may have crashed an engine."""

    def enter(self, guard: RequestGuard) -> None:
        """Watch a request until its answer begins."""

    def leave(self, guard: RequestGuard) -> None:
        """Stop watching a request."""

    def record_begun(
        self, guard: RequestGuard, timing: AnswerTiming | None
    ) -> None:
        """Record that an answer has begun."""

    def record_completed(self, guard: RequestGuard) -> None:
        """Record that an answer is complete."""

    def record_crash(self, guard: RequestGuard, crash: EngineCrash) -> None:
        """Record that an engine ended before an answer had an event."""


class RequestGuard:
    """Context of one request until its answer begins.

    If a verdict on one of its parts arrives in the meantime, the task of the
    request is cancelled, and `PartQuarantinedError` is raised at the exit.
    """

    def __init__(
        self,
        owner: GuardOwner,
        request_id: str,
        parts: Sequence[str],
        content: str = '',
    ) -> None:
        """Create a guard for a request with these shared parts.

        `content` is the key of the request's content.
        """
        self._owner = owner
        self.request_id = request_id
        self.parts = parts
        self.content = content
        # What may be in quarantine.
        self.keys = (*parts, content) if content else tuple(parts)
        # The request was sent to a target and may run there.
        self.may_have_run = False
        self._ended_engines = 0
        self._task: asyncio.Task[None] | None = None
        self._interrupted: PartQuarantinedError | None = None

    def __enter__(self) -> RequestGuard:
        """Raise `PartQuarantinedError` at once if the request is refused."""
        self.check()
        if self.keys:
            self._task = asyncio.current_task()
            self._owner.enter(self)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Convert the cancellation by a verdict to an error."""
        self._owner.leave(self)
        task = self._task
        self._task = None
        if self._interrupted is None or task is None:
            return
        if task.uncancel() <= 0 and exc_type is asyncio.CancelledError:
            raise self._interrupted

    def check(self) -> None:
        """Raise `PartQuarantinedError` if the request is in quarantine."""
        self._owner.check(self.keys)

    @property
    def is_suspect(self) -> bool:
        """Return whether the request may have crashed an engine."""
        if self._ended_engines >= SUSPECT_ENGINES:
            return True
        return self._owner.is_suspect(self.parts)

    def interrupt(self, error: PartQuarantinedError) -> None:
        """Cancel the request because of a verdict; called once."""
        self._owner.leave(self)
        if self._task is not None and self._interrupted is None:
            self._interrupted = error
            self._task.cancel()

    def answer_begun(self, timing: AnswerTiming | None = None) -> None:
        """Record that a target has begun the answer well.

        `timing` is None if the answer is not a stream.
        """
        self._owner.leave(self)
        if self.parts:
            self._owner.record_begun(self, timing)

    def answer_completed(self) -> None:
        """Record that a target has completed the answer."""
        if self.content:
            self._owner.record_completed(self)

    def engine_ended(self, crash: EngineCrash) -> None:
        """Record that the target of the request ended before an event."""
        # A verdict that follows must not cancel the task that runs this; the
        # next check ends it.
        self._owner.leave(self)
        self._ended_engines += 1
        self._owner.record_crash(self, crash)
