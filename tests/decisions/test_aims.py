"""Goals of the measurements page, checked with one seed of the benchmark."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.decisions import run_one


@pytest.fixture(scope='module')
def full_load() -> dict[str, Any]:
    """Return the benchmark's figures at the capacity of the targets."""
    return run_one(('steady_100', 'two_choices', 11))


def test_attainment_up_to_capacity(full_load: dict[str, Any]) -> None:
    """Guards against refusals or missed deadlines without overload."""
    assert full_load['attainment'] >= 0.995


def test_goodput_holds_under_overload(full_load: dict[str, Any]) -> None:
    """Guards against work on requests that then miss their deadline."""
    overload = run_one(('overload_2x', 'two_choices', 11))
    assert overload['goodput_per_s'] >= 0.9 * full_load['goodput_per_s']
    assert overload['wasted']['drafting'] < 0.05


def test_flood_leaves_other_accounts_alone() -> None:
    """Guards against a busy account that takes the share of others."""
    figures = run_one(('flood_10x', 'two_choices', 11))
    others = dict(figures['attainment_by_account'])
    others.pop('elm')
    assert min(others.values()) >= 0.99


def test_same_seed_gives_the_same_run() -> None:
    """Guards against use of the system clock or an unseeded random source."""
    first = run_one(('one_silent', 'two_choices', 3))
    second = run_one(('one_silent', 'two_choices', 3))
    first.pop('cpu_s')
    second.pop('cpu_s')
    assert first == second
