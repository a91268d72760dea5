"""Bounds and intervals of the origins of streams."""

from __future__ import annotations

from typing import Final

# Lower bound of the retention of records, in seconds.
MIN_RETENTION_S: Final = 60.0
# Retention relative to the longest time limit of a stream: a stream and its
# resumptions end within this time.
RETENTION_RATIO: Final = 2
# Records in both generations together. All voters must use the same bound,
# since it decides which records a command adds.
MAX_RECORDS: Final = 200_000
# Services with a default version. Streams of others are all recorded.
MAX_SERVICES: Final = 4096
# A longer version name is not recorded and does not become a default.
MAX_VERSION_LENGTH: Final = 256

# Interval at which the leader compares the defaults with the list of targets.
TICK_INTERVAL_S: Final = 1.0
# An older list of targets shows nothing about the versions in use.
MAX_LIST_AGE_S: Final = 5.0
# The absence of a version is counted anew after a longer interruption.
MAX_OBSERVATION_GAP_S: Final = 5.0

# A confirmed default is used for this time while other versions are listed.
CONFIRMED_FOR_S: Final = 10.0
# A confirmed default must be confirmed again if it was not listed for a longer
# time. With the ages of the lists here and at the leader, and with the time
# limit of a stream, this is shorter than the retention of the leader.
MAX_ABSENCE_S: Final = 20.0
# Lists of targets that are further apart may hide a version.
MAX_LIST_GAP_S: Final = 10.0
# Longest wait for the leader if the believed default can't have changed, and
# the time until the leader is asked again after that.
REFRESH_TIMEOUT_S: Final = 0.5
REFRESH_RETRY_S: Final = 2.0
# Time after which the only listed version counts as the only one in use.
SOLE_VERSION_S: Final = 60.0

# Streams begun at this host that it remembers itself.
MAX_BEGUN_STREAMS: Final = 10_000
BEGUN_RETENTION_S: Final = 600.0
# A first event waits for a record, so that another control process is asked
# soon. Commits take some milliseconds.
ATTEMPT_TIMEOUT_S: Final = 0.4
# A batch of records takes less than 20 KB.
MAX_BATCH_STREAMS: Final = 256
