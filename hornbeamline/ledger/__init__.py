"""Replicated ledger of entry process sessions and request key claims."""

from __future__ import annotations

from hornbeamline.ledger._client import LedgerClient
from hornbeamline.ledger._machine import LedgerMachine
from hornbeamline.ledger._service import LedgerService
from hornbeamline.ledger._types import (
    Claim,
    ClaimDecision,
    ClaimExisting,
    ClaimGranted,
    ClaimOutcome,
    ClaimRefused,
    ClaimState,
    ClaimView,
    SendPermit,
    make_outcome,
)
from hornbeamline.ledger.errors import (
    ClaimFencedError,
    LedgerUnavailableError,
)

__all__ = (
    'Claim',
    'ClaimDecision',
    'ClaimExisting',
    'ClaimFencedError',
    'ClaimGranted',
    'ClaimOutcome',
    'ClaimRefused',
    'ClaimState',
    'ClaimView',
    'LedgerClient',
    'LedgerMachine',
    'LedgerService',
    'LedgerUnavailableError',
    'SendPermit',
    'make_outcome',
)
