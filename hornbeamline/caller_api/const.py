"""Names and limits of the caller interface."""

from __future__ import annotations

from typing import Final

ATTR_DEADLINE_MS: Final = 'deadline_ms'
ATTR_INPUT: Final = 'input'
ATTR_OUTCOME: Final = 'outcome'
ATTR_REASON: Final = 'reason'

HEADER_REQUEST_KEY: Final = 'Idempotency-Key'
MAX_REQUEST_KEY_LENGTH: Final = 128
