"""Limits of evacuation orders."""

from __future__ import annotations

from typing import Final

# Callers go to another control process after one second without a response.
# An order that is proposed later could follow one that they sent afterwards.
ORDER_TIMEOUT_S: Final = 0.9
# Names come from callers, so that log lines bound their length.
MAX_LOGGED_NAME: Final = 256
