"""Request rates that targets take from all hosts together.

One host grants the permits of a target, so that the sum over all hosts
stays below the limit and follows the need of each.
"""

from __future__ import annotations

from hornbeamline.limits._beliefs import TargetLimits
from hornbeamline.limits._permit import UNLIMITED, LimitedTarget, Permit
from hornbeamline.limits._service import Granters, LimitService

__all__ = (
    'UNLIMITED',
    'Granters',
    'LimitService',
    'LimitedTarget',
    'Permit',
    'TargetLimits',
)
