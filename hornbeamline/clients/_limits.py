"""Limits of what clients may use of a process."""

from __future__ import annotations

import resource
from typing import Final, NamedTuple

DEFAULT_MEMORY_MB: Final = 512
# Descriptors that are kept for peers, files and connections to targets.
RESERVED_FDS: Final = 200

_BYTES_PER_MB: Final = 1_048_576
# Share of the memory for the requests of clients. The rest holds the program
# (about 50 MB), the responses of targets and a second process on the host.
DEFAULT_MEMORY_SHARE: Final = 0.3
# A request that runs holds its body twice: once for further attempts and once
# in the buffer of the connection to the target.
BODY_COPIES: Final = 2
# A request usually needs one connection from the client and one to a target.
_FDS_PER_CONNECTION: Final = 2
_MIN_CONNECTIONS: Final = 16
# An idle connection takes about 10 KB.
_CONNECTIONS_PER_MB: Final = 8


class RequestLimits(NamedTuple):
    """Limits of one request, which a configuration document may state."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ProcessLimits(NamedTuple):
    """Limits of a process, from its settings."""

    # 0 stands for `DEFAULT_MEMORY_MB`.
    memory_mb: float = 0
    # 0 stands for the limit that the operating system sets.
    max_fds: int = 0
    # Share of the memory for the requests of clients.
    memory_share: float = DEFAULT_MEMORY_SHARE

    @property
    def client_bytes(self) -> int:
        """Return the bytes that all requests of clients may take."""
        memory_mb = self.memory_mb or DEFAULT_MEMORY_MB
        return int(memory_mb * _BYTES_PER_MB * self.memory_share)

    @property
    def max_connections(self) -> int:
        """Return the number of connections that clients may have open."""
        max_fds = self.max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        memory_mb = self.memory_mb or DEFAULT_MEMORY_MB
        return max(
            _MIN_CONNECTIONS,
            min(
                (max_fds - RESERVED_FDS) // _FDS_PER_CONNECTION,
                int(memory_mb * _CONNECTIONS_PER_MB),
            ),
        )
