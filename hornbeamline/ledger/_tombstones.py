"""Keys whose outcome is no longer kept, in a compact form."""

from __future__ import annotations

import hashlib
import struct
from typing import Final, NamedTuple

from hornbeamline.ledger._types import ClaimState

_DIGEST_BYTES: Final = 16
# Due time, attempt, state and digest of the body's digest.
_LAYOUT: Final = struct.Struct(f'<QIB{_DIGEST_BYTES}s')
_STATES: Final = tuple(ClaimState)


class Tombstone(NamedTuple):
    """What is remembered of a key after its outcome was dropped."""

    due_ms: int
    attempt: int
    state: ClaimState
    body_mark: bytes


class TombstoneTable:
    """Tombstones by a digest of account and key.

    Names and entries are byte strings: a snapshot of half a million takes
    milliseconds instead of the seconds that typed records take, during
    which a voter answers nobody.
    """

    def __init__(self) -> None:
        """Start empty."""
        # In the order of their due times, see `add`.
        self._packed_by_name: dict[bytes, bytes] = {}

    def __len__(self) -> int:
        """Return the number of tombstones."""
        return len(self._packed_by_name)

    @property
    def next_due_ms(self) -> int | None:
        """Return when the oldest tombstone is forgotten, or None."""
        oldest = next(iter(self._packed_by_name.values()), None)
        return None if oldest is None else _unpack(oldest).due_ms

    def get(self, account: str, request_key: str) -> Tombstone | None:
        """Return the tombstone of a key, or None."""
        packed = self._packed_by_name.get(_name(account, request_key))
        return None if packed is None else _unpack(packed)

    def add(self, account: str, request_key: str, entry: Tombstone) -> None:
        """Add a tombstone; due times must not decrease."""
        self._packed_by_name[_name(account, request_key)] = _LAYOUT.pack(
            entry.due_ms,
            entry.attempt,
            _STATES.index(entry.state),
            entry.body_mark,
        )

    def remove(self, account: str, request_key: str) -> None:
        """Forget a tombstone."""
        self._packed_by_name.pop(_name(account, request_key), None)

    def forget_due(self, now_ms: int) -> None:
        """Forget the tombstones that are due."""
        due_ms = self.next_due_ms
        while due_ms is not None and due_ms <= now_ms:
            self._packed_by_name.pop(next(iter(self._packed_by_name)))
            due_ms = self.next_due_ms

    def dump(self) -> dict[bytes, bytes]:
        """Return all tombstones for a snapshot."""
        return self._packed_by_name

    def load(self, packed_by_name: dict[bytes, bytes]) -> None:
        """Replace all tombstones by those of a snapshot."""
        self._packed_by_name = dict(packed_by_name)


def body_mark(body_digest: str) -> bytes:
    """Return what a tombstone keeps of the digest of a request body."""
    return _hash(body_digest.encode())


def _name(account: str, request_key: str) -> bytes:
    # The length keeps ('a', 'bc') and ('ab', 'c') apart.
    return _hash(f'{len(account)}:{account}{request_key}'.encode())


def _hash(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


def _unpack(packed: bytes) -> Tombstone:
    due_ms, attempt, state, mark = _LAYOUT.unpack(packed)
    return Tombstone(due_ms, attempt, _STATES[state], mark)
