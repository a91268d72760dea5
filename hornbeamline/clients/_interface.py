"""What a listener asks of its application about a request head."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol


class HeadRefusal(NamedTuple):
    """Response to a request that is refused from its head."""

    status: int
    reason: str
    headers: Sequence[tuple[str, str]]
    body: bytes


class HeadChecks(Protocol):
    """Decides about requests before their bodies are read."""

    def check(self, scope: Mapping[str, Any]) -> HeadRefusal | str:
        """Return a refusal, or the name of the client account.

        Called only for bodies that are large or of unknown size. The name
        is empty if the request has no account.
        """

    def refusal(
        self,
        scope: Mapping[str, Any],
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> HeadRefusal:
        """Return the response for a refusal that the listener decided."""


class NoChecks:
    """Accepts every request head."""

    def check(self, _scope: Mapping[str, Any]) -> HeadRefusal | str:
        """Return no account."""
        return ''

    def refusal(
        self,
        _scope: Mapping[str, Any],
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> HeadRefusal:
        """Return a response with the reason as JSON."""
        headers = [('Content-Type', 'application/json')]
        if retry_after_s is not None:
            headers.append(('Retry-After', f'{retry_after_s:.3g}'))
        return HeadRefusal(
            status, reason, headers, b'{"error":"%s"}' % reason.encode()
        )
