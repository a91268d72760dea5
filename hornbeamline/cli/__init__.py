"""Command-line interface of hornbeamline."""

from __future__ import annotations

from hornbeamline.cli._app import main

__all__ = ('main',)
