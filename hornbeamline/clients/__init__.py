"""Bounds on what the clients of a process may use."""

from __future__ import annotations

from hornbeamline.clients._budget import ClientBudget
from hornbeamline.clients._interface import (
    HeadChecks,
    HeadRefusal,
    NoChecks,
)
from hornbeamline.clients._limits import ProcessLimits, RequestLimits
from hornbeamline.clients._listener import ListenerTerms
from hornbeamline.clients._protocol import HEAD_AT, ClientProtocol

__all__ = (
    'HEAD_AT',
    'ClientBudget',
    'ClientProtocol',
    'HeadChecks',
    'HeadRefusal',
    'ListenerTerms',
    'NoChecks',
    'ProcessLimits',
    'RequestLimits',
)
