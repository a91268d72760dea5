"""Identity of a stream."""

from __future__ import annotations

import hashlib
from typing import Final, NamedTuple

from hornbeamline.helpers.codec import encode

_DIGEST_SIZE: Final = 16


class StreamKey(NamedTuple):
    """Stream, named by the attempt that brought its first event."""

    service: str
    # Name of the client account; empty if there is none.
    account: str
    # Id of the caller's attempt.
    request_id: str

    @property
    def digest(self) -> bytes:
        """Return the 16 bytes that stand for the stream in messages."""
        return hashlib.blake2b(
            encode(tuple(self)),
            digest_size=_DIGEST_SIZE,
        ).digest()
