"""HTTP interface for callers, served by each entry host."""

from __future__ import annotations

from hornbeamline.caller_api._app import CallerApi

__all__ = ('CallerApi',)
