"""Constants of the cost estimates."""

from __future__ import annotations

from typing import Final

# Bounds of a believed slowness: 1.0 takes the usual time. Slower targets are
# told apart by their failures.
MIN_SLOWNESS: Final = 0.2
MAX_SLOWNESS: Final = 10.0
# Costs that are learned or estimated, in seconds of work.
MIN_COST_S: Final = 0.0005
MAX_COST_S: Final = 600.0
# Keys of the cost model; the ones used least recently are evicted. The
# largest planned deployment has 21,000 accounts, of which a host sees a part.
MAX_COST_KEYS: Final = 4096
# Targets whose speed is known; the largest planned deployment has 11,000.
MAX_TARGETS: Final = 16_384
