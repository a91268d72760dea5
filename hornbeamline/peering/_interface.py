"""Interface of the network between processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias, TypeVar

# A NamedTuple that is registered with `message`.
Message: TypeAlias = tuple[Any, ...]

_MessageT = TypeVar('_MessageT', bound=Message)
_ReplyT = TypeVar('_ReplyT', bound=Message)


class Peering(Protocol):
    """Requests and one-way messages to named processes."""

    @property
    def name(self) -> str:
        """Return the name of this process."""

    def on(
        self,
        message_class: type[_MessageT],
        handler: Callable[[str, _MessageT], Awaitable[Message | None]],
    ) -> None:
        """Register the handler of a message type.

        The handler receives the sender's name and the message. Its result
        is the reply to a call and is ignored for a one-way message.
        Each message is handled in a task of its own; the tasks for the
        messages of one sender start in order.
        """

    async def call(
        self,
        peer: str,
        request: Message,
        reply_type: type[_ReplyT],
        timeout_s: float,
    ) -> _ReplyT:
        """Send a request and return its reply.

        Raises `UnknownPeerError`, `CallTimeoutError` (the peer may have
        handled the request) and `PeerFailedError`.
        """

    def send(self, peer: str, request: Message) -> None:
        """Send a one-way message; it may be lost."""

    def add_peer(self, name: str, address: str) -> None:
        """Open a link to a process, or change its address."""

    def remove_peer(self, name: str) -> None:
        """Close the link to a process."""

    def is_alive(self, peer: str) -> bool:
        """Return whether the peer was heard from within the silence timeout."""
