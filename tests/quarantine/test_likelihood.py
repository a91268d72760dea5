"""Weights of marks by what sound requests look like."""

from __future__ import annotations

import math
import random

import pytest

from hornbeamline.quarantine import AnswerTiming, Phase, SoundTraffic
from hornbeamline.quarantine.const import (
    MAX_COUNTED_ANSWERS,
    MAX_MARK_SCORE,
    MAX_PRESENCE_SCORE,
    MAX_RECENT_PARTS,
    MAX_SERVICES,
    MIN_MARK_SCORE,
)

# Seconds to the head and from there to the first event.
LATE = (0.3, 0.001)
EARLY = (0.002, 0.4)
PHASES = (Phase.SENT, Phase.HEAD)


def observe(
    heads: tuple[float, float], answers: int = 400, service: str = 's'
) -> SoundTraffic:
    """Return the traffic of a host after answers with a common part."""
    traffic = SoundTraffic()
    for number in range(answers):
        parts = ['common', f'topic-{number % 200}']
        traffic.record_begun(parts, AnswerTiming(service, *heads))
    return traffic


@pytest.mark.parametrize(
    ('heads', 'usual', 'unusual'),
    [(LATE, Phase.SENT, Phase.HEAD), (EARLY, Phase.HEAD, Phase.SENT)],
    ids=['late', 'early'],
)
def test_point_at_which_sound_answers_never_are_is_telling(
    heads, usual, unusual
) -> None:
    """Guards against weights that hold for one kind of engine only."""
    traffic = observe(heads)
    expected = traffic.weigh('new', usual, 's')
    surprising = traffic.weigh('new', unusual, 's')
    assert surprising.is_telling
    assert not expected.is_telling
    assert surprising.score == MAX_MARK_SCORE
    assert MIN_MARK_SCORE < expected.score < MAX_PRESENCE_SCORE


# Failure: the part that all prompts begin with got the full weight at each
# engine that ended (LOST, review/4).
@pytest.mark.parametrize('heads', [LATE, EARLY], ids=['late', 'early'])
def test_presence_of_a_common_part_says_nothing(heads) -> None:
    """Guards against weights that do not ask how many requests have a part."""
    traffic = observe(heads)
    usual = Phase.HEAD if heads == EARLY else Phase.SENT
    scores = [
        traffic.weigh(part, usual, 's').score
        for part in ('common', 'topic-1', 'new')
    ]
    assert scores[0] == MIN_MARK_SCORE
    assert scores == sorted(scores)
    assert scores[0] < scores[1] < scores[2]


def test_host_that_has_seen_nothing_judges_by_presence_alone() -> None:
    """Guards against verdicts right after a start."""
    traffic = SoundTraffic()
    for phase in PHASES:
        assert traffic.weigh('part', phase, 's') == (MAX_PRESENCE_SCORE, False)


def test_services_have_their_own_timings() -> None:
    """Guards against engines of one service that hide those of another."""
    traffic = observe(LATE)
    for _ in range(400):
        traffic.record_begun(['x'], AnswerTiming('other', *EARLY))
    assert traffic.weigh('new', Phase.HEAD, 's').is_telling
    assert traffic.weigh('new', Phase.SENT, 'other').is_telling
    assert not traffic.weigh('new', Phase.HEAD, 'other').is_telling


def test_engines_that_change_are_learned_anew() -> None:
    """Guards against weights of engines that were replaced long ago."""
    traffic = observe(LATE, answers=3 * MAX_COUNTED_ANSWERS)
    for _ in range(8 * MAX_COUNTED_ANSWERS):
        traffic.record_begun(['common'], AnswerTiming('s', *EARLY))
    assert not traffic.weigh('new', Phase.HEAD, 's').is_telling
    assert traffic.weigh('new', Phase.SENT, 's').is_telling


def test_observations_are_bounded_and_weights_finite() -> None:
    """Guards against callers that fill the counts with parts."""
    traffic = SoundTraffic()
    rng = random.Random(1)
    for number in range(4 * MAX_RECENT_PARTS):
        parts = [f'{rng.getrandbits(64):x}' for _ in range(8)]
        timing = AnswerTiming(
            f's{number % 100}', rng.choice((0, -1, 1e9)), rng.choice((0, -1, 5))
        )
        traffic.record_begun(parts, timing)
    assert len(traffic._answers_by_part) <= MAX_RECENT_PARTS
    assert len(traffic._seconds_by_service) <= MAX_SERVICES
    for phase in PHASES:
        for service in ('s1', 'unknown'):
            score = traffic.weigh('new', phase, service).score
            assert MIN_MARK_SCORE <= score <= MAX_MARK_SCORE
            assert math.isfinite(score)
