"""What the pipeline needs of the ledger of claims."""

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
    """Ledger operations; each raises `LedgerError` when it fails."""

    async def claim(
        self,
        account: str,
        key: str,
        digest: str,
        deadline_s: float,
    ) -> ClaimDecision:
        """Claim a request key."""

    async def mark_sending(self, claim: Claim, send_by_s: float) -> SendPermit:
        """Record that the claim's request is about to be sent."""

    def may_send(self, permit: SendPermit) -> bool:
        """Return whether the first byte may be written at this moment."""

    async def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Record the outcome of a claim."""

    async def lookup(self, account: str, key: str) -> ClaimView | None:
        """Return a claim, or None when the key is not known."""

    async def wait_outcome(
        self,
        account: str,
        key: str,
        timeout_s: float,
    ) -> ClaimView | None:
        """Return a claim once it has an outcome or the time is over."""
