"""Free loopback addresses."""

from __future__ import annotations

import contextlib
import socket


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that are free at the moment.

    All sockets stay open until every port is drawn, so no port stands
    twice in the list.
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(('127.0.0.1', 0))
        ports = [bound.getsockname()[1] for bound in probes]
    return [f'127.0.0.1:{port}' for port in ports]
