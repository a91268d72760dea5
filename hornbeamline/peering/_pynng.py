"""Peering over pynng Push/Pull sockets."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final, NamedTuple, TypeVar

from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import Clock, SystemClock
from hornbeamline.helpers.codec import CodecError, decode
from hornbeamline.inventory import PeeringSettings
from hornbeamline.peering._calls import Calls, check_reply
from hornbeamline.peering._frames import (
    ONE_WAY,
    CorrelationId,
    Envelope,
    Failure,
    Frame,
    Heartbeat,
    encode_envelope,
)
from hornbeamline.peering._inbox import Inbox
from hornbeamline.peering._interface import Message
from hornbeamline.peering._link import Identity, Link
from hornbeamline.peering._links import Links, LivenessCallback
from hornbeamline.peering._metrics import (
    FRAMES_RECEIVED,
    MESSAGES_RECEIVED,
    count_dropped,
)
from hornbeamline.peering._registry import kind_of
from hornbeamline.peering.const import MAX_ERROR_CHARS, MAX_HANDLERS
from hornbeamline.peering.errors import (
    CallTimeoutError,
    MessageTooLargeError,
    PeerFailedError,
    PeeringStoppedError,
    UnknownPeerError,
)
from hornbeamline.telemetry import log_event

_INCARNATION_BITS: Final = 63
_HEARTBEAT_KIND: Final = kind_of(Heartbeat)

_MessageT = TypeVar('_MessageT', bound=Message)
_ReplyT = TypeVar('_ReplyT', bound=Message)


class _Handler(NamedTuple):
    message_class: type[Any]
    handle: Callable[[str, Any], Awaitable[Message | None]]


class PynngPeering:
    """Peering service with one inbox and one outgoing socket per peer.

    Messages are delivered at most once. Calls that are in progress when
    the service stops end in `PeeringStoppedError`.
    """

    def __init__(
        self,
        name: str,
        fleet: str,
        settings: PeeringSettings,
        clock: Clock | None = None,
    ) -> None:
        """Initialize with name and fleet of this process and its settings."""
        # Replies to calls of an earlier process of the same name carry the
        # incarnation of that process and are dropped.
        incarnation = secrets.randbits(_INCARNATION_BITS)
        self._identity = Identity(
            fleet,
            name,
            settings.advertised_address or settings.address,
            incarnation,
        )
        self._inbox = Inbox(settings.address, self._handle_frame)
        self._links = Links(settings, self._identity, clock or SystemClock())
        self._calls = Calls(incarnation)
        self._handlers_by_kind: dict[str, _Handler] = {}
        self._tasks = TaskSet()
        self._handlers_in_progress = 0
        self._stopped = False

    @property
    def name(self) -> str:
        """Return the name of this process."""
        return self._identity.name

    async def start(self) -> None:
        """Bind the inbox and dial the peers; raises `ListenError`."""
        self._inbox.start()
        self._links.start()

    async def stop(self) -> None:
        """Fail pending calls, cancel handlers and close all sockets."""
        self._stopped = True
        self._calls.fail_all('peering is stopping')
        await self._tasks.cancel_all()
        await self._links.stop()
        await self._inbox.stop()

    def on(
        self,
        message_class: type[_MessageT],
        handler: Callable[[str, _MessageT], Awaitable[Message | None]],
    ) -> None:
        """Register the handler of a message type, in place of any earlier."""
        self._handlers_by_kind[kind_of(message_class)] = _Handler(
            message_class, handler
        )

    def on_liveness(self, callback: LivenessCallback) -> None:
        """Call back with the name of a peer and whether it is alive.

        The callback runs when a peer goes silent or is heard from again. A
        peer that was never heard from is not reported as silent.
        """
        self._links.on_liveness(callback)

    async def call(
        self,
        peer: str,
        request: Message,
        reply_type: type[_ReplyT],
        timeout_s: float,
    ) -> _ReplyT:
        """Send a request and return its reply.

        Raises `UnknownPeerError`, `MessageTooLargeError` (nothing was
        sent), `CallTimeoutError` (the peer may have handled the request)
        and `PeerFailedError`.
        """
        link = self._link(peer)
        correlation_id, reply_future = self._calls.open(peer)
        try:
            link.enqueue(encode_envelope(request, correlation_id))
            async with asyncio.timeout(timeout_s):
                reply = await reply_future
        except TimeoutError as error:
            raise CallTimeoutError(
                f'{peer}: no reply within {timeout_s} s',
            ) from error
        finally:
            self._calls.close(correlation_id)
        body = check_reply(peer, reply, kind_of(reply_type))
        try:
            return decode(body, reply_type)
        except CodecError as error:
            raise PeerFailedError(f'{peer}: {error}') from error

    def send(self, peer: str, request: Message) -> None:
        """Send a one-way message; it may be lost.

        A message that is too large or to an unknown peer is dropped and
        counted.
        """
        self._post(peer, request, ONE_WAY, is_reply=False)

    def add_peer(self, name: str, address: str) -> None:
        """Open a link to a process, or change its address."""
        self._links.add(name, address, learned=False)

    def remove_peer(self, name: str) -> None:
        """Close the link to a process and fail the calls to it.

        If the process still sends heartbeats, its address is learned again
        from them.
        """
        self._links.remove(name)
        self._calls.fail_all('peer removed', name)

    def is_alive(self, peer: str) -> bool:
        """Return whether the peer was heard from within the silence timeout."""
        return self._links.is_alive(peer)

    def _link(self, peer: str) -> Link:
        if self._stopped:
            raise PeeringStoppedError(f'{peer}: peering has stopped')
        link = self._links.by_peer.get(peer)
        if link is None:
            raise UnknownPeerError(f'no address is known for {peer}')
        return link

    def _post(
        self,
        peer: str,
        body: Message,
        correlation_id: CorrelationId,
        *,
        is_reply: bool,
    ) -> None:
        try:
            self._link(peer).enqueue(
                encode_envelope(body, correlation_id, is_reply=is_reply),
            )
        except (UnknownPeerError, PeeringStoppedError):
            count_dropped('no_link')
        except MessageTooLargeError as error:
            count_dropped('oversize')
            log_event('peering.oversize', peer=peer, error=str(error))
            if is_reply:
                self._post(
                    peer, Failure(str(error)), correlation_id, is_reply=True
                )

    def _handle_frame(self, data: bytes) -> Iterator[bool]:
        if self._stopped:
            return
        try:
            frame = decode(data, Frame)
        except CodecError:
            count_dropped('undecodable')
            return
        if frame.fleet != self._identity.fleet:
            count_dropped('other_fleet')
            return
        FRAMES_RECEIVED.inc()
        MESSAGES_RECEIVED.inc(len(frame.envelopes))
        self._links.record_heard(frame.sender)
        for envelope in frame.envelopes:
            self._handle_envelope(frame.sender, envelope)
            yield True

    def _handle_envelope(self, sender: str, envelope: Envelope) -> None:
        if envelope.is_reply:
            self._calls.handle_reply(sender, envelope)
            return
        handler = self._handlers_by_kind.get(envelope.kind)
        if handler is None and envelope.kind != _HEARTBEAT_KIND:
            count_dropped('unknown_kind')
            return
        try:
            body = decode(
                envelope.body,
                Heartbeat if handler is None else handler.message_class,
            )
        except CodecError:
            count_dropped('undecodable')
            return
        if handler is None:
            self._links.handle_heartbeat(sender, body)
            return
        if self._handlers_in_progress >= MAX_HANDLERS:
            count_dropped('overload')
            return
        self._handlers_in_progress += 1
        correlation_id = CorrelationId(envelope.call_id, envelope.incarnation)
        task = self._tasks.spawn(
            self._run_handler(sender, handler, body, correlation_id),
            envelope.kind,
        )
        task.add_done_callback(self._on_handled)

    def _on_handled(self, _task: asyncio.Task[None]) -> None:
        self._handlers_in_progress -= 1

    async def _run_handler(
        self,
        sender: str,
        handler: _Handler,
        body: Any,
        correlation_id: CorrelationId,
    ) -> None:
        try:
            reply = await handler.handle(sender, body)
        except Exception as error:
            log_event(
                'peering.handler_failed',
                kind=kind_of(handler.message_class),
                peer=sender,
                error=repr(error),
            )
            reply = Failure(repr(error)[:MAX_ERROR_CHARS])
        if correlation_id == ONE_WAY:
            return
        answer = Failure('handler gave no reply') if reply is None else reply
        self._post(sender, answer, correlation_id, is_reply=True)
