"""Rendezvous hashing: an order of hosts without coordination."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable
from typing import Final

# Holds the hosts of the planned fleet size for a dozen services.
_WEIGHT_CACHE_SIZE: Final = 8192


def rendezvous_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts by descending preference for a key.

    All processes that see the same hosts get the same order without
    communication, and the loss of a host moves only the keys that were
    assigned to it.
    """
    return sorted(hosts, key=lambda host: _weight(key, host))


@functools.lru_cache(maxsize=_WEIGHT_CACHE_SIZE)
def _weight(key: str, host: str) -> bytes:
    return hashlib.blake2b(f'{key}/{host}'.encode(), digest_size=8).digest()
