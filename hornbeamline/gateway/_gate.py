"""Checks before calls to targets, and signals in their responses."""

from __future__ import annotations

from hornbeamline.gateway._metrics import CALLS_WITHHELD
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import AnswerHead, Target
from hornbeamline.gateway.errors import (
    ConnectionDeniedError,
    TargetGoneError,
    TargetLimitedError,
)
from hornbeamline.limits import LimitService, Permit


class TargetGate:
    """Check each call to a listed target and process its response head."""

    def __init__(
        self,
        targets: TargetDirectory,
        limits: LimitService,
    ) -> None:
        """Create a gate for the listed targets and their rate limits."""
        self._targets = targets
        self._limits = limits

    async def admit(
        self,
        target: Target,
        request_id: str = '',
        max_wait_s: float = 0,
        *,
        is_spare: bool = False,
    ) -> Permit | None:
        """Return a permit for one call, or None if none is available.

        Waits up to `max_wait_s` seconds. `is_spare` marks calls that no
        caller waits for.
        """
        return await self._limits.acquire(
            target,
            request_id,
            max_wait_s,
            is_spare=is_spare,
        )

    def check_before_send(self, target: Target, permit: Permit) -> None:
        """Raise `NotRunError` if a call must no longer be sent.

        While the connection is being opened, the target may start to drain
        or to pause, its data centre may be evacuated, and the permit may
        expire.
        """
        if not self._targets.accepts_work(target):
            CALLS_WITHHELD.inc()
            raise TargetGoneError(
                f'{target.id}: target is draining, paused or evacuated'
            )
        if not self._targets.limits.allows(target.id, permit):
            CALLS_WITHHELD.inc()
            raise TargetLimitedError(f'{target.id}: permit is no longer valid')

    def note_failed_call(self, target: Target, error: Exception) -> None:
        """Process the failure of a call; one that was refused may be cold."""
        if isinstance(error, ConnectionDeniedError):
            self.note_ended(target)

    def note_ended(self, target: Target) -> None:
        """Record that a target does not accept connections."""
        self._limits.warmup.note_unreachable(target)

    def process_response_signals(
        self,
        target: Target,
        head: AnswerHead,
        permit: Permit,
    ) -> None:
        """Process the drain, pause and rate limit signals of a response."""
        if head.wrong_target:
            # Another target has taken over the address, so the signals do not
            # concern the expected one.
            return
        availability = self._targets.availability
        if head.is_leaving:
            availability.note_leaving(target.id)
        if head.pause_s is not None:
            availability.note_pause(target.id, head.pause_s)
        if head.limit_per_s is not None:
            self._limits.note_answer(target, head.limit_per_s, permit)
        if head.warmup_left_s is not None:
            self._limits.warmup.note_answer(target, head.warmup_left_s, permit)
