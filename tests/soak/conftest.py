"""Command-line options of the soak tests."""

from __future__ import annotations

import pytest

# Used without options: short runs with fixed seeds, so that CI results are
# comparable.
FIXED_SEEDS = (1, 2, 3)
FIXED_SECONDS = 15
# For the start, the recovery after the last fault, final look-ups and checks.
OVERHEAD_S = 240


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the options for the length and the seed of a run."""
    parser.addoption(
        '--soak-seconds', type=float, help='time in which faults are injected'
    )
    parser.addoption('--soak-seed', type=int, help='seed of the fault schedule')


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Parametrize the soak tests with the given seed or the fixed seeds."""
    if 'soak_seed' not in metafunc.fixturenames:
        return
    # pytest knows the options only when this folder is named on the command
    # line; otherwise it reads this file after it parsed the options.
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
