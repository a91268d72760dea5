"""Order of hosts on which all processes agree; needs no network."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which a key belongs to them.

    All processes that see the same hosts agree without talking, and the
    loss of a host moves only the keys that belonged to it.
    """
    return sorted(
        hosts,
        key=lambda host: hashlib.blake2b(
            f'{key}/{host}'.encode(),
            digest_size=8,
        ).digest(),
    )
