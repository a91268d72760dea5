"""Errors of evacuation orders."""

from __future__ import annotations

from hornbeamline.exceptions import EvacuationError


class EvacuationUnavailableError(EvacuationError):
    """The order is not acknowledged; it may still take effect."""


class UnknownDataCentreError(EvacuationError):
    """No data centre has this name; nothing has changed."""
