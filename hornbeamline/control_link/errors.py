"""Errors of calls to the leader."""

from __future__ import annotations

from hornbeamline.exceptions import PeeringError


class LeaderUnavailableError(PeeringError):
    """No leader answered in time; the call may have been executed."""
