"""Errors of the origins of streams."""

from __future__ import annotations

from hornbeamline.exceptions import OriginError


class OriginUnavailableError(OriginError):
    """No leader answered in time, or the records are full.

    A record may still be stored.
    """
