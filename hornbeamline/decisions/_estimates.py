"""Expected durations of a service's calls."""

from __future__ import annotations

from typing import Final

from hornbeamline.decisions._quantiles import DecayedQuantiles
from hornbeamline.inventory import ServiceEntry, ServiceKind

MEDIAN: Final = 0.5
P95: Final = 0.95
_MS_PER_S: Final = 1000
# Short enough to follow a load burst, long enough for a stable p95 at a few
# calls per second and host.
_HALF_LIFE_S: Final = 5.0
_PRIOR_WEIGHT: Final = 5.0
_MEAN_GAIN: Final = 0.05
# Part of a generation's prior that passes before the first token.
_PRIOR_FIRST_TOKEN: Final = 0.2


class ServiceEstimates:
    """Duration quantiles of one service as seen by this host.

    A generation takes the time to its first token plus a time per token, so
    its expected duration depends on the tokens asked for.
    """

    def __init__(self, entry: ServiceEntry, usual_tokens: int) -> None:
        """Take the priors and the tokens that they are meant for."""
        self._by_tokens = entry.kind is ServiceKind.generation
        self._usual_tokens = max(1, usual_tokens)
        prior_s = entry.expected_ms / _MS_PER_S
        prior_p95_s = max(prior_s, entry.expected_p95_ms / _MS_PER_S)
        self._durations = _seeded(prior_s, prior_p95_s)
        first_s = prior_s * _PRIOR_FIRST_TOKEN
        spread = prior_p95_s / prior_s
        per_token_s = (prior_s - first_s) / self._usual_tokens
        self._first_token = _seeded(first_s, first_s * spread)
        self._per_token = _seeded(per_token_s, per_token_s * spread)
        # Share of `max_tokens` that answers use.
        self._used_tokens = 1.0
        self._counts_tokens = False
        self.mean_s = prior_s

    def record(
        self,
        duration_s: float,
        tokens: int,
        max_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None:
        """Add a successful call."""
        self.mean_s += _MEAN_GAIN * (duration_s - self.mean_s)
        self._durations.record(duration_s, now)
        if not self._by_tokens or not tokens:
            return
        self._counts_tokens = True
        if first_token_s is None:
            # Without streaming the first token is not seen; the estimate of
            # its time stands in, up to half of the duration.
            typical_s = self._first_token.quantile(MEDIAN, now)
            first_token_s = min(typical_s, duration_s / 2)
        else:
            self._first_token.record(first_token_s, now)
        stream_s = max(0, duration_s - first_token_s)
        self._per_token.record(stream_s / tokens, now)
        used = min(1, tokens / max(1, max_tokens))
        self._used_tokens += _MEAN_GAIN * (used - self._used_tokens)

    def quantile_s(
        self,
        quantile: float,
        max_tokens: int,
        now: float,
    ) -> float:
        """Return a quantile of the duration of a call in seconds."""
        if not self._counts_tokens:
            return self._durations.quantile(quantile, now)
        used = self._used_tokens if quantile <= MEDIAN else 1
        stream_s = self._per_token.quantile(quantile, now) * max_tokens * used
        return self._first_token.quantile(quantile, now) + stream_s

    def expected_s(self, tokens: int, now: float) -> float:
        """Return the median duration of a call that produces `tokens`."""
        if not self._counts_tokens:
            return self._durations.quantile(MEDIAN, now)
        stream_s = self._per_token.quantile(MEDIAN, now) * tokens
        return self._first_token.quantile(MEDIAN, now) + stream_s

    def first_token_s(self, quantile: float, now: float) -> float:
        """Return a quantile of the time to the first token in seconds."""
        return self._first_token.quantile(quantile, now)


def _seeded(median_s: float, p95_s: float) -> DecayedQuantiles:
    quantiles = DecayedQuantiles(_HALF_LIFE_S)
    quantiles.seed(median_s, p95_s, _PRIOR_WEIGHT)
    return quantiles
