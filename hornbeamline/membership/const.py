"""Bounds of reading the platform's list of targets."""

from __future__ import annotations

from typing import Final

# About 100 bytes for each of the 11,000 targets of the design scale, with
# room to grow.
MAX_LIST_BYTES: Final = 4_194_304
# A silent connection must cost less than one poll interval, so that a list
# takes effect within 3 s of its publication.
MAX_FETCH_S: Final = 1.0
# Spread of poll times, so that hosts started together do not poll together.
POLL_JITTER: Final = 0.1

# A target that only itself said it is leaving is asked again after this.
OWN_EVIDENCE_S: Final = 60.0
