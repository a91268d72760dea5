"""Decides which connections of clients a process keeps and what they hold.

No I/O. Every connection has a share, which is in one phase at a time. Shares
that run a request are never dropped; of the others, those whose client has
sent nothing for the longest time are dropped first.
"""

from __future__ import annotations

import enum
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

from hornbeamline.clients._limits import ProcessLimits, RequestLimits
from hornbeamline.helpers.clock import Clock

# Requests of up to this size may use the whole budget, larger ones leave a
# part of it to them.
SMALL_BYTES: Final = 65_536
_LARGE_SHARE: Final = 0.875
# A body whose client has paused for this long may be dropped for another
# one. Clients that send steadily pause for less, also on a slow link.
STALLED_S: Final = 1.0
# Longest pause within a body, and longest time for a whole one: a body of
# 4 MiB takes 9 s on a link of 3.75 Mbit/s that it has for itself.
BODY_PAUSE_S: Final = 10.0
BODY_S: Final = 120.0
# Longest time for which a client may read nothing of a response.
UNREAD_S: Final = 30.0
# Longest time for which what a refused client still sends is discarded.
LINGER_S: Final = 2.0
# Connections that are compared by address before one of them is dropped.
_COMPARED: Final = 64

DROP_CROWDED: Final = 'crowded'
DROP_IDLE: Final = 'idle'
DROP_HEAD_LATE: Final = 'head_late'
DROP_BODY_LATE: Final = 'body_late'
DROP_UNREAD: Final = 'unread'
DROP_LINGERED: Final = 'lingered'


class Phase(enum.IntEnum):
    """What a connection is doing, in the order in which they yield."""

    # Refused; what the client still sends is discarded.
    REFUSED = 0
    # No byte of a request has arrived.
    IDLE = 1
    HEAD = 2
    BODY = 3
    # Has a whole request, which runs or is being answered.
    RUNNING = 4


def _ignore(_reason: str) -> None:
    """Drop nothing: the connection has ended."""


class Share:
    """What one connection uses of the budget."""

    __slots__ = (
        'address',
        'client',
        'drop',
        'held',
        'measure',
        'phase',
        'phase_at',
        'read_at',
        'unread',
        'unread_at',
    )

    def __init__(
        self,
        address: str,
        drop: Callable[[str], None],
        measure: Callable[[], int],
    ) -> None:
        """Create a share.

        `drop` ends the connection for a reason; `measure` returns the bytes
        of responses that the client has not read.
        """
        self.address = address
        # The client account, or the address while it is not known.
        self.client = address
        self.drop = drop
        self.measure = measure
        self.phase = Phase.IDLE
        # Reserved bytes of the request.
        self.held = 0
        # When the client last sent something, and when the phase began.
        self.read_at: float = 0
        self.phase_at: float = 0
        # Bytes of the response that the client has not read, and since when
        # their number is the same.
        self.unread = 0
        self.unread_at: float = 0

    def detach(self) -> None:
        """Let go of the connection, which has ended.

        The references in both directions would keep its memory until the
        collector finds them.
        """
        self.drop = _ignore
        self.measure = int


