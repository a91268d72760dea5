"""Availability of targets, from the platform's list and their responses."""

from __future__ import annotations

from hornbeamline.membership._poller import MembershipPoller
from hornbeamline.membership._sources import (
    Source,
    TargetList,
    make_source,
    source,
)
from hornbeamline.membership._standings import TargetAvailability
from hornbeamline.membership._view import MembershipView
from hornbeamline.membership.errors import (
    MembershipError,
    SourceFailedError,
    UnknownSourceError,
)

__all__ = (
    'MembershipError',
    'MembershipPoller',
    'MembershipView',
    'Source',
    'SourceFailedError',
    'TargetList',
    'TargetAvailability',
    'UnknownSourceError',
    'make_source',
    'source',
)
