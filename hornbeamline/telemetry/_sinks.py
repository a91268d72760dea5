"""Log output that never makes the process wait."""

from __future__ import annotations

import os
from typing import Final

# Holds some hundred lines while the reader of the log is slow.
MAX_HELD_BYTES: Final = 131_072


class NonBlockingSink:
    """Writes lines to a descriptor; drops and counts what it cannot take.

    The descriptor is made non-blocking. A line is written whole or not at
    all; the next line that is written tells how many were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        """Take a descriptor that this process writes alone."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._held = b''
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line that ends with a line end."""
        if self.dropped and not self._held:
            line = f'event=log.dropped lines={self.dropped}\n{line}'
            self.dropped = 0
        encoded = line.encode()
        if len(self._held) + len(encoded) > MAX_HELD_BYTES:
            self.dropped += 1
        else:
            self._held += encoded

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        try:
            written = os.write(self._descriptor, self._held)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; serving goes on without it.
            written = len(self._held)
        self._held = self._held[written:]
