"""Helpers that several test folders share."""

from __future__ import annotations

import contextlib
import hashlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import tomli_w

from hornbeamline.local_fleet import ProcessGroup, free_addresses

ROOT = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 20
CRASH_MARKER = 'Fatal Python error'
MAX_CRASH_CHARS = 6000


def free_address() -> str:
    """Return a loopback address whose port is currently free."""
    return free_addresses(1)[0]


def digest_of(credential: str) -> str:
    """Return the digest under which the inventory stores a credential."""
    return hashlib.sha256(credential.encode()).hexdigest()


def write_toml(path: Path, content: dict[str, Any]) -> Path:
    """Write a TOML file and return its path."""
    path.write_text(tomli_w.dumps(content), encoding='utf-8')
    return path


def failed_exits(group: ProcessGroup, codes: dict[str, int]) -> list[str]:
    """Return a line for each exit code other than 0.

    After a crash it contains the stack traces from the log of the process.
    """
    lines: list[str] = []
    for name, code in codes.items():
        if code:
            _, start, stacks = group.log_of(name).rpartition(CRASH_MARKER)
            shown = f'{start}{stacks}'[:MAX_CRASH_CHARS] if start else ''
            lines.append(f'{name} ended with {code} {shown}'.rstrip())
    return lines


@contextlib.contextmanager
def running_process(
    log: Path,
    *arguments: str,
) -> Iterator[subprocess.Popen[bytes]]:
    """Run `hornbeamline` as a process and stop it on exit."""
    with log.open('ab') as output:
        process = subprocess.Popen(
            [sys.executable, '-m', 'hornbeamline', *arguments],
            cwd=ROOT,
            stdout=output,
            stderr=output,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
        )
    try:
        yield process
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def wait_listening(address: str, timeout_s: float = 15) -> None:
    """Wait until a TCP address accepts connections."""
    host, _, port = address.rpartition(':')
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), 0.2).close()
            return
        time.sleep(0.02)
    raise AssertionError(f'{address} accepted no connection before the timeout')
