"""Target in a thread whose answers have no end."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Final

PART_BYTES: Final = 65_536
SEND_TIMEOUT_S: Final = 6.0


def unframed(piece: bytes) -> Callable[[], Iterator[bytes]]:
    """Return a source that repeats a piece without end."""
    part = piece * (PART_BYTES // len(piece))
    return lambda: itertools.repeat(part)


class EndlessTarget:
    """Target in a thread, which sends until the connection is closed."""

    def __init__(
        self,
        source: Callable[[], Iterator[bytes]],
        beginning: bytes,
    ) -> None:
        self._source = source
        self._beginning = beginning
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self.sent = 0
        # The connection has been closed by the caller.
        self.is_closed = threading.Event()

    def __enter__(self) -> EndlessTarget:
        """Start to accept connections."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Accept no further connections."""
        self._listener.close()

    @property
    def address(self) -> str:
        """Return host and port."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self._listener.accept()
            with connection:
                connection.settimeout(SEND_TIMEOUT_S)
                connection.recv(PART_BYTES)
                connection.sendall(self._beginning)
                self._send(connection)

    def _send(self, connection: socket.socket) -> None:
        try:
            for part in self._source():
                connection.sendall(part)
                self.sent += len(part)
        except TimeoutError:
            # The caller keeps the connection, but reads no more.
            return
        except OSError:
            self.is_closed.set()
