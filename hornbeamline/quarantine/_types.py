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
    # An answer to another request with the part has begun since.
    is_cleared: bool = False


class Verdict(NamedTuple):
    """A part in quarantine."""

    part: str
    # Log-odds that the part crashes engines.
    score: float
    # Engines that ended under the part.
    crashes: int
    # Monotonic time in seconds at which the quarantine ends.
    until: float
