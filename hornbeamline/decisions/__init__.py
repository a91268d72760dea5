"""Admission, routing, concurrency limits, retries and hedges.

The package imports no HTTP or peer library and never sleeps. Settings, clock
and random source are passed to constructors, so that tests and benchmarks can
drive it at any speed and reproduce a run from its seed.
"""

from __future__ import annotations

from hornbeamline.decisions._engine import DecisionEngine
from hornbeamline.decisions._routing import RoutingView, algorithm
from hornbeamline.decisions._types import (
    CallReport,
    CallResult,
    DecisionCallback,
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
    'DecisionCallback',
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
