"""Limits and timeouts of the links between processes."""

from __future__ import annotations

from typing import Final

# Fits a whole configuration document at the design scale. A receiver closes
# the connection when a sender announces a larger frame.
MAX_FRAME_BYTES: Final = 8_388_608
# Room for fleet name, sender and array headers around one message.
FRAME_OVERHEAD_BYTES: Final = 1024
MAX_MESSAGE_BYTES: Final = MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES
# A frame is sent when a further message would make it larger than this, so
# that a large batch of small messages does not delay the first of them.
BATCH_BYTES: Final = 262_144

# Frames that pynng buffers per peer, beyond those in the TCP buffers.
SEND_BUFFER_FRAMES: Final = 64
# Limit of the backlog of a peer whose socket accepts no frames; further
# frames are dropped.
MAX_BACKLOG_BYTES: Final = 16_777_216

# Share of the heartbeat interval after which the next heartbeat is
# piggybacked on a frame with other messages.
PIGGYBACK_INTERVAL_SHARE: Final = 0.5

# Limits of the queue between reader thread and event loop. At either of them
# the thread stops receiving, so that TCP flow control slows the senders down.
MAX_INBOX_FRAMES: Final = 1024
MAX_INBOX_BYTES: Final = 33_554_432
# Messages handled before the inbox yields to other event-loop callbacks.
DRAIN_MESSAGES: Final = 256

# Handlers in progress for all senders; further messages are dropped.
MAX_HANDLERS: Final = 8192

# Peers that are known from their heartbeats only: their number, and the
# silence after which one is removed.
MAX_LEARNED_PEERS: Final = 4096
LEARNED_PEER_TTL_S: Final = 60.0

# Interval between connection attempts to an address that refuses them.
RECONNECT_MS: Final = 100
# Time for pynng to send its buffered frames when the service stops.
STOP_LINGER_S: Final = 0.05
READER_JOIN_TIMEOUT_S: Final = 2.0
# Prevents a busy loop while receiving fails persistently.
RECEIVE_RETRY_S: Final = 0.05
MAX_ERROR_CHARS: Final = 500
