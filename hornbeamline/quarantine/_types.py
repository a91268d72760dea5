"""Data types of the quarantine."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Phase(enum.IntEnum):
    """How far the answer to a request was when its engine ended."""

    # The request was sent and no part of the answer had arrived.
    SENT = 1
    # The head of the answer had arrived, and no complete event.
    HEAD = 2
    # Events had arrived, so that the prompt parts are not suspected, but the
    # content of the request is.
    BEGUN = 3


class EngineCrash(NamedTuple):
    """End of an engine, as seen by one of its requests."""

    # Id of the engine's start.
    target: str
    service: str
    phase: Phase
    # Seconds since the request was sent to the engine.
    waited_s: float


class MarkWeight(NamedTuple):
    """How much a mark speaks against its part."""

    # Log-likelihood ratio.
    score: float
    # Answers to sound requests are hardly ever at this point, so that a common
    # cause of several crashes does not explain it.
    is_telling: bool


class CrashMark(NamedTuple):
    """A part that a request of an engine had when the engine ended."""

    part: str
    target: str
    phase: int
    # Shared parts that follow in the prompt; the last one has the fewest
    # requests.
    following: int
    # Monotonic time in seconds.
    at: float
    # Id of the request.
    request: str
    # Seconds since the request was sent to the engine.
    waited_s: float
    weight: MarkWeight
    # An answer to another request with the part has begun since.
    is_cleared: bool = False
    # Key of the request's content; empty if it is not known.
    content: str = ''


class Verdict(NamedTuple):
    """A part in quarantine."""

    part: str
    # Log-odds that the part crashes engines.
    score: float
    # Engines that ended under the part.
    crashes: int
    # Monotonic time in seconds at which the quarantine ends.
    until: float
