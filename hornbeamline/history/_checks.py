"""Checks of the configuration revisions that hosts served over time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class RevisionObservation(NamedTuple):
    """An answer of a host and the revision under which it was served."""

    host: str
    revision: int
    # Seconds on a clock that all observations share.
    began_s: float
    ended_s: float


def check_monotonic_revisions(
    observations: Iterable[RevisionObservation],
) -> list[str]:
    """Return one line for each answer that went back to an older revision.

    The order of the answers to two overlapping requests is not checked.
    """
    violations: list[str] = []
    ordered = sorted(observations, key=lambda observation: observation.ended_s)
    for index, later in enumerate(ordered):
        newest = max(
            (
                observation.revision
                for observation in ordered[:index]
                if observation.host == later.host
                and observation.ended_s < later.began_s
            ),
            default=0,
        )
        if newest > later.revision:
            violations.append(
                f'{later.host} served revision {later.revision} after {newest}',
            )
    return violations


def check_takes_force(
    observations: Iterable[RevisionObservation],
    accepted_s_by_revision: Mapping[int, float],
    bound_s: float,
) -> list[str]:
    """Return one line for each answer under an outdated revision.

    A revision accepted at time t must be in force on every host for work
    that starts after t + `bound_s`.
    """
    violations: list[str] = []
    for observation in observations:
        in_force = max(
            (
                revision
                for revision, at_s in accepted_s_by_revision.items()
                if at_s + bound_s < observation.began_s
            ),
            default=0,
        )
        if observation.revision < in_force:
            violations.append(
                f'{observation.host} served revision {observation.revision} at '
                f'{observation.began_s:.3f} s, {in_force} was in force',
            )
    return violations
