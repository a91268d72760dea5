"""Options of the soak runs."""

from __future__ import annotations

import pytest

# Without options: short and fixed, so that CI has a fixed verdict.
FIXED_SEEDS = (1, 2)
FIXED_SECONDS = 15
# Start, recovery after the last fault, final look-ups and checks.
OVERHEAD_S = 240


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add length and seed of a run."""
    parser.addoption('--soak-seconds', type=float, help='length of the faults')
    parser.addoption('--soak-seed', type=int, help='seed of the schedule')


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Run the fixed seeds, or the one of the options."""
    if 'soak_seed' not in metafunc.fixturenames:
        return
    # The options are unknown when this folder is not named on the command
    # line: pytest reads this file too late then.
    seconds = metafunc.config.getoption('--soak-seconds', None)
    seed = metafunc.config.getoption('--soak-seed', None)
    length_s = seconds or FIXED_SECONDS
    metafunc.parametrize(
        ('soak_seed', 'soak_seconds'),
        [
            pytest.param(
                each,
                length_s,
                id=f'seed-{each}',
                marks=pytest.mark.timeout(length_s + OVERHEAD_S),
            )
            for each in (FIXED_SEEDS if seed is None else (seed,))
        ],
    )
