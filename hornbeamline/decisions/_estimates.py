"""Estimates of call durations per service."""

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
# Fraction of a generation's prior duration before the first token.
_PRIOR_FIRST_TOKEN_FRACTION: Final = 0.2


class ServiceEstimates:
    """Quantiles of one service's call durations, measured by this host.

    The duration of a generation is its time to first token plus a time per
    token, so the estimate depends on the requested number of tokens.
    """

    def __init__(self, entry: ServiceEntry, usual_tokens: int) -> None:
        """Initialize with the priors and the token count that they assume."""
        self._depends_on_tokens = entry.kind is ServiceKind.generation
        self._usual_tokens = max(1, usual_tokens)
        prior_s = entry.expected_ms / _MS_PER_S
        prior_p95_s = max(prior_s, entry.expected_p95_ms / _MS_PER_S)
        self._durations = _seeded(prior_s, prior_p95_s)
        first_s = prior_s * _PRIOR_FIRST_TOKEN_FRACTION
        spread = prior_p95_s / prior_s
        per_token_s = (prior_s - first_s) / self._usual_tokens
        self._first_token = _seeded(first_s, first_s * spread)
        self._per_token = _seeded(per_token_s, per_token_s * spread)
        # Average fraction of `max_tokens` that responses use.
        self._used_fraction = 1.0
        self._has_token_counts = False
        self.mean_s = prior_s

    def record(
        self,
        duration_s: float,
        tokens: int,
        max_tokens: int,
        first_token_s: float | None,
        now: float,
    ) -> None:
        """Record a successful call."""
        self.mean_s += _MEAN_GAIN * (duration_s - self.mean_s)
        self._durations.record(duration_s, now)
        if not self._depends_on_tokens or not tokens:
            return
        self._has_token_counts = True
        if first_token_s is None:
            # Without streaming the time to first token is unknown, so its
            # median is assumed, up to half of the duration.
            typical_s = self._first_token.quantile(MEDIAN, now)
            first_token_s = min(typical_s, duration_s / 2)
        else:
            self._first_token.record(first_token_s, now)
        stream_s = max(0, duration_s - first_token_s)
        self._per_token.record(stream_s / tokens, now)
        used = min(1, tokens / max(1, max_tokens))
        self._used_fraction += _MEAN_GAIN * (used - self._used_fraction)

    def quantile_s(
        self,
        quantile: float,
        max_tokens: int,
        now: float,
    ) -> float:
        """Return a quantile of the call duration in seconds."""
        if not self._has_token_counts:
            return self._durations.quantile(quantile, now)
        used = self._used_fraction if quantile <= MEDIAN else 1
        stream_s = self._per_token.quantile(quantile, now) * max_tokens * used
        return self._first_token.quantile(quantile, now) + stream_s

    def expected_s(self, tokens: int, now: float) -> float:
        """Return the median duration of a call that produces `tokens`."""
        if not self._has_token_counts:
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
