"""Stage-by-stage execution of pipeline requests."""

from __future__ import annotations

from hornbeamline.pipeline._claims import Claims
from hornbeamline.pipeline._events import TokenEvents
from hornbeamline.pipeline._executor import FleetSource, PipelineExecutor
from hornbeamline.pipeline._ticker import DecisionTicker
from hornbeamline.pipeline._types import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
    StageCost,
)

__all__ = (
    'Claims',
    'DecisionTicker',
    'FleetSource',
    'Outcome',
    'OutcomeKind',
    'PipelineExecutor',
    'PipelineRequest',
    'StageCost',
    'TokenEvents',
)
