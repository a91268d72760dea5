"""Errors raised by the ledger client."""

from __future__ import annotations

from hornbeamline.exceptions import LedgerError


class ClaimFencedError(LedgerError):
    """The attempt no longer owns the claim, or its state has moved on."""


class LedgerUnavailableError(LedgerError):
    """No leader answered in time; the operation may have been applied."""
