"""Errors of reading the platform's list of targets."""

from __future__ import annotations

from hornbeamline.exceptions import HornbeamlineError


class MembershipError(HornbeamlineError):
    """The list of targets could not be used."""


class UnknownSourceError(MembershipError):
    """No source of the configured kind is registered."""


class SourceFailedError(MembershipError):
    """The source did not return a valid list."""
