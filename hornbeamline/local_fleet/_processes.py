"""Start, stop and fault injection for the processes of a local fleet."""

from __future__ import annotations

import os
import signal
import subprocess  # Used by the command-line tool and tests, not by daemons.
import sys
import time
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import IO, Final

STOP_TIMEOUT_S: Final = 20
_NO_VARIABLES: Final[Mapping[str, str]] = MappingProxyType({})


class ProcessGroup:
    """Starts `hornbeamline` processes and stops all of them on exit."""

    def __init__(self, folder: Path) -> None:
        """Initialize with the folder of the log files, one per process."""
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
        """Start or restart a process; an existing log is appended to.

        `environment` is added to the environment of this process.
        """
        with self._open_log(name) as log:
            self._processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                # In its own session the child gets no SIGINT from Ctrl-C;
                # this process receives it and stops the group.
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
        """Kill a process with SIGKILL and wait for its end."""
        process = self._processes_by_name[name]
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP until `thaw`."""
        self._processes_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a process suspended by `freeze`."""
        self._processes_by_name[name].send_signal(signal.SIGCONT)

    def stop(self, names: Iterable[str]) -> dict[str, int]:
        """Stop processes with SIGTERM and return their exit codes by name.

        Suspended processes are resumed first; those still running after
        `STOP_TIMEOUT_S` are killed.
        """
        processes = {name: self._processes_by_name[name] for name in names}
        for process in processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline_at = time.monotonic() + STOP_TIMEOUT_S
        return {
            name: _wait(child, deadline_at) for name, child in processes.items()
        }

    def exited(self) -> dict[str, int]:
        """Return the exit codes of the processes that have exited."""
        codes = {
            name: process.poll()
            for name, process in self._processes_by_name.items()
        }
        return {name: code for name, code in codes.items() if code is not None}

    def log_of(self, name: str) -> str:
        """Return the current content of a process's log."""
        return self._log_path(name).read_text(errors='replace')

    def _open_log(self, name: str) -> IO[bytes]:
        return self._log_path(name).open('ab')

    def _log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'


def _wait(process: subprocess.Popen[bytes], deadline_at: float) -> int:
    try:
        return process.wait(max(0.1, deadline_at - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
