"""Outgoing side of the link to one peer."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import NamedTuple

import pynng

from hornbeamline.helpers.clock import Clock
from hornbeamline.peering._frames import (
    ONE_WAY,
    Heartbeat,
    encode_envelope,
    encode_frame,
)
from hornbeamline.peering._metrics import (
    FRAMES_SENT,
    MESSAGES_SENT,
    count_dropped,
)
from hornbeamline.peering.const import (
    BATCH_BYTES,
    MAX_BACKLOG_BYTES,
    PIGGYBACK_INTERVAL_SHARE,
    RECONNECT_MS,
    SEND_BUFFER_FRAMES,
)


class Identity(NamedTuple):
    """How a process identifies itself to its peers."""

    fleet: str
    name: str
    address: str
    incarnation: int


class Link:
    """Socket to one peer and the liveness state of both directions.

    Sending never blocks. Frames that the socket does not accept wait in a
    bounded backlog and are dropped when the socket is closed.
    """

    def __init__(
        self,
        peer: str,
        address: str,
        identity: Identity,
        clock: Clock,
        heartbeat_interval_s: float,
        *,
        learned: bool,
    ) -> None:
        """Create a link without a socket; `dial` opens one.

        `learned` is True if the peer is known from its heartbeats only.
        """
        self.peer = peer
        self.address = address
        self.learned = learned
        self.alive = False
        self.heard_at: float | None = None
        # When the socket was opened or last confirmed to deliver frames.
        self.confirmed_at = clock.monotonic()
        self.heartbeat_sent_at = -math.inf
        self._identity = identity
        self._clock = clock
        self._piggyback_after_s = (
            heartbeat_interval_s * PIGGYBACK_INTERVAL_SHARE
        )
        self._outgoing = Outgoing(identity)
        self._sent_number = 0
        self._acknowledged_number = 0
        self._heard_number = 0
        self._heard_incarnation = 0

    def dial(self) -> None:
        """Replace the socket by a new one and send a heartbeat on it."""
        self._outgoing.dial(self.address)
        self.confirmed_at = self._clock.monotonic()
        # Only heartbeats that are sent on the new socket confirm it.
        self._acknowledged_number = self._sent_number
        self.send_heartbeat()

    def close(self) -> None:
        """Close the socket; frames that are not yet sent are lost."""
        self._outgoing.close()

    def enqueue(self, envelope: bytes) -> None:
        """Add an envelope to the frame of this event-loop iteration.

        A heartbeat that is due soon is piggybacked, because a frame costs
        ten times as much as a message in it.
        """
        self._outgoing.enqueue(envelope)
        if (
            self._clock.monotonic() - self.heartbeat_sent_at
            >= self._piggyback_after_s
        ):
            self.send_heartbeat()

    def flush(self) -> None:
        """Send the envelopes queued in this event-loop iteration."""
        self._outgoing.flush()

    def send_heartbeat(self) -> None:
        """Queue the next heartbeat."""
        self.heartbeat_sent_at = self._clock.monotonic()
        self._sent_number += 1
        heartbeat = Heartbeat(
            self._identity.address,
            self._identity.incarnation,
            self._sent_number,
            self._heard_number,
            self._heard_incarnation,
        )
        self._outgoing.enqueue(encode_envelope(heartbeat, ONE_WAY))

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat of the peer and the number that it acknowledges.

        A heartbeat that acknowledges an old number does not confirm the
        socket: the peer goes on sending while frames of this socket are
        lost.
        """
        self._heard_number = heartbeat.number
        self._heard_incarnation = heartbeat.incarnation
        if heartbeat.heard_incarnation != self._identity.incarnation:
            return
        if heartbeat.heard_number > self._acknowledged_number:
            self._acknowledged_number = heartbeat.heard_number
            self.confirmed_at = self._clock.monotonic()


class Outgoing:
    """Socket to one address with its queues of unsent messages."""

    def __init__(self, identity: Identity) -> None:
        """Initialize with the sender that is written into each frame."""
        self._identity = identity
        self._socket: pynng.Push0 | None = None
        self._outbox: list[bytes] = []
        self._outbox_bytes = 0
        self._flush_pending = False
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._watched_descriptor: int | None = None

    def dial(self, address: str) -> None:
        """Close the current socket and open a new one."""
        self.close()
        self._socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_MS,
        )
        self._socket.dial(f'tcp://{address}', block=False)

    def close(self) -> None:
        """Close the socket and drop the backlog."""
        self._unwatch()
        if self._backlog:
            count_dropped('link_closed', len(self._backlog))
        self._backlog.clear()
        self._backlog_bytes = 0
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def enqueue(self, envelope: bytes) -> None:
        """Add an envelope to the frame of this event-loop iteration."""
        if self._outbox_bytes + len(envelope) > BATCH_BYTES:
            self.flush()
        self._outbox.append(envelope)
        self._outbox_bytes += len(envelope)
        if not self._flush_pending:
            self._flush_pending = True
            asyncio.get_running_loop().call_soon(self._flush_scheduled)

    def flush(self) -> None:
        """Send the queued envelopes as one frame."""
        if not self._outbox:
            return
        envelopes = self._outbox
        self._outbox = []
        self._outbox_bytes = 0
        frame = encode_frame(
            self._identity.fleet,
            self._identity.name,
            envelopes,
        )
        MESSAGES_SENT.inc(len(envelopes))
        if self._backlog or not self._try_send(frame):
            self._add_to_backlog(frame)

    def _flush_scheduled(self) -> None:
        self._flush_pending = False
        self.flush()

    def _try_send(self, frame: bytes) -> bool:
        if self._socket is None:
            count_dropped('link_closed')
            return True
        try:
            self._socket.send(frame, block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException:
            # The socket is unusable; it is replaced after the silence timeout.
            count_dropped('send_failed')
            return True
        FRAMES_SENT.inc()
        return True

    def _add_to_backlog(self, frame: bytes) -> None:
        if self._backlog_bytes + len(frame) > MAX_BACKLOG_BYTES:
            count_dropped('backlog_full')
            return
        self._backlog.append(frame)
        self._backlog_bytes += len(frame)
        self._watch()

    def _watch(self) -> None:
        if self._watched_descriptor is None and self._socket is not None:
            self._watched_descriptor = self._socket.send_fd
            loop = asyncio.get_running_loop()
            loop.add_reader(self._watched_descriptor, self._on_writable)

    def _unwatch(self) -> None:
        if self._watched_descriptor is not None:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._watched_descriptor)
            self._watched_descriptor = None

    def _on_writable(self) -> None:
        while self._backlog and self._try_send(self._backlog[0]):
            self._backlog_bytes -= len(self._backlog.popleft())
        if not self._backlog:
            self._unwatch()
