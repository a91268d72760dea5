"""Stacks of a process that ends by a fault in native code."""

from __future__ import annotations

import faulthandler


def log_crashes() -> None:
    """Write the stacks of all threads to stderr on a fatal signal.

    The lines are written by the signal handler itself and do not have the
    format of log lines.
    """
    faulthandler.enable(all_threads=True)
