"""Accepted inventory and rules, and the lease to serve under them."""

from __future__ import annotations

from hornbeamline.configuration._static import StaticFleetSource

__all__ = ('StaticFleetSource',)
