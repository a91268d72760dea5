"""Whether the applied state includes what a leader has committed."""

from __future__ import annotations

from collections.abc import Callable

from hornbeamline.helpers.clock import Clock
from hornbeamline.telemetry import log_event


class Freshness:
    """Tells whether a leader has recently confirmed the applied state.

    The state that a data folder holds may have been overtaken while this
    process was down, and that of a follower while it was cut off. It is
    confirmed when all entries are applied that a leader reported as
    committed at most `max_age_s` seconds ago.
    """

    def __init__(self, clock: Clock, max_age_s: float) -> None:
        """Initialize without a confirmation."""
        self._clock = clock
        self._max_age_s = max_age_s
        # Commit index that is not yet applied, and when it was reported.
        self._reported: tuple[int, float] | None = None
        self._confirmed_at: float | None = None
        self._callbacks: list[Callable[[], None]] = []

    def on_confirmed(self, callback: Callable[[], None]) -> None:
        """Register a callback for when the state becomes confirmed."""
        self._callbacks.append(callback)

    def is_recent(self) -> bool:
        """Return whether a leader has confirmed the state recently."""
        if self._confirmed_at is None:
            return False
        age_s = self._clock.monotonic() - self._confirmed_at
        return age_s <= self._max_age_s

    def note_report(self, commit_index: int, applied: int) -> None:
        """Record the commit index of a leader that has committed in its term.

        Earlier, the commit index of a leader may be lower than that of its
        predecessor. A report that is not yet applied is kept, since a later
        one might always be ahead of the applied state.
        """
        if self._reported is None:
            self._reported = (commit_index, self._clock.monotonic())
        self.note_applied(applied)

    def note_applied(self, applied: int) -> None:
        """Confirm the state if it includes the reported entries."""
        if self._reported is None or applied < self._reported[0]:
            return
        _, reported_at = self._reported
        self._reported = None
        self._confirm(reported_at, applied)

    def note_leadership(self, applied: int) -> None:
        """Confirm the state of a leader that has applied its no-op."""
        self._confirm(self._clock.monotonic(), applied)

    def _confirm(self, reported_at: float, applied: int) -> None:
        was_recent = self.is_recent()
        self._confirmed_at = reported_at
        if was_recent or not self.is_recent():
            return
        log_event('replog.state_confirmed', applied=applied)
        for callback in self._callbacks:
            try:
                callback()
            except Exception as error:
                # An error in a callback must not stop the log.
                log_event('replog.callback_failed', error=repr(error))
