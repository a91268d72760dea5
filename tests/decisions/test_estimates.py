"""Quantiles, duration estimates and attempt timeouts."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.decisions import Refusal
from hornbeamline.decisions._estimates import ServiceEstimates
from hornbeamline.decisions._plan import StagePlan, attempt_timeout_s
from hornbeamline.decisions._quantiles import DecayedQuantiles
from hornbeamline.inventory import Model, ServiceEntry, ServiceKind
from tests.decisions.common import Driver, fleet_of


@given(st.lists(st.floats(1e-4, 100), min_size=1), st.floats(0.01, 0.99))
def test_quantile_is_within_a_bucket(samples: list[float], quantile: float):
    """Guards against a bucket index that is off by one."""
    quantiles = DecayedQuantiles(1e9)
    for sample in samples:
        quantiles.record(sample, 0)
    found = quantiles.quantile(quantile, 0)
    assert any(abs(found / sample - 1) < 0.05 for sample in samples)


def test_old_measurements_fade() -> None:
    """Guards against estimates that do not follow a changed level."""
    quantiles = DecayedQuantiles(5)
    for moment in range(100):
        quantiles.record(1.0, moment)
    for moment in range(100, 120):
        quantiles.record(0.1, moment)
    assert quantiles.quantile(0.5, 120) == pytest.approx(0.1, rel=0.05)
    assert quantiles.quantile(0.99, 1e6) > 0.05


def test_weights_survive_long_uptime() -> None:
    """Guards against an overflow of weights that grow with time."""
    quantiles = DecayedQuantiles(1)
    for hour in range(200):
        quantiles.record(1.0, hour * 3600)
    assert quantiles.quantile(0.5, 200 * 3600) == pytest.approx(1, rel=0.05)
    assert quantiles.effective_count(1e9) == pytest.approx(0, abs=1e-9)


def test_prior_is_used_and_replaced() -> None:
    """Guards against a prior that outweighs measurements."""
    entry = ServiceEntry(
        kind=ServiceKind.plain, expected_ms=100, expected_p95_ms=300
    )
    estimates = ServiceEstimates(entry, 64)
    assert estimates.quantile_s(0.5, 64, 0) == pytest.approx(0.1, rel=0.1)
    assert estimates.quantile_s(0.95, 64, 0) == pytest.approx(0.3, rel=0.15)
    for _ in range(200):
        estimates.record(0.01, 0, 64, None, 1)
    assert estimates.quantile_s(0.95, 64, 2) < 0.02


def test_generation_depends_on_tokens() -> None:
    """Guards against the same estimate for short and long generations."""
    entry = ServiceEntry(kind=ServiceKind.generation, expected_ms=500)
    estimates = ServiceEstimates(entry, 64)
    rng = random.Random(1)
    for _ in range(300):
        tokens = rng.randrange(10, 100)
        estimates.record(0.1 + 0.01 * tokens, tokens, tokens, 0.1, 1)
    assert estimates.quantile_s(0.5, 100, 2) == pytest.approx(1.1, rel=0.1)
    assert estimates.quantile_s(0.5, 10, 3) == pytest.approx(0.2, rel=0.1)
    assert estimates.first_token_s(0.5, 3) == pytest.approx(0.1, rel=0.1)


def test_estimates_are_forgotten_with_the_model() -> None:
    """Guards against estimates from an old model version."""

    def fleet(version: str):
        plain = fleet_of()
        pipeline = plain.pipelines_by_name['both']
        stages = [
            type(stage)(name=stage.name, service=stage.service, model='m')
            for stage in pipeline.stages
        ]
        return type(plain)(
            fleet=plain.fleet,
            services_by_name=plain.services_by_name,
            targets_by_name=plain.targets_by_name,
            models_by_name={'m': Model(version=version, size_gb=1)},
            pipelines_by_name={'both': type(pipeline)(stages=stages)},
        )

    driver = Driver(fleet('1'))
    for _ in range(300):
        driver.end(driver.submit(), duration_s=1.9)
        driver.clock.advance(0.01)
    assert isinstance(driver.submit(driver.request(0.5)), Refusal)
    driver.engine.update_fleet(fleet('2'))
    assert not isinstance(driver.submit(driver.request(0.5)), Refusal)


def test_timeout_leaves_time_for_later_stages() -> None:
    """Guards against an attempt that leaves no time for later stages."""
    plan = StagePlan(0.1, 0.2, 0.3, 0.6)
    assert attempt_timeout_s(plan, 4, may_retry=False) == pytest.approx(3.7)
    assert attempt_timeout_s(plan, 4, may_retry=True) == pytest.approx(0.6)
    assert attempt_timeout_s(plan, 0.2, may_retry=True) == pytest.approx(0.2)


def test_unreachable_deadline_is_refused_at_each_stage() -> None:
    """Guards against work on a request that can't meet its deadline."""
    driver = Driver(fleet_of())
    refusal = driver.engine.admit(driver.request(0.09))
    assert refusal is not None
    assert refusal.reason == 'deadline_unreachable'
    request = driver.request(0.2)
    assert driver.engine.admit(request) is None
    driver.clock.advance(0.15)
    late = driver.submit(request, stage_index=1)
    assert isinstance(late, Refusal)
    assert late.reason == 'deadline_unreachable'
