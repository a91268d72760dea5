"""Interface between the gateway and a platform adapter."""

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
    """Values for the headers that the system sets itself."""

    target: Target
    account: Account | None
    left_s: float
    # Handles of the stage results that the target fetches.
    inputs: Sequence[str]
    rank: int
    last_event_id: int | None


class Answer(NamedTuple):
    """A complete response that the gateway generates."""

    status: int
    headers: Headers
    body: bytes


class Wire(Protocol):
    """Translate between HTTP messages and the types of the gateway."""

    def read_request(
        self,
        scope: Mapping[str, Any],
        received_at: float,
    ) -> CallerRequest:
        """Parse an ASGI scope; raise `RefusedError` if it is invalid."""

    def target_headers(
        self,
        request: CallerRequest,
        chosen: TargetHeaders,
    ) -> Headers:
        """Return all headers of an attempt at a target."""

    def read_answer(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> AnswerHead:
        """Parse the head of a target's response."""

    def refusal_answer(
        self,
        request: CallerRequest | None,
        refusal: Refusal,
    ) -> Answer:
        """Return the response to a caller whose request is refused."""

    def stage_call(
        self,
        target: Target,
        pieces: Sequence[Piece],
        left_s: Sequence[float],
    ) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of a call with pieces.

        `left_s` is the remaining time of each piece in seconds.
        """

    def read_stage_results(
        self,
        body: bytes,
        expected: int,
    ) -> list[PieceResult]:
        """Parse the results, in the order of the pieces of the call.

        Raises `BatchingError` if the body is invalid.
        """

    def release_call(
        self,
        handles: Sequence[str],
    ) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of a call that releases results."""

    def address_of(self, handle: str) -> str:
        """Return the address of the target that holds a result."""
