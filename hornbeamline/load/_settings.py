"""Settings of a load run."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct


class LoadTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of load settings tables; unknown keys are rejected."""


class Burst(LoadTable, frozen=True, kw_only=True):
    """A period in which the rate is multiplied by a factor."""

    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(gt=0)]
    factor: Annotated[float, Meta(gt=0)]


class SharedText(LoadTable, frozen=True, kw_only=True):
    """A period in which a share of the prompts begins with the same text."""

    text: Annotated[str, Meta(min_length=1, max_length=200)]
    share: Annotated[float, Meta(gt=0, le=1)]
    at_s: Annotated[float, Meta(ge=0)] = 0
    for_s: Annotated[float, Meta(gt=0)]


class LoadSettings(LoadTable, frozen=True, kw_only=True):
    """Schedule, destination and content of the requests."""

    # Caller addresses of the entry hosts.
    entries: Annotated[list[str], Meta(min_length=1)]
    rate_per_s: Annotated[float, Meta(gt=0)] = 50
    duration_s: Annotated[float, Meta(gt=0)] = 10
    seed: int = 1
    bursts: list[Burst] = []
    # Texts in prompts; stand-in engines can end when they begin to answer one.
    shared_texts: list[SharedText] = []
    # Relative weights of pipelines and client accounts, by name.
    pipelines: Annotated[dict[str, float], Meta(min_length=1)]
    accounts: Annotated[dict[str, float], Meta(min_length=1)]
    # Credentials by client account.
    credentials: dict[str, str]
    # Pipelines whose requests carry a request key.
    keyed_pipelines: list[str] = []
    deadline_ms: Annotated[int, Meta(ge=1)] = 4000
    # Maximum of resends after a lost connection, all with the same request
    # key.
    resends: Annotated[int, Meta(ge=0)] = 2
    # Whether a request with the outcome "not run" is resent after the
    # `retry_after_s` of the answer.
    obey_retry_after: bool = False
    # Whether answers are compared with those expected of the project's
    # stand-ins.
    check_answers: bool = True
    # Software versions of the stand-in engines. The tokens of an answer must
    # all be of one version.
    software_versions: Annotated[tuple[str, ...], Meta(min_length=1)] = ('',)
    max_in_progress: Annotated[int, Meta(ge=1)] = 4000
