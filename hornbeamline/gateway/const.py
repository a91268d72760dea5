"""Reasons for refusals, used as labels of the refusal counter."""

from __future__ import annotations

from typing import Final

REASON_BODY_TOO_LARGE: Final = 'body_too_large'
REASON_HOST_STOPS: Final = 'host_stops'
REASON_NO_CONFIGURATION: Final = 'no_configuration'
REASON_NO_ROUTE: Final = 'no_route'
REASON_NO_TARGET: Final = 'no_target'
REASON_ORIGIN_UNKNOWN: Final = 'origin_unknown'
REASON_OUT_OF_TIME: Final = 'out_of_time'
REASON_PROMPT_QUARANTINED: Final = 'prompt_quarantined'
REASON_STAGES_BUSY: Final = 'stages_busy'
REASON_STAGES_FAILED: Final = 'stages_failed'
REASON_TARGET_LOST: Final = 'target_lost'
REASON_TARGETS_LIMITED: Final = 'targets_limited'
REASON_TARGETS_REFUSED: Final = 'targets_refused'
REASON_UNKNOWN_CREDENTIAL: Final = 'unknown_credential'
REASON_VERSION_GONE: Final = 'version_gone'
