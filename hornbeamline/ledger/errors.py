"""Errors of ledger operations."""

from __future__ import annotations

from hornbeamline.exceptions import LedgerError


class ClaimFencedError(LedgerError):
    """The claim is no longer owned or no longer in the needed state."""


class LedgerUnavailableError(LedgerError):
    """No leader answered in time; the operation may have been applied."""
