"""Quarantine of prompt parts that crash engines.

Entry hosts record which requests an engine had when it ended and which answers
began. Control processes spread this evidence to all hosts. Each host names the
parts that the evidence convicts and refuses requests that have them.
"""

from __future__ import annotations

from hornbeamline.quarantine._attribution import Finding, attribute
from hornbeamline.quarantine._contents import content_of
from hornbeamline.quarantine._evidence import EvidenceTable
from hornbeamline.quarantine._exchange import QuarantineExchange
from hornbeamline.quarantine._guard import RequestGuard
from hornbeamline.quarantine._likelihood import AnswerTiming, SoundTraffic
from hornbeamline.quarantine._quarantine import PartQuarantine
from hornbeamline.quarantine._relay import QuarantineRelay
from hornbeamline.quarantine._types import (
    CrashMark,
    EngineCrash,
    MarkWeight,
    Phase,
    Verdict,
)
from hornbeamline.quarantine.errors import PartQuarantinedError

__all__ = (
    'AnswerTiming',
    'CrashMark',
    'EngineCrash',
    'EvidenceTable',
    'Finding',
    'MarkWeight',
    'PartQuarantine',
    'PartQuarantinedError',
    'Phase',
    'QuarantineExchange',
    'QuarantineRelay',
    'RequestGuard',
    'SoundTraffic',
    'Verdict',
    'attribute',
    'content_of',
)
