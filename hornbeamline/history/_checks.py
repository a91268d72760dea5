"""Checks of what single hosts showed over time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class RevisionObservation(NamedTuple):
    """A host answered a request under a revision."""

    host: str
    revision: int
    # Seconds, on one clock for all observations.
    began_s: float
    ended_s: float


def check_monotonic_revisions(
    observations: Iterable[RevisionObservation],
) -> list[str]:
    """Return one line for each host that went back to an older revision.

    Two requests that overlap may be answered in either order.
    """
    violations: list[str] = []
    ordered = sorted(observations, key=lambda seen: seen.ended_s)
    for index, later in enumerate(ordered):
        newest = max(
            (
                seen.revision
                for seen in ordered[:index]
                if seen.host == later.host and seen.ended_s < later.began_s
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
    """Return one line for each answer under a revision that was too old.

    A revision accepted at time t is in force on every host that starts
    work after t + `bound_s`.
    """
    violations: list[str] = []
    for seen in observations:
        in_force = max(
            (
                revision
                for revision, at_s in accepted_s_by_revision.items()
                if at_s + bound_s < seen.began_s
            ),
            default=0,
        )
        if seen.revision < in_force:
            violations.append(
                f'{seen.host} served revision {seen.revision} at '
                f'{seen.began_s:.3f} s, {in_force} was in force',
            )
    return violations
