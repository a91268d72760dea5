"""Repeats stay below the budget of all hosts."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.helpers.budget import BudgetSettings, RepeatBudget
from hornbeamline.helpers.clock import ManualClock

SETTINGS = BudgetSettings(ratio=0.2, window_s=10, slack=64)


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 1)), max_size=300))
def test_no_window_exceeds_the_share_of_a_host(steps) -> None:
    """Oracle: count both kinds in every window that ends at a repeat."""
    clock = ManualClock()
    budget = RepeatBudget(SETTINGS, clock)
    budget.note_hosts(12)
    firsts: list[float] = []
    repeats: list[float] = []
    for is_first, pause_s in steps:
        clock.advance(pause_s)
        now = clock.monotonic()
        if is_first:
            budget.note_first('s')
            firsts.append(now)
        elif budget.take('s'):
            repeats.append(now)
            recent = sum(at >= now - 10 for at in repeats)
            allowed = 0.2 * sum(at >= now - 10 for at in firsts) + 64 / 12
            assert recent <= allowed


def test_budget_is_kept_for_each_service() -> None:
    """Repeats at one service leave the others alone."""
    budget = RepeatBudget(SETTINGS, ManualClock())
    budget.note_hosts(1)
    while budget.take('busy'):
        pass
    assert budget.take('calm')


def test_host_that_knows_no_others_hardly_repeats() -> None:
    """Guards against twelve hosts that each use the whole budget."""
    budget = RepeatBudget(SETTINGS, ManualClock())
    assert not budget.take('s')


def test_hosts_out_of_sight_still_count() -> None:
    """Fault: a host is cut off and sees only itself."""
    budget = RepeatBudget(SETTINGS, ManualClock())
    for count in (12, 1):
        budget.note_hosts(count)
    taken = 0
    while budget.take('s'):
        taken += 1
    assert taken <= 64 / 12
