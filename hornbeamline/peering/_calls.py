"""Outstanding calls of this process, matched to their replies."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import msgspec

from hornbeamline.helpers.codec import CodecError, decode
from hornbeamline.peering._frames import CorrelationId, Envelope, Failure
from hornbeamline.peering._metrics import count_dropped
from hornbeamline.peering._registry import kind_of
from hornbeamline.peering.errors import PeerFailedError, PeeringStoppedError


class PendingCall(NamedTuple):
    """A call without a reply so far."""

    peer: str
    reply: asyncio.Future[Envelope]


class Calls:
    """Matches replies to calls by correlation id and peer."""

    def __init__(self, incarnation: int) -> None:
        """Create an empty table; the incarnation is that of this process."""
        self._incarnation = incarnation
        self._last_id = 0
        self._pending_by_id: dict[int, PendingCall] = {}

    def open(self, peer: str) -> tuple[CorrelationId, asyncio.Future[Envelope]]:
        """Register a call; return its id and a future for its reply."""
        self._last_id += 1
        reply: asyncio.Future[Envelope] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_by_id[self._last_id] = PendingCall(peer, reply)
        return CorrelationId(self._last_id, self._incarnation), reply

    def close(self, correlation_id: CorrelationId) -> None:
        """Remove a call that was answered or abandoned."""
        self._pending_by_id.pop(correlation_id.call_id, None)

    def handle_reply(self, sender: str, envelope: Envelope) -> None:
        """Resolve the call of a reply; drop late and mismatched replies."""
        if envelope.incarnation != self._incarnation:
            count_dropped('earlier_incarnation')
            return
        pending = self._pending_by_id.get(envelope.call_id)
        if pending is None or pending.peer != sender or pending.reply.done():
            count_dropped('late_reply')
            return
        pending.reply.set_result(envelope)

    def fail_all(self, reason: str, peer: str | None = None) -> None:
        """Fail the calls to one peer, or to all peers if none is given.

        They end in `PeeringStoppedError`.
        """
        for pending in tuple(self._pending_by_id.values()):
            is_affected = peer is None or pending.peer == peer
            if is_affected and not pending.reply.done():
                pending.reply.set_exception(
                    PeeringStoppedError(f'{pending.peer}: {reason}'),
                )


def check_reply(peer: str, reply: Envelope, kind: str) -> msgspec.Raw:
    """Return the body of a reply.

    Raises `PeerFailedError` if the reply is of another kind.
    """
    if reply.kind == kind:
        return reply.body
    if reply.kind == kind_of(Failure):
        try:
            text = decode(reply.body, Failure).text
        except CodecError as error:
            raise PeerFailedError(f'{peer}: {error}') from error
        raise PeerFailedError(f'{peer}: {text}')
    raise PeerFailedError(f'{peer}: replied {reply.kind} instead of {kind}')
