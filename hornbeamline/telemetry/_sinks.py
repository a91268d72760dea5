"""Non-blocking log output."""

from __future__ import annotations

import os
from typing import Final

# Room for several hundred lines while the reader of the log is slow.
MAX_BUFFERED_BYTES: Final = 131_072


class NonBlockingSink:
    """Writes lines to a descriptor; drops and counts lines that do not fit.

    The descriptor is made non-blocking. A line that does not fit into the
    buffer is dropped as a whole. Once the buffer is empty, the next line is
    preceded by the number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        """Initialize with a descriptor that no other process writes to."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = b''
        self.dropped = 0

    def write(self, line: str) -> None:
        """Buffer a line, which must end with a newline."""
        if self.dropped and not self._buffer:
            line = f'event=log.dropped lines={self.dropped}\n{line}'
            self.dropped = 0
        encoded = line.encode()
        if len(self._buffer) + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += encoded

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The log has no reader any more; the process continues without it.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]
