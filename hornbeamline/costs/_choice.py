"""Choice among targets by their expected completion times."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple, TypeAlias, TypeVar

_Candidate = TypeVar('_Candidate')

LEAST_COMPLETION: Final = 'least_completion'
# Random candidates of a choice. With all targets as candidates, hosts with the
# same view choose the same target; each one more takes CPU time.
SAMPLE_SIZE: Final = 6
# Shares by which the expected times are varied at random. Hosts with the same
# old view of the work left must not all choose the same target; the times of
# the request itself, with the tokens that are cached, are better known.
_WAIT_JITTER: Final = 0.3
_RUN_JITTER: Final = 0.02


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


def completion_s(option: Option) -> float:
    """Return the expected completion time of a request at an option."""
    return option.wait_s + option.run_s + option.extra_s


def sample(
    candidates: Sequence[_Candidate],
    always: Collection[_Candidate],
    rng: random.Random,
) -> list[_Candidate]:
    """Return a bounded number of candidates, with those in `always`."""
    if len(candidates) <= SAMPLE_SIZE:
        return list(candidates)
    chosen = rng.sample(candidates, SAMPLE_SIZE)
    chosen.extend(extra for extra in always if extra not in chosen)
    return chosen


@chooser(LEAST_COMPLETION)
def _least_completion(options: Sequence[Option], rng: random.Random) -> Option:
    best = options[0]
    lowest = float('inf')
    for option in options:
        score = (
            option.wait_s * (1 + _WAIT_JITTER * rng.random())
            + option.run_s * (1 + _RUN_JITTER * rng.random())
            + option.extra_s
        )
        if score < lowest:
            best = option
            lowest = score
    return best
