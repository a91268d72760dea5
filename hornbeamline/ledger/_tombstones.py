"""Compact storage of keys whose outcome is no longer kept."""

from __future__ import annotations

import hashlib
import struct
from typing import Final, NamedTuple

from hornbeamline.ledger._types import ClaimState

_DIGEST_BYTES: Final = 16
# Expiry time, attempt, index of the state and fingerprint of the body.
_LAYOUT: Final = struct.Struct(f'<QIB{_DIGEST_BYTES}s')
_STATES: Final = tuple(ClaimState)


class Tombstone(NamedTuple):
    """What is stored of a key after its outcome was dropped."""

    due_ms: int
    attempt: int
    state: ClaimState
    body_fingerprint: bytes


class TombstoneTable:
    """Tombstones by a digest of account and key.

    Keys and values are byte strings: a snapshot of half a million of them
    takes milliseconds. Typed records would take seconds, during which the
    voter does not answer.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        # Ordered by expiry time, see `add`.
        self._packed_by_digest: dict[bytes, bytes] = {}

    def __len__(self) -> int:
        """Return the number of tombstones."""
        return len(self._packed_by_digest)

    @property
    def next_due_ms(self) -> int | None:
        """Return when the oldest tombstone expires, or None."""
        oldest = next(iter(self._packed_by_digest.values()), None)
        return None if oldest is None else _unpack(oldest).due_ms

    def get(self, account: str, request_key: str) -> Tombstone | None:
        """Return the tombstone of a key, or None."""
        packed = self._packed_by_digest.get(_key_digest(account, request_key))
        return None if packed is None else _unpack(packed)

    def add(self, account: str, request_key: str, entry: Tombstone) -> None:
        """Add a tombstone; must be called in the order of due times."""
        self._packed_by_digest[_key_digest(account, request_key)] = (
            _LAYOUT.pack(
                entry.due_ms,
                entry.attempt,
                _STATES.index(entry.state),
                entry.body_fingerprint,
            )
        )

    def remove(self, account: str, request_key: str) -> None:
        """Remove the tombstone of a key, if there is one."""
        self._packed_by_digest.pop(_key_digest(account, request_key), None)

    def remove_expired(self, now_ms: int) -> None:
        """Remove the tombstones whose due time has passed."""
        due_ms = self.next_due_ms
        while due_ms is not None and due_ms <= now_ms:
            self._packed_by_digest.pop(next(iter(self._packed_by_digest)))
            due_ms = self.next_due_ms

    def dump(self) -> dict[bytes, bytes]:
        """Return all tombstones for a snapshot."""
        return self._packed_by_digest

    def load(self, packed_by_digest: dict[bytes, bytes]) -> None:
        """Replace all tombstones with those of a snapshot."""
        self._packed_by_digest = dict(packed_by_digest)


def body_fingerprint(body_digest: str) -> bytes:
    """Return the short hash of a body digest that a tombstone stores."""
    return _hash(body_digest.encode())


def _key_digest(account: str, request_key: str) -> bytes:
    # The length prefix keeps ('a', 'bc') and ('ab', 'c') distinct.
    return _hash(f'{len(account)}:{account}{request_key}'.encode())


def _hash(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


def _unpack(packed: bytes) -> Tombstone:
    due_ms, attempt, state, fingerprint = _LAYOUT.unpack(packed)
    return Tombstone(due_ms, attempt, _STATES[state], fingerprint)
