"""Quantiles of positive measurements with exponential decay."""

from __future__ import annotations

import math
from statistics import NormalDist
from typing import Final

# Buckets grow by 8%, so the error of a quantile is at most 4%. 220 buckets
# span 50 us to about 1,000 s.
_SMALLEST: Final = 5e-5
_LOG_GROWTH: Final = math.log(1.08)
_BUCKETS: Final = 220
_LOG_SMALLEST: Final = math.log(_SMALLEST)
# New measurements get growing weights instead of old ones being scaled down.
# All weights are rescaled once a new one exceeds this value.
_RESCALE_WEIGHT: Final = 1e9
# Older measurements have no weight left, and a larger exponent could overflow.
_MAX_HALF_LIVES: Final = 500
_REFRESH_S: Final = 0.1
_P95_Z: Final = 1.645
_PRIOR_POINTS: Final = 20
_NORMAL: Final = NormalDist()


class DecayedQuantiles:
    """Histogram with logarithmic buckets and exponentially decaying weights."""

    def __init__(self, half_life_s: float) -> None:
        """Initialize with the half-life of measurements in seconds."""
        self._half_life_s = half_life_s
        self._weights: list[float] = [0 for _ in range(_BUCKETS)]
        self._total: float = 0
        # Time at which a new measurement has weight 1.
        self._landmark_s: float = 0
        # Value and expiry by quantile.
        self._cache: dict[float, tuple[float, float]] = {}

    def seed(self, median: float, p95: float, weight: float) -> None:
        """Add a log-normal prior with the weight of `weight` measurements."""
        spread = max(0, math.log(p95 / median)) / _P95_Z
        for point in range(1, _PRIOR_POINTS):
            z_score = _NORMAL.inv_cdf(point / _PRIOR_POINTS)
            self._add(
                median * math.exp(spread * z_score),
                weight / (_PRIOR_POINTS - 1),
            )
        self._cache.clear()

    def record(self, measurement: float, now: float) -> None:
        """Add one measurement."""
        half_lives = (now - self._landmark_s) / self._half_life_s
        weight = math.exp2(min(_MAX_HALF_LIVES, half_lives))
        if weight > _RESCALE_WEIGHT:
            self._rescale(weight, now)
            weight = 1
        self._add(measurement, weight)

    def quantile(self, quantile: float, now: float) -> float:
        """Return a quantile, cached for up to 0.1 s; 0 without measurements."""
        cached = self._cache.get(quantile)
        if cached is not None and now < cached[1]:
            return cached[0]
        found = self._compute_quantile(quantile)
        self._cache[quantile] = (found, now + _REFRESH_S)
        return found

    def effective_count(self, now: float) -> float:
        """Return the sum of the decayed weights of all measurements."""
        age_s = now - self._landmark_s
        half_lives = min(_MAX_HALF_LIVES, age_s / self._half_life_s)
        return self._total / math.exp2(half_lives)

    def _add(self, measurement: float, weight: float) -> None:
        if measurement <= _SMALLEST:
            bucket = 0
        else:
            position = (math.log(measurement) - _LOG_SMALLEST) / _LOG_GROWTH
            bucket = min(_BUCKETS - 1, int(position))
        self._weights[bucket] += weight
        self._total += weight

    def _rescale(self, weight: float, now: float) -> None:
        self._weights = [old / weight for old in self._weights]
        self._total = sum(self._weights)
        self._landmark_s = now

    def _compute_quantile(self, quantile: float) -> float:
        if self._total <= 0:
            return 0
        wanted = quantile * self._total
        seen: float = 0
        for bucket, weight in enumerate(self._weights):
            seen += weight
            if weight and seen >= wanted:
                return _SMALLEST * math.exp((bucket + 0.5) * _LOG_GROWTH)
        return _SMALLEST * math.exp(_BUCKETS * _LOG_GROWTH)
