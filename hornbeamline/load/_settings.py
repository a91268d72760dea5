"""Settings of one load run."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct


class LoadTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of a table of load settings; unknown keys are refused."""


class Burst(LoadTable, frozen=True, kw_only=True):
    """A time in which the rate is multiplied."""

    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(gt=0)]
    factor: Annotated[float, Meta(gt=0)]


class LoadSettings(LoadTable, frozen=True, kw_only=True):
    """What is sent, how fast and to whom."""

    # Caller addresses of the entry hosts.
    entries: Annotated[list[str], Meta(min_length=1)]
    rate_per_s: Annotated[float, Meta(gt=0)] = 50
    duration_s: Annotated[float, Meta(gt=0)] = 10
    seed: int = 1
    bursts: list[Burst] = []
    # Weights of pipelines and client accounts.
    pipelines: Annotated[dict[str, float], Meta(min_length=1)]
    accounts: Annotated[dict[str, float], Meta(min_length=1)]
    # Credentials by client account.
    credentials: dict[str, str]
    # Pipelines whose requests carry a request key.
    keyed_pipelines: list[str] = []
    deadline_ms: Annotated[int, Meta(ge=1)] = 4000
    # Resends after a lost connection, always with the same request key.
    resends: Annotated[int, Meta(ge=0)] = 2
    # A caller that is told "not run" comes back after Retry-After.
    obey_retry_after: bool = False
    # Compares answers with what the project's stand-ins must answer.
    check_answers: bool = True
    max_in_progress: Annotated[int, Meta(ge=1)] = 4000
