"""What may be sent to a target, and what its answers tell."""

from __future__ import annotations

from hornbeamline.gateway._metrics import KEPT_AWAY
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import AnswerHead, Target
from hornbeamline.gateway.errors import TargetGoneError, TargetLimitedError
from hornbeamline.limits import LimitService, Permit


class TargetGate:
    """Every call to a target of the list passes it, in both directions."""

    def __init__(
        self,
        targets: TargetDirectory,
        limits: LimitService,
    ) -> None:
        """Take the list of targets and the permits for limited ones."""
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
        """Return a permit for one call, or None when none is to be had.

        `is_spare` marks calls that serve no caller.
        """
        return await self._limits.acquire(
            target,
            request_id,
            max_wait_s,
            is_spare=is_spare,
        )

    def check_before_send(self, target: Target, permit: Permit) -> None:
        """Raise `NotRunError` if a call must not be sent any more.

        News may come, and a permit may end, while the connection is opened.
        """
        if not self._targets.standings.accepts_work(target.id):
            KEPT_AWAY.inc()
            raise TargetGoneError(f'{target.id}: leaves or rests')
        if not self._targets.limits.allows(target.id, permit):
            KEPT_AWAY.inc()
            raise TargetLimitedError(f'{target.id}: no permit')

    def note_answer(
        self,
        target: Target,
        head: AnswerHead,
        permit: Permit,
    ) -> None:
        """Take what a target says of itself in an answer."""
        if head.wrong_target:
            # Another target has the address now; its words are its own.
            return
        standings = self._targets.standings
        if head.is_leaving:
            standings.note_leaving(target.id)
        if head.rest_s is not None:
            standings.note_rest(target.id, head.rest_s)
        if head.limit_per_s is not None:
            self._limits.note_answer(target, head.limit_per_s, permit)
