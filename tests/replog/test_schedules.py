"""Random fault schedules, checked by the oracle."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.replog.schedule import WEIGHTED_FAULTS, Step, run_steps, soak

STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(WEIGHTED_FAULTS),
        st.integers(0, 4),
        st.sampled_from((0.02, 0.3, 1, 2.5)),
    ),
    min_size=3,
    max_size=20,
)


@settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    # No shrinking, as it takes minutes; a failed schedule is printed as is.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.integers(0, 1_000_000), st.sampled_from((1, 3, 3, 5)), STEPS)
def test_schedules_keep_all_guarantees(seed, voters, steps) -> None:
    """Guards against lost, reordered or doubled commits and stale reads."""
    run_steps(seed, voters, steps)


def test_schedules_make_progress() -> None:
    """Guards against schedules that pass because nothing is committed."""
    schedules, acknowledged, reads = soak(seed=1, seconds=0.01)
    assert schedules == 1
    assert acknowledged > 20
    assert reads > 20
