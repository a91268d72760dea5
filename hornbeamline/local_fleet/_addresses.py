"""Loopback addresses for the processes of a local fleet."""

from __future__ import annotations

import contextlib
import os
import socket
import sys
from typing import Final

_SHARED_IP: Final = '127.0.0.1'
# Numbers of values for the second and third octet of an address; 127.0.x.x
# is not used.
_SECOND_OCTETS: Final = 200
_THIRD_OCTETS: Final = 250


def loopback_net() -> str:
    """Return the first three octets of this process's loopback addresses.

    On a shared address, a port that was free for one fleet could be taken by
    another fleet, or by a connection that it opens, before it is bound. Linux
    answers on all of 127.0.0.0/8, so concurrent fleets use distinct
    addresses.
    """
    if sys.platform != 'linux':
        return _SHARED_IP.rpartition('.')[0]
    third, second = divmod(os.getpid(), _SECOND_OCTETS)
    return f'127.{1 + second}.{third % _THIRD_OCTETS}'


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses that are currently free.

    All sockets stay open until every port is allocated, so that no port
    is allocated twice.
    """
    ip = f'{loopback_net()}.1'
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        ports = [bound.getsockname()[1] for bound in probes]
    return [f'{ip}:{port}' for port in ports]
