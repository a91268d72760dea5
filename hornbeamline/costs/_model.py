"""Cost estimates of requests, learned from the durations of responses."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from hornbeamline.costs._bounded import RecentEntries
from hornbeamline.costs.const import MAX_COST_KEYS, MAX_COST_S, MIN_COST_S
from hornbeamline.helpers.clock import Clock

# Priors, in seconds of work: a call of a plain service; an uncached prompt
# token and an output token of the engines known so far (50 to 157 prompt
# tokens per ms, 3.55 ms a decode step, of which callers use about a third).
_PRIOR_CALL_S: Final = 0.05
_PRIOR_PROMPT_TOKEN_S: Final = 1 / 100_000
_PRIOR_OUTPUT_TOKEN_S: Final = 0.0015
# Tokens come from callers; more than that are not believed.
_MAX_TOKENS: Final = 1_000_000
# Gain of the newest observation once a key has many, so that old ones are
# forgotten; fewer observations have larger gains.
_MIN_GAIN: Final = 0.04
# Observations that the prior counts for.
_PRIOR_WEIGHT: Final = 0.3
# Observations are forgotten after idle times as well.
_IDLE_HALF_LIFE_S: Final = 120.0
# Largest effect of one observation, as a logarithm: bounds the influence of a
# heavy tail. The first observations may correct a prior that is far off.
_MAX_ERROR: Final = 1.0
_MAX_FIRST_ERROR: Final = 4.0
_FIRST_OBSERVATIONS: Final = 4
# Factors stay within e^7 (a thousand) of the prior.
_MAX_LOG_FACTOR: Final = 7.0


class RequestFeatures(NamedTuple):
    """What the cost of a request depends on."""

    route: str
    uncached_tokens: int = 0
    max_output_tokens: int = 0
    # Name of the client account; empty if there is none.
    account: str = ''


class CostParts(NamedTuple):
    """Seconds of work at a target of usual speed."""

    call_s: float
    prompt_s: float
    output_s: float
    # Of one uncached prompt token.
    prompt_token_s: float

    @property
    def total_s(self) -> float:
        """Return the complete cost."""
        return min(self.call_s + self.prompt_s + self.output_s, MAX_COST_S)


class _Factors:
    """Corrections of the prior for one key, as logarithms."""

    __slots__ = ('call', 'count', 'output', 'prompt', 'used_at')

    def __init__(self, now: float, parent: _Factors | None = None) -> None:
        self.call: float = 0 if parent is None else parent.call
        self.prompt: float = 0 if parent is None else parent.prompt
        self.output: float = 0 if parent is None else parent.output
        self.count: float = 0
        self.used_at = now

    def parts(self, features: RequestFeatures) -> CostParts:
        """Return the estimated cost."""
        token_s = _PRIOR_PROMPT_TOKEN_S * math.exp(self.prompt)
        uncached = _bounded_tokens(features.uncached_tokens)
        output = _bounded_tokens(features.max_output_tokens)
        return CostParts(
            _PRIOR_CALL_S * math.exp(self.call),
            uncached * token_s,
            output * _PRIOR_OUTPUT_TOKEN_S * math.exp(self.output),
            token_s,
        )

    def gain(self, now: float) -> float:
        """Return the gain of an observation and count it."""
        self.count *= 0.5 ** (max(now - self.used_at, 0) / _IDLE_HALF_LIFE_S)
        self.count += 1
        self.used_at = now
        return max(1 / (self.count + _PRIOR_WEIGHT), _MIN_GAIN)

    def error(self, expected_s: float, seconds: float) -> float:
        """Return the bounded logarithm of the ratio to the expected cost."""
        is_first = self.count < _FIRST_OBSERVATIONS
        bound = _MAX_FIRST_ERROR if is_first else _MAX_ERROR
        error = math.log(seconds / max(expected_s, MIN_COST_S))
        return max(-bound, min(error, bound))


class CostModel:
    """Estimates the cost of requests in seconds of work.

    The estimate is the sum of three priors (call, prompt tokens, output
    tokens), each corrected by a factor that is learned for the route and for
    the account on the route. New accounts begin with the factors of their
    route, new routes with those of all requests. The geometric mean of the
    observations is estimated, which a heavy tail moves little.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a model without observations."""
        self._clock = clock
        self._all = _Factors(clock.monotonic())
        self._factors_by_key: RecentEntries[tuple[str, str], _Factors] = (
            RecentEntries(MAX_COST_KEYS)
        )

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._factors_by_key)

    def estimate(self, features: RequestFeatures) -> float:
        """Return the expected cost in seconds of work."""
        return self.parts(features).total_s

    def parts(self, features: RequestFeatures) -> CostParts:
        """Return the expected cost by its cause."""
        known = self._factors_by_key.peek((features.route, features.account))
        if known is None:
            known = self._factors_by_key.peek((features.route, ''))
        return (known or self._all).parts(features)

    def confidence(self, features: RequestFeatures) -> float:
        """Return how well the cost of a route is known, from 0 to 1."""
        known = self._factors_by_key.peek((features.route, ''))
        if known is None or known.count < _FIRST_OBSERVATIONS:
            return 0
        return 1 - _FIRST_OBSERVATIONS / (known.count + 1)

    def observe(
        self,
        features: RequestFeatures,
        seconds: float,
        first_s: float | None = None,
    ) -> None:
        """Learn from a response that took `seconds` of work.

        `first_s` is the part before the first event of a stream.
        """
        if not MIN_COST_S <= seconds <= MAX_COST_S:
            return
        now = self._clock.monotonic()
        for factors in self._levels(features, now):
            gain = factors.gain(now)
            parts = factors.parts(features)
            if first_s is None or not features.max_output_tokens:
                _learn(factors, parts, parts.total_s, seconds, gain)
                continue
            begun_s = parts.call_s + parts.prompt_s
            first_parts = parts._replace(output_s=0)
            begun_in_s = max(first_s, MIN_COST_S)
            _learn(factors, first_parts, begun_s, begun_in_s, gain)
            rest_parts = parts._replace(call_s=0, prompt_s=0)
            rest_s = max(seconds - first_s, MIN_COST_S)
            _learn(factors, rest_parts, parts.output_s, rest_s, gain)

    def _levels(self, features: RequestFeatures, now: float) -> list[_Factors]:
        """Return the factors of all requests, the route and the account."""
        route = self._factors_of((features.route, ''), self._all, now)
        if not features.account:
            return [self._all, route]
        account = (features.route, features.account)
        return [self._all, route, self._factors_of(account, route, now)]

    def _factors_of(
        self, key: tuple[str, str], parent: _Factors, now: float
    ) -> _Factors:
        known = self._factors_by_key.use(key)
        if known is None:
            known = _Factors(now, parent)
            self._factors_by_key.store(key, known)
        return known


def _learn(
    factors: _Factors,
    parts: CostParts,
    expected_s: float,
    seconds: float,
    gain: float,
) -> None:
    """Correct each factor by its share of the expected cost."""
    if expected_s <= 0:
        return
    step = factors.error(expected_s, seconds) * gain
    # The shares of the parts add up to 1. Their squares are the step that
    # makes the new estimate meet a single observation.
    call, prompt, output = (
        part_s / expected_s
        for part_s in (parts.call_s, parts.prompt_s, parts.output_s)
    )
    step /= max(call * call + prompt * prompt + output * output, 0.1)
    factors.call = _bounded_factor(factors.call + step * call)
    factors.prompt = _bounded_factor(factors.prompt + step * prompt)
    factors.output = _bounded_factor(factors.output + step * output)


def _bounded_tokens(tokens: int) -> int:
    return max(0, min(tokens, _MAX_TOKENS))


def _bounded_factor(factor: float) -> float:
    return max(-_MAX_LOG_FACTOR, min(factor, _MAX_LOG_FACTOR))
