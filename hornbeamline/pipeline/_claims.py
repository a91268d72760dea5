"""Interface of the claim ledger that the executor uses."""

from __future__ import annotations

from typing import Protocol

from hornbeamline.ledger import (
    Claim,
    ClaimDecision,
    ClaimOutcome,
    ClaimView,
    SendPermit,
)


class Claims(Protocol):
    """Operations on the claim ledger.

    The asynchronous operations raise `LedgerError` when they fail, except
    `claim`, which returns a `ClaimRefused`.
    """

    async def claim(
        self,
        account: str,
        key: str,
        digest: str,
        deadline_s: float,
    ) -> ClaimDecision:
        """Claim a request key for a request body with the given digest."""

    async def mark_sending(self, claim: Claim, send_by_s: float) -> SendPermit:
        """Record that calls of the claimed request may be sent."""

    def may_send(self, permit: SendPermit) -> bool:
        """Return whether the first byte of a call may be written now."""

    async def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Record the final outcome of a claim."""

    async def lookup(self, account: str, key: str) -> ClaimView | None:
        """Return a claim, or None if the key is unknown."""

    async def wait_outcome(
        self,
        account: str,
        key: str,
        timeout_s: float,
    ) -> ClaimView | None:
        """Return a claim when it has an outcome or on timeout."""
