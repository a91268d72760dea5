"""HTTP interface that callers use, on each entry host."""

from __future__ import annotations

from hornbeamline.caller_api._app import CallerApi

__all__ = ('CallerApi',)
