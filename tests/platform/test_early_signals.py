"""Signals that arrive while a process of the platform imports its modules."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.common import ROOT, free_address, wait_listening, write_toml
from tests.platform.test_settings import SETTINGS_TABLE


# A process that was stopped while it started ended with -15, the default of
# the signal, in the soak.
@pytest.mark.parametrize(
    'signals', [[signal.SIGTERM], [signal.SIGHUP, signal.SIGTERM]]
)
def test_stop_during_the_start_is_a_regular_exit(
    tmp_path: Path, signals
) -> None:
    """Guards against signals before the daemon handles them."""
    address = free_address()
    settings = {**SETTINGS_TABLE, 'listen': {'front': address}}
    path = write_toml(tmp_path / 's.toml', settings)
    process = subprocess.Popen(
        [sys.executable, '-m', 'hornbeamline.platform', 'entry'],
        cwd=ROOT,
        env={**os.environ, 'HORNBEAMLINE_SETTINGS': str(path)},
    )
    try:
        # It listens before the imports.
        wait_listening(address)
        for number in signals:
            process.send_signal(number)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
