"""Errors of remote calls to the leader."""

from __future__ import annotations

from hornbeamline.exceptions import PeeringError


class LeaderUnavailableError(PeeringError):
    """No usable reply in time; the call may have been executed."""
