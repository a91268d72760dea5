"""Stack traces of a process that crashes in native code."""

from __future__ import annotations

import faulthandler


def log_crashes() -> None:
    """Write the stack traces of all threads to stderr on a fatal signal.

    The signal handler itself writes them, not in the format of log lines.
    """
    faulthandler.enable(all_threads=True)
