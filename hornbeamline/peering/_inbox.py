"""Inbox of a process: one socket and one blocking reader thread."""

from __future__ import annotations

import asyncio
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator

import pynng

from hornbeamline.peering.const import (
    DRAIN_MESSAGES,
    MAX_FRAME_BYTES,
    MAX_INBOX_BYTES,
    MAX_INBOX_FRAMES,
    READER_JOIN_TIMEOUT_S,
    RECEIVE_RETRY_S,
)
from hornbeamline.peering.errors import ListenError
from hornbeamline.telemetry import log_event


class Inbox:
    """Passes received frames to the event loop in batches.

    The asynchronous receive of pynng costs several times as much per frame
    as the blocking one. A thread therefore receives the frames and wakes
    the event loop once for all that have accumulated.
    """

    def __init__(
        self,
        address: str,
        handle_frame: Callable[[bytes], Iterator[bool]],
    ) -> None:
        """Initialize with the address to bind and the handler of a frame.

        `handle_frame` returns an iterator that handles one message per step
        and yields True.
        """
        self._address = address
        self._handle_frame = handle_frame
        self._socket: pynng.Pull0 | None = None
        self._thread: threading.Thread | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._frames: deque[bytes] = deque()
        self._frames_bytes = 0
        self._wake_pending = False
        self._closed = False
        self._changed = threading.Condition()
        self._steps = self._handle_messages()

    def start(self) -> None:
        """Bind the socket and start the reader; raises `ListenError`."""
        self._loop = asyncio.get_running_loop()
        self._socket = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        try:
            self._socket.listen(f'tcp://{self._address}')
        except pynng.NNGException as error:
            self._socket.close()
            self._socket = None
            raise ListenError(
                f'cannot listen on {self._address}: {error}',
            ) from error
        self._thread = threading.Thread(
            target=self._read,
            args=(self._socket,),
            name=f'peering inbox {self._address}',
            daemon=True,
        )
        self._thread.start()

    async def stop(self) -> None:
        """Close the socket and wait until the reader thread has ended."""
        with self._changed:
            self._closed = True
            self._frames.clear()
            self._changed.notify()
        if self._socket is None or self._thread is None:
            return
        self._socket.close()
        await asyncio.to_thread(self._thread.join, READER_JOIN_TIMEOUT_S)
        if self._thread.is_alive():
            log_event('peering.reader_stuck', address=self._address)

    def _read(self, inbox: pynng.Pull0) -> None:
        while not self._closed:
            try:
                frame = inbox.recv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                # A failure of one connection must not end the reader thread.
                log_event('peering.receive_failed', error=repr(error))
                time.sleep(RECEIVE_RETRY_S)
                continue
            self._append(frame)

    def _append(self, frame: bytes) -> None:
        with self._changed:
            while self._is_full() and not self._closed:
                self._changed.wait()
            if self._closed:
                return
            self._frames.append(frame)
            self._frames_bytes += len(frame)
            if self._wake_pending or self._loop is None:
                return
            self._wake_pending = True
        try:
            self._loop.call_soon_threadsafe(self._drain)
        except RuntimeError:
            # The event loop was closed before the service was stopped.
            self._closed = True

    def _is_full(self) -> bool:
        return (
            len(self._frames) >= MAX_INBOX_FRAMES
            or self._frames_bytes >= MAX_INBOX_BYTES
        )

    def _drain(self) -> None:
        for _ in range(DRAIN_MESSAGES):
            if not next(self._steps, False):
                self._steps = self._handle_messages()
                return
        # Yields to other callbacks of the event loop.
        asyncio.get_running_loop().call_soon(self._drain)

    def _handle_messages(self) -> Iterator[bool]:
        while (frame := self._take()) is not None:
            yield True
            yield from self._handle_frame(frame)

    def _take(self) -> bytes | None:
        with self._changed:
            if not self._frames:
                self._wake_pending = False
                return None
            frame = self._frames.popleft()
            self._frames_bytes -= len(frame)
            self._changed.notify()
        return frame
