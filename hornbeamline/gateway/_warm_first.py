"""Selection of a target for a request, warm ones first."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from hornbeamline.gateway._job import Job
from hornbeamline.gateway._picker import PickCriteria, TargetPicker
from hornbeamline.gateway._targets import TargetDirectory
from hornbeamline.gateway._types import RouteKind, Target

# Load per slot of the best warm target from which requests also go to cold
# ones: below, no request waits for the granter's reply.
_FULL_LOAD: Final = 1.0


def pick_target(
    job: Job,
    targets: TargetDirectory,
    picker: TargetPicker,
    excluded: Collection[str],
) -> Target | None:
    """Return the target for the next attempt of a request, or None.

    A cold target is selected only if no warm one has a free slot.
    """
    criteria = PickCriteria.of_job(job, excluded)
    available = targets.available_targets(job.service, job.binding.version)
    pick = (
        picker.pick_engine
        if job.route.kind is RouteKind.STREAM
        else picker.pick
    )
    if not targets.limits.warmup.beliefs_by_id:
        return pick(available, criteria)
    is_cold = targets.limits.is_cold
    warm = [
        target
        for target in available
        if not is_cold(target.id) and not picker.is_ejected(target)
    ]
    if len(warm) < len(available):
        chosen = pick(warm, criteria)
        if chosen and picker.load_per_slot(chosen) < _FULL_LOAD:
            return chosen
    return pick(available, criteria)


def permit_candidates(
    job: Job,
    targets: TargetDirectory,
    picker: TargetPicker,
    tried: Collection[str],
) -> list[Target]:
    """Return the targets of which a request may wait for a permit.

    The best one that needs no permit, if there is such a target.
    """
    candidates = [
        target
        for target in targets.accepting_targets(job.service)
        if target.id not in tried and job.binding.allows(target)
    ]
    limited = [
        target.id
        for target in candidates
        if targets.limits.is_limited(target.id)
    ]
    unlimited = pick_target(job, targets, picker, [*tried, *limited])
    return candidates if unlimited is None else [unlimited]
