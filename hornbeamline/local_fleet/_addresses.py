"""Loopback addresses for the processes of a local fleet."""

from __future__ import annotations

import contextlib
import os
import socket
import sys
from typing import Final

_SHARED_IP: Final = '127.0.0.1'
# Second and third part of an address; 127.0.x.x stays free.
_SECOND_PARTS: Final = 200
_THIRD_PARTS: Final = 250


def loopback_net() -> str:
    """Return the first three parts of this process's loopback addresses.

    A port that is free for one run of a fleet may be taken by another run,
    or by a connection that it opens, until it is used. Linux answers on
    all of 127.0.0.0/8, so that runs at the same time need not meet.
    """
    if sys.platform != 'linux':
        return _SHARED_IP.rpartition('.')[0]
    third, second = divmod(os.getpid(), _SECOND_PARTS)
    return f'127.{1 + second}.{third % _THIRD_PARTS}'


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that are free at the moment.

    All sockets stay open until every port is drawn, so no port stands
    twice in the list.
    """
    ip = f'{loopback_net()}.1'
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        ports = [bound.getsockname()[1] for bound in probes]
    return [f'{ip}:{port}' for port in ports]
