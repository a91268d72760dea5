"""Client for submitting pieces to an owner on another host."""

from __future__ import annotations

import asyncio
from typing import Final

from hornbeamline.batching._messages import (
    AskStage,
    PiecesDone,
    StageState,
    SubmitPieces,
)
from hornbeamline.batching._types import PieceResult
from hornbeamline.batching.const import (
    ASK_INTERVAL_S,
    ASK_TIMEOUT_S,
    MAX_MISSED_ANSWERS,
    REPLY_MARGIN_S,
)
from hornbeamline.batching.errors import OwnerSilentError
from hornbeamline.exceptions import PeeringError
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event

_REASON_SILENT: Final = 'silent'
_REASON_UNKNOWN_PIECES: Final = 'does not know the pieces'


class OwnerClient:
    """Submit pieces to an owner and detect their loss.

    Computing can take seconds, during which the owner, the request or the
    reply can be lost. The owner is therefore polled at short intervals for
    the state of the pieces.
    """

    def __init__(self, peering: Peering) -> None:
        """Use `peering` to call owners."""
        self._peering = peering

    async def compute(
        self,
        owner: str,
        request: SubmitPieces,
    ) -> list[PieceResult] | None:
        """Return the outcomes, or None if the owner has lost the pieces.

        Raises `OwnerSilentError` if the owner does not answer.
        """
        submitting = asyncio.ensure_future(
            self._peering.call(
                owner,
                request,
                PiecesDone,
                request.terms.expires_s + REPLY_MARGIN_S,
            ),
        )
        asking = asyncio.ensure_future(self._ask_until_lost(owner, request))
        try:
            await asyncio.wait(
                {submitting, asking},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if submitting.done():
                return submitting.result().outcomes
            return asking.result()
        except PeeringError as error:
            _log_loss(owner, request, str(error))
            raise OwnerSilentError(owner) from error
        finally:
            submitting.cancel()
            asking.cancel()

    async def _ask_until_lost(
        self,
        owner: str,
        request: SubmitPieces,
    ) -> list[PieceResult] | None:
        first = request.pieces[0]
        question = AskStage(first.request_id, first.stage)
        missed = 0
        while missed < MAX_MISSED_ANSWERS:
            await asyncio.sleep(ASK_INTERVAL_S)
            try:
                state = await self._peering.call(
                    owner,
                    question,
                    StageState,
                    ASK_TIMEOUT_S,
                )
            except PeeringError:
                missed += 1
                continue
            missed = 0
            if state.outcomes:
                # The reply to the submission was lost.
                return state.outcomes
            if not state.is_known:
                _log_loss(owner, request, _REASON_UNKNOWN_PIECES)
                return None
        _log_loss(owner, request, _REASON_SILENT)
        raise OwnerSilentError(owner)


def _log_loss(owner: str, request: SubmitPieces, reason: str) -> None:
    log_event(
        'batching.owner_lost',
        request=request.pieces[0].request_id,
        service=request.service,
        owner=owner,
        reason=reason,
    )
