"""Execution of pipelines stage by stage."""

from __future__ import annotations

from hornbeamline.pipeline._executor import PipelineExecutor
from hornbeamline.pipeline._types import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
    StageCost,
)

__all__ = (
    'Outcome',
    'OutcomeKind',
    'PipelineExecutor',
    'PipelineRequest',
    'StageCost',
)
