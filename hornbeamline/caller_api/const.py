"""Names and limits of the caller interface."""

from __future__ import annotations

from typing import Final

ATTR_OUTCOME: Final = 'outcome'
ATTR_REASON: Final = 'reason'
ATTR_REQUEST_ID: Final = 'request_id'

HEADER_REQUEST_KEY: Final = 'Idempotency-Key'
MAX_REQUEST_KEY_LENGTH: Final = 128
MAX_HEADER_BYTES: Final = 16_384

REASON_STOPPING: Final = 'stopping'
REASON_TOO_MANY_REQUESTS: Final = 'too_many_requests'

HEARTBEAT_INTERVAL_S: Final = 1.0
# A caller that reads nothing for this long is disconnected. The time-out is
# longer than that of the event queue, which ends the caller's work first.
WRITE_TIMEOUT_S: Final = 10.0

MEDIA_EVENTS: Final = 'text/event-stream'
MEDIA_PROBLEM: Final = 'application/problem+json'
