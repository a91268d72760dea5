"""Execution of pipelines stage by stage."""

from __future__ import annotations

from hornbeamline.pipeline._claims import (
    Claim,
    ClaimDecision,
    ClaimExisting,
    ClaimGranted,
    ClaimOutcome,
    ClaimRefused,
    Claims,
    ClaimState,
    ClaimView,
    SendPermit,
)
from hornbeamline.pipeline._events import TokenEvents
from hornbeamline.pipeline._executor import FleetSource, PipelineExecutor
from hornbeamline.pipeline._types import (
    Outcome,
    OutcomeKind,
    PipelineRequest,
    StageCost,
)

__all__ = (
    'Claim',
    'ClaimDecision',
    'ClaimExisting',
    'ClaimGranted',
    'ClaimOutcome',
    'ClaimRefused',
    'ClaimState',
    'ClaimView',
    'Claims',
    'FleetSource',
    'Outcome',
    'OutcomeKind',
    'PipelineExecutor',
    'PipelineRequest',
    'SendPermit',
    'StageCost',
    'TokenEvents',
)
