"""Choice among targets by their expected completion times."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple, TypeAlias, TypeVar

_Candidate = TypeVar('_Candidate')

LEAST_COMPLETION: Final = 'least_completion'
# Random candidates of a choice: with more, hosts with the same outdated view
# choose the same targets. Trials with six instead of two answered 52 % instead
# of 86 % of the requests of a plain service within the objective.
SAMPLE_SIZE: Final = 2
# Targets that the sample is drawn from, by their speeds.
_DRAWN: Final = 4
# Shares by which the expected times are varied at random. Hosts with the same
# old view of the work left must not all choose the same target; the times of
# the request itself are better known.
_WAIT_JITTER: Final = 0.3
_RUN_JITTER: Final = 0.02
# Waits, relative to the own run time, from which on only the work that is left
# counts: above, a preference for fast targets would overload them.
_FULL_WAIT: Final = 0.5


class Option(NamedTuple):
    """A target that may get a request, with its expected times."""

    target: str
    # Time for which the work left there delays the request.
    wait_s: float
    # Time that the request itself takes there.
    run_s: float
    # Other costs, such as the transfer of inputs.
    extra_s: float = 0


Chooser: TypeAlias = Callable[[Sequence[Option], random.Random], Option]

_choosers_by_name: Final[dict[str, Chooser]] = {}


def chooser(name: str) -> Callable[[Chooser], Chooser]:
    """Register a rule of choice under a name."""

    def register(function: Chooser) -> Chooser:
        _choosers_by_name[name] = function
        return function

    return register


def choose(
    options: Sequence[Option],
    rng: random.Random,
    rule: str = LEAST_COMPLETION,
) -> Option:
    """Return one of the options by a registered rule."""
    return _choosers_by_name[rule](options, rng)


def sample(
    candidates: Sequence[_Candidate],
    always: Collection[_Candidate],
    slowness_of: Callable[[_Candidate], float],
    rng: random.Random,
) -> list[_Candidate]:
    """Return few candidates at random, and those in `always`.

    Slow candidates are drawn less often, in proportion to their speed.
    """
    if len(candidates) <= SAMPLE_SIZE:
        return list(candidates)
    drawn = rng.sample(candidates, min(_DRAWN, len(candidates)))
    speeds = [1 / slowness_of(candidate) for candidate in drawn]
    # Drawn with replacement: a slow candidate then gets its share also when
    # the others are fast.
    chosen = rng.choices(drawn, speeds, k=SAMPLE_SIZE)
    return [*chosen, *always]


@chooser(LEAST_COMPLETION)
def _least_completion(options: Sequence[Option], rng: random.Random) -> Option:
    """Choose the least expected completion time.

    While targets have free slots, the time that the request itself takes
    counts in full. The fuller they are, the less it counts, so that slow
    targets get work in proportion to their speed.
    """
    fullness = sum(option.wait_s / option.run_s for option in options)
    run_weight = max(1 - fullness / len(options) / _FULL_WAIT, 0)
    best = options[0]
    lowest = float('inf')
    for option in options:
        score = (
            option.run_s * run_weight * (1 + _RUN_JITTER * rng.random())
            + option.wait_s * (1 + _WAIT_JITTER * rng.random())
            + option.extra_s
        )
        if score < lowest:
            best = option
            lowest = score
    return best
