"""Distributed rate limiting of requests to targets.

One host, the granter, issues the permits of a target. This keeps the total
request rate of all hosts below the limit and gives each host a share that
follows its demand.
"""

from __future__ import annotations

from hornbeamline.limits._granters import Granters
from hornbeamline.limits._known_limits import TargetLimits
from hornbeamline.limits._permit import UNLIMITED, LimitedTarget, Permit
from hornbeamline.limits._service import LimitService
from hornbeamline.limits._warmup import WarmupBeliefs, WarmupLimits

__all__ = (
    'UNLIMITED',
    'Granters',
    'LimitService',
    'LimitedTarget',
    'Permit',
    'TargetLimits',
    'WarmupBeliefs',
    'WarmupLimits',
)
