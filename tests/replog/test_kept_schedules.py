"""Random fault schedules without an operator, checked by the oracle."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st

from tests.replog.kept_schedule import KeptSchedule
from tests.replog.schedule import Step, run_steps
from tests.replog.test_schedules import STEPS


@settings(
    derandomize=True,
    max_examples=12,
    deadline=None,
    # No shrinking, as it takes minutes; a failed schedule is printed as is.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=[HealthCheck.too_slow],
)
# Failure: a restarted process without a disk was made a voter in place of
# one that had lost its data folder.
@example(
    433264,
    [
        Step('crash', 0, 0.02),
        Step('empty', 1, 1),
        Step('restart', 4, 0.3),
        Step('deafen', 3, 1),
    ],
)
# Failure: a learner that had lost its data blocked the replacement of a voter
# that had lost its data folder.
@example(
    7376,
    [
        Step('empty', 1, 2.5),
        Step('recover', 1, 0.02),
        Step('isolate', 2, 2.5),
        Step('empty', 2, 0.3),
        Step('restart', 0, 2.5),
    ],
)
@given(st.integers(0, 1_000_000), STEPS)
def test_group_without_operator_keeps_all_guarantees(seed, steps) -> None:
    """Guards against commits lost when votes move between hosts."""
    run_steps(seed, 3, steps, KeptSchedule)
