"""Listening sockets; imports no module that is slow to load."""

from __future__ import annotations

import socket
from typing import Final

from hornbeamline.exceptions import HornbeamlineError

BACKLOG: Final = 2048
_TCP_USER_TIMEOUT_MS: Final = 30_000


class AddressInUseError(HornbeamlineError):
    """A listener address cannot be bound."""


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port` into IP address and port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def bind_listener(address: str) -> socket.socket:
    """Return a bound TCP socket; raises `AddressInUseError`."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets created with an explicit
    # protocol; without it the body of an answer may wait 40 ms for an
    # acknowledgement.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Inherited by accepted sockets: without it, a peer that no longer
    # acknowledges data holds its connection for the system's default of
    # 15 minutes.
    listener.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )
    try:
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise AddressInUseError(
            f'cannot listen on {address}: {error.strerror}',
        ) from error
    return listener


_early_by_address: Final[dict[str, socket.socket]] = {}


def bind_early(address: str) -> None:
    """Listen on an address before its server is created.

    Callers that connect while the process starts then wait for their answer
    instead of being refused. Raises `AddressInUseError`.
    """
    _early_by_address[address] = bind_listener(address)


def take_listener(address: str) -> socket.socket:
    """Return the listener bound by `bind_early`, or bind one now.

    Raises `AddressInUseError`.
    """
    early = _early_by_address.pop(address, None)
    return bind_listener(address) if early is None else early
