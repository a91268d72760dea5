"""In-process network with loss, delay and partitions, for tests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from hornbeamline.helpers.codec import decode, encode
from hornbeamline.peering import (
    CallTimeoutError,
    Message,
    PeerFailedError,
    UnknownPeerError,
    kind_of,
)

Handler = Callable[[str, Any], Awaitable[Message | None]]


class LocalNetwork:
    """Connect the endpoints of one event loop."""

    def __init__(self, rng: random.Random, delay_s: float = 0.001) -> None:
        """Initialize with the random source for losses and one-way delay."""
        self.rng = rng
        self.delay_s = delay_s
        self.loss = 0.0
        # Whether an endpoint needs the address of a peer to send to it. It
        # then knows those that were added, and those that have sent to it.
        self.needs_addresses = False
        self.cuts: set[tuple[str, str]] = set()
        self.endpoints_by_name: dict[str, LocalPeering] = {}

    def endpoint(self, name: str) -> LocalPeering:
        """Return a new endpoint; it replaces an earlier one of that name."""
        endpoint = LocalPeering(name, self)
        self.endpoints_by_name[name] = endpoint
        return endpoint

    def cut(self, left: str, right: str) -> None:
        """Drop all messages between two endpoints, in both directions."""
        self.cuts |= {(left, right), (right, left)}

    def isolate(self, name: str) -> None:
        """Cut an endpoint off from all others."""
        for other in self.endpoints_by_name:
            if other != name:
                self.cut(name, other)

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def passes(self, sender: str, receiver: str) -> bool:
        """Return at random whether a message is delivered now."""
        if (sender, receiver) in self.cuts:
            return False
        return self.rng.random() >= self.loss


class LocalPeering:
    """Endpoint with the interface of `hornbeamline.peering.Peering`."""

    def __init__(self, name: str, network: LocalNetwork) -> None:
        """Initialize with the endpoint's name and network."""
        self.name = name
        self._network = network
        self._handlers: dict[str, tuple[type[Any], Handler]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._known: set[str] = set()
        self.closed = False

    def on(self, message_class: type[Any], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[kind_of(message_class)] = (message_class, handler)

    async def call(
        self,
        peer: str,
        request: Message,
        reply_type: type[Any],
        timeout_s: float,
    ) -> Any:
        """Send a request and return its reply."""
        receiver = self._network.endpoints_by_name.get(peer)
        is_known = not self._network.needs_addresses or peer in self._known
        if receiver is None or not is_known:
            raise UnknownPeerError(peer)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._deliver(peer, request)
                is_dead = receiver.closed or self.closed
                if is_dead or not self._network.passes(peer, self.name):
                    await asyncio.Event().wait()
                await asyncio.sleep(self._network.delay_s)
        except TimeoutError as error:
            raise CallTimeoutError(peer) from error
        return decode(encode(reply), reply_type)

    def send(self, peer: str, request: Message) -> None:
        """Send a message without a reply."""
        task = asyncio.create_task(
            self._deliver_ignoring_failure(peer, request)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_peer(self, name: str, address: str) -> None:
        """Record that the address of an endpoint is known."""
        self._known.add(name)

    def remove_peer(self, name: str) -> None:
        """Forget the address of an endpoint."""
        self._known.discard(name)

    def is_alive(self, peer: str) -> bool:
        """Return whether the peer is running and reachable."""
        endpoint = self._network.endpoints_by_name.get(peer)
        is_running = endpoint is not None and not endpoint.closed
        return is_running and (peer, self.name) not in self._network.cuts

    def close(self) -> None:
        """Stop sending and receiving, as a killed process does."""
        self.closed = True

    async def _deliver(self, peer: str, request: Message) -> Message | None:
        await asyncio.sleep(self._network.delay_s)
        network = self._network
        receiver = network.endpoints_by_name.get(peer)
        if network.needs_addresses and peer not in self._known:
            receiver = None
        lost = receiver is None or receiver.closed or self.closed
        if lost or not self._network.passes(self.name, peer):
            await asyncio.Event().wait()
        receiver._known.add(self.name)
        kind, handler = receiver._handlers[kind_of(type(request))]
        copy = decode(encode(request), kind)
        # The handler goes on when the caller's timeout expires.
        work = asyncio.ensure_future(handler(self.name, copy))
        receiver._tasks.add(work)
        work.add_done_callback(receiver._tasks.discard)
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            raise PeerFailedError(repr(error)) from error

    async def _deliver_ignoring_failure(
        self, peer: str, request: Message
    ) -> None:
        try:
            async with asyncio.timeout(5):
                await self._deliver(peer, request)
        except (TimeoutError, PeerFailedError):
            return
