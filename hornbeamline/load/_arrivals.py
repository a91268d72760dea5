"""Schedule of Poisson arrivals with bursts, generated from one seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import NamedTuple

from hornbeamline.load._settings import LoadSettings


class Arrival(NamedTuple):
    """One request of the schedule."""

    # Seconds since the start of the run.
    at_s: float
    number: int
    pipeline: str
    account: str
    # Text with which the prompt begins; may be empty.
    shared_text: str = ''


def arrivals(settings: LoadSettings) -> Iterator[Arrival]:
    """Yield the arrivals in chronological order.

    The same settings and seed give the same schedule.
    """
    rng = random.Random(settings.seed)
    # Texts do not change the schedule of a seed.
    text_rng = random.Random(f'{settings.seed}/texts')
    pipelines = tuple(settings.pipelines)
    accounts = tuple(settings.accounts)
    at_s = float(0)
    number = 0
    while True:
        at_s += rng.expovariate(_rate_at(settings, at_s))
        if at_s >= settings.duration_s:
            return
        number += 1
        yield Arrival(
            at_s,
            number,
            rng.choices(pipelines, tuple(settings.pipelines.values()))[0],
            rng.choices(accounts, tuple(settings.accounts.values()))[0],
            _shared_text_at(settings, at_s, text_rng),
        )


def _rate_at(settings: LoadSettings, at_s: float) -> float:
    rate = settings.rate_per_s
    for burst in settings.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.for_s:
            rate *= burst.factor
    return rate


def _shared_text_at(
    settings: LoadSettings, at_s: float, rng: random.Random
) -> str:
    for shared in settings.shared_texts:
        is_in_period = shared.at_s <= at_s < shared.at_s + shared.for_s
        if is_in_period and rng.random() < shared.share:
            return shared.text
    return ''
