"""Processes of a local fleet, stopped together."""

from __future__ import annotations

import os
import signal
import subprocess  # the tool, not a daemon, starts these processes
import sys
import time
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import IO, Final

STOP_TIMEOUT_S: Final = 20
_NO_VARIABLES: Final[Mapping[str, str]] = MappingProxyType({})


class ProcessGroup:
    """Starts `hornbeamline` processes and leaves none behind."""

    def __init__(self, folder: Path) -> None:
        """Take the folder of the log files, one per process."""
        self._folder = folder
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> ProcessGroup:
        """Return the group."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop(tuple(self._processes_by_name))

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        module: str = 'hornbeamline',
        environment: Mapping[str, str] = _NO_VARIABLES,
    ) -> None:
        """Start or restart a process; its log is appended to.

        `environment` has variables beside those of this process.
        """
        with self._open_log(name) as log:
            self._processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                # Ctrl-C reaches the tool only, which then stops the group.
                start_new_session=True,
                env={
                    **os.environ,
                    'PYTHONPATH': os.pathsep.join(sys.path),
                    **environment,
                },
            )

    def names(self) -> tuple[str, ...]:
        """Return the names of all started processes."""
        return tuple(self._processes_by_name)

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes_by_name[name].pid

    def kill(self, name: str) -> None:
        """Kill a process without a chance to clean up."""
        process = self._processes_by_name[name]
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process from running until `thaw`."""
        self._processes_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self._processes_by_name[name].send_signal(signal.SIGCONT)

    def stop(self, names: Iterable[str]) -> dict[str, int]:
        """Stop processes gracefully; return exit codes by name."""
        chosen = {name: self._processes_by_name[name] for name in names}
        for process in chosen.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + STOP_TIMEOUT_S
        return {name: _wait(child, until) for name, child in chosen.items()}

    def exited(self) -> dict[str, int]:
        """Return exit codes of the processes that have ended."""
        codes = {
            name: process.poll()
            for name, process in self._processes_by_name.items()
        }
        return {name: code for name, code in codes.items() if code is not None}

    def log_of(self, name: str) -> str:
        """Return what a process has logged so far."""
        return self._log_path(name).read_text(errors='replace')

    def _open_log(self, name: str) -> IO[bytes]:
        return self._log_path(name).open('ab')

    def _log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'


def _wait(process: subprocess.Popen[bytes], until: float) -> int:
    try:
        return process.wait(max(0.1, until - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
