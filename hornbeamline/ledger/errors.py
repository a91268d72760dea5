"""Errors raised by the ledger client."""

from __future__ import annotations

from hornbeamline.exceptions import LedgerError


class ClaimFencedError(LedgerError):
    """The attempt does not own the claim, or the claim is in a wrong state."""


class LedgerUnavailableError(LedgerError):
    """No leader answered in time; the operation may have been applied."""
