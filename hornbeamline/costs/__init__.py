"""Expected costs of requests and the choice of a target; does no I/O."""

from __future__ import annotations

from hornbeamline.costs._beliefs import (
    KIND_ENGINE,
    KIND_PLAIN,
    Beliefs,
    Candidate,
)
from hornbeamline.costs._bounded import RecentEntries
from hornbeamline.costs._choice import (
    LEAST_COMPLETION,
    Option,
    choose,
    sample,
)
from hornbeamline.costs._model import CostModel, CostParts, RequestFeatures
from hornbeamline.costs._speeds import SpeedEvidence, TargetSpeeds
from hornbeamline.costs._work import AttemptWork, WorkLeft

__all__ = (
    'KIND_ENGINE',
    'KIND_PLAIN',
    'LEAST_COMPLETION',
    'AttemptWork',
    'Beliefs',
    'Candidate',
    'CostModel',
    'CostParts',
    'Option',
    'RecentEntries',
    'RequestFeatures',
    'SpeedEvidence',
    'TargetSpeeds',
    'WorkLeft',
    'choose',
    'sample',
)
