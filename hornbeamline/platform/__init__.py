"""Adapter: runs hornbeamline on the municipal platform."""

from __future__ import annotations