class ClientBudget:
    """Budget of bytes and connections of one process."""

    def __init__(self, limits: ProcessLimits, clock: Clock) -> None:
        """Create an empty budget."""
        self.requests = RequestLimits()
        self.max_connections = limits.max_connections
        self.capacity = limits.client_bytes
        self.used = 0
        # Number of open connections.
        self.connections = 0
        self._clock = clock
        # Each in the order of `read_at`.
        self._shares_by_phase: dict[int, dict[Share, None]] = {
            phase: {} for phase in Phase
        }
        self._unread: dict[Share, None] = {}
        self._connections_by_address: Counter[str] = Counter()
        self._held_by_client: Counter[str] = Counter()

    @property
    def arriving(self) -> int:
        """Return the number of requests whose body is arriving."""
        return len(self._shares_by_phase[Phase.BODY])

    def open(self, share: Share) -> bool:
        """Add a connection; return False if there is no room for it.

        Drops another one that runs no request, if needed.
        """
        has_room = self.connections < self.max_connections
        if not has_room:
            victim = self._connection_to_drop()
            has_room = victim is not None
            if victim is not None:
                self._drop(victim, DROP_CROWDED)
        share.read_at = self._clock.monotonic()
        share.phase_at = share.read_at
        share.phase = Phase.IDLE if has_room else Phase.REFUSED
        self._shares_by_phase[share.phase][share] = None
        self.connections += 1
        counts = self._connections_by_address
        counts[share.address] = counts.get(share.address, 0) + 1
        return has_room

    def close(self, share: Share) -> None:
        """Remove a connection that has ended."""
        shares = self._shares_by_phase[share.phase]
        if share not in shares:
            return
        del shares[share]
        self.connections -= 1
        self.release(share)
        self.note_unread(share, 0)
        _subtract(self._connections_by_address, share.address, 1)

    def enter(self, share: Share, phase: Phase) -> None:
        """Note that a connection enters a phase, since its client sent."""
        shares = self._shares_by_phase[share.phase]
        if share not in shares:
            return
        del shares[share]
        now = self._clock.monotonic()
        share.read_at = now
        if share.phase is not phase:
            share.phase = phase
            share.phase_at = now
        self._shares_by_phase[phase][share] = None

    def touch(self, share: Share) -> None:
        """Note that bytes of a body have arrived."""
        self.enter(share, share.phase)

    def identify(self, share: Share, client: str) -> None:
        """Note which client account the request of a connection is from."""
        held = share.held
        self._add(share, -held)
        share.client = client
        self._add(share, held)

    def reserve(self, share: Share, size: int) -> bool:
        """Raise what a connection holds to `size`; return whether it may.

        Drops requests that have stalled, and those of clients that hold more
        than this one, the least recently read first.
        """
        more = size - share.held
        if more <= 0:
            return True
        limit = self.capacity
        if size > SMALL_BYTES:
            limit = int(limit * _LARGE_SHARE)
        if self.used + more > limit and not self._make_room(share, more, limit):
            return False
        self._add(share, more)
        return True

    def release(self, share: Share) -> None:
        """Note that a connection holds no request any more."""
        if share.held:
            self._add(share, -share.held)
        share.client = share.address

    def note_unread(self, share: Share, size: int) -> None:
        """Note how many bytes of a response the client has not read.

        They count, but are never refused: the request has run.
        """
        if not size:
            if not share.unread:
                return
            self._unread.pop(share, None)
        elif share not in self._shares_by_phase[share.phase]:
            return
        elif share not in self._unread or size < share.unread:
            share.unread_at = self._clock.monotonic()
            self._unread[share] = None
        self.used += size - share.unread
        share.unread = size

    def drop_expired(self) -> None:
        """Drop the connections whose time is over."""
        now = self._clock.monotonic()
        limits = self.requests
        for phase, limit_s, reason in (
            (Phase.REFUSED, LINGER_S, DROP_LINGERED),
            (Phase.IDLE, limits.idle_timeout_s, DROP_IDLE),
            (Phase.HEAD, limits.header_timeout_s, DROP_HEAD_LATE),
            (Phase.BODY, BODY_PAUSE_S, DROP_BODY_LATE),
        ):
            for share in self._read_before(phase, now - limit_s):
                self._drop(share, reason)
        for share in tuple(self._shares_by_phase[Phase.BODY]):
            if share.phase_at < now - BODY_S:
                self._drop(share, DROP_BODY_LATE)
        for share in tuple(self._unread):
            self.note_unread(share, share.measure())
            if share.unread and share.unread_at < now - UNREAD_S:
                self._drop(share, DROP_UNREAD)

    def _read_before(self, phase: Phase, moment: float) -> list[Share]:
        return list(
            itertools.takewhile(
                lambda share: share.read_at <= moment,
                self._shares_by_phase[phase],
            )
        )

    def _drop(self, share: Share, reason: str) -> None:
        """End a connection or its request.

        The connection of a refused request closes a little later.
        """
        self.release(share)
        if share.phase in _ANSWERED_ON_DROP:
            self.enter(share, Phase.REFUSED)
        else:
            self.close(share)
        share.drop(reason)

    def _connection_to_drop(self) -> Share | None:
        """Return the connection that yields to a new one, if any does.

        Of those that were read least recently, it is one of the address with
        the most connections.
        """
        oldest = itertools.islice(self._waiting(), _COMPARED)
        return max(
            oldest,
            key=lambda share: self._connections_by_address[share.address],
            default=None,
        )

    def _waiting(self) -> Iterator[Share]:
        for phase in Phase:
            if phase is not Phase.RUNNING:
                yield from self._shares_by_phase[phase]

    def _make_room(self, share: Share, more: int, limit: int) -> bool:
        stalled_before = self._clock.monotonic() - STALLED_S
        for phase in (Phase.BODY, Phase.HEAD):
            for other in self._read_before(phase, stalled_before):
                if self.used + more <= limit:
                    return True
                if other is not share:
                    self._drop(other, DROP_CROWDED)
        while self.used + more > limit:
            larger = self._larger_holder(share, more)
            if larger is None:
                return False
            self._drop(larger, DROP_CROWDED)
        return True

    def _larger_holder(self, share: Share, more: int) -> Share | None:
        """Return a request of the client that holds the most, if it may go.

        A client that holds less than another one after the change has the
        better claim.
        """
        if not self._held_by_client:
            return None
        client, held = self._held_by_client.most_common(1)[0]
        if held <= self._held_by_client[share.client] + more:
            return None
        for other in self._shares_by_phase[Phase.BODY]:
            if other.client == client and other is not share:
                return other
        return None

    def _add(self, share: Share, size: int) -> None:
        if not size:
            return
        share.held += size
        self.used += size
        if size > 0:
            self._held_by_client[share.client] += size
        else:
            _subtract(self._held_by_client, share.client, -size)


_ANSWERED_ON_DROP: Final = frozenset((Phase.HEAD, Phase.BODY))


def _subtract(counter: Counter[str], key: str, size: int) -> None:
    """Subtract from a counter; a key that reaches 0 takes no memory."""
    left = counter.get(key, 0) - size
    if left:
        counter[key] = left
    else:
        counter.pop(key, None)
