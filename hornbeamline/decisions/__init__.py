"""Decisions about admission, routing, limits, retries and hedges.

This package imports no HTTP or peer library. It takes settings, clock and
random source through constructors and never sleeps, so that a test or an
outside bench can drive it at any speed with one seed.
"""

from __future__ import annotations

from hornbeamline.decisions._engine import DecisionEngine
from hornbeamline.decisions._routing import RoutingView, algorithm
from hornbeamline.decisions._types import (
    CallReport,
    CallResult,
    Decided,
    DecisionSettings,
    Dispatch,
    LoadReport,
    Refusal,
    RequestInfo,
    StageCall,
)

__all__ = (
    'CallReport',
    'CallResult',
    'Decided',
    'DecisionEngine',
    'DecisionSettings',
    'Dispatch',
    'LoadReport',
    'Refusal',
    'RequestInfo',
    'RoutingView',
    'StageCall',
    'algorithm',
)
