"""What the gateway needs from the adapter of a platform."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from hornbeamline.batching import Piece, PieceResult
from hornbeamline.gateway._types import (
    Account,
    AnswerHead,
    CallerRequest,
    Refusal,
    Target,
)

Headers = list[tuple[str, str]]


class TargetHeaders(NamedTuple):
    """Inputs of the headers that the system sets itself."""

    target: Target
    account: Account | None
    left_s: float
    # Handles of the results of the last stages.
    inputs: Sequence[str]
    rank: int
    last_event_id: int | None


class Answer(NamedTuple):
    """A complete answer of the gateway's own."""

    status: int
    headers: Headers
    body: bytes


class Wire(Protocol):
    """Translates between HTTP messages and the types of the gateway."""

    def read_request(
        self,
        scope: Mapping[str, Any],
        received_at: float,
    ) -> CallerRequest:
        """Return the request of an ASGI scope; raises `RefusedError`."""

    def target_headers(
        self,
        request: CallerRequest,
        chosen: TargetHeaders,
    ) -> Headers:
        """Return all headers of an attempt."""

    def read_answer(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> AnswerHead:
        """Return what the head of a target's answer says."""

    def refusal_answer(
        self,
        request: CallerRequest | None,
        refusal: Refusal,
    ) -> Answer:
        """Return the answer to a caller that is refused."""

    def stage_call(
        self,
        target: Target,
        pieces: Sequence[Piece],
        left_s: Sequence[float],
    ) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of a call with pieces."""

    def read_stage_results(
        self,
        body: bytes,
        expected: int,
    ) -> list[PieceResult]:
        """Return the results in order; raises `BatchingError`."""

    def release_call(
        self,
        handles: Sequence[str],
    ) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of a call that frees results."""

    def address_of(self, handle: str) -> str:
        """Return the address of the target that holds a result."""
