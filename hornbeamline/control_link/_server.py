"""Control host's side: executes calls as leader, forwards as follower."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar

from hornbeamline.control_link._messages import ControlReply
from hornbeamline.control_link.const import (
    FORWARD_TIMEOUT_S,
    STATUS_NOT_LEADER,
    STATUS_OK,
    STATUS_UNKNOWN,
)
from hornbeamline.exceptions import (
    NotLeaderError,
    PeeringError,
    ReplicatedLogError,
)
from hornbeamline.helpers.codec import encode
from hornbeamline.peering import Peering

if TYPE_CHECKING:
    # Entry processes import this module, but do not run the log.
    from hornbeamline.replog import ReplicatedLog

_RequestT = TypeVar('_RequestT', bound=tuple[Any, ...])
_Handler: TypeAlias = Callable[[Any], Awaitable[tuple[Any, ...]]]


class LeaderServer:
    """Dispatches requests to the components of the leader.

    A request type is a `NamedTuple` with a field `forwarded: bool`. A
    follower forwards a request once, so that a caller that cannot reach
    the leader itself is still served.
    """

    def __init__(self, peering: Peering, log: ReplicatedLog) -> None:
        """Serve requests from `peering`; `log` tells who is the leader."""
        self._peering = peering
        self._log = log
        self._handlers_by_type: dict[type[Any], _Handler] = {}

    async def submit(self, request: tuple[Any, ...]) -> ControlReply:
        """Execute a request of this process, forwarded if not the leader."""
        if self._log.is_leader:
            handler = self._handlers_by_type[type(request)]
            return await self._handle(request, handler)
        return await self._forward(request)

    def register_handler(
        self,
        request_type: type[_RequestT],
        handler: Callable[[_RequestT], Awaitable[tuple[Any, ...]]],
    ) -> None:
        """Register the handler of a request type.

        The handler runs on the leader only and returns the reply. Errors of
        the replicated log that it raises become a status for the caller.
        """

        async def on_request(_sender: str, request: _RequestT) -> ControlReply:
            if self._log.is_leader:
                return await self._handle(request, handler)
            return await self._forward(request)

        self._handlers_by_type[request_type] = handler
        self._peering.on(request_type, on_request)

    async def _handle(
        self,
        request: _RequestT,
        handler: Callable[[_RequestT], Awaitable[tuple[Any, ...]]],
    ) -> ControlReply:
        try:
            reply = await handler(request)
        except NotLeaderError as error:
            return ControlReply(STATUS_NOT_LEADER, error.leader or '', b'')
        except ReplicatedLogError:
            return ControlReply(STATUS_UNKNOWN, self._log.leader or '', b'')
        return ControlReply(STATUS_OK, self._peering.name, encode(reply))

    async def _forward(self, request: Any) -> ControlReply:
        leader = self._log.leader
        if leader is None or leader == self._peering.name or request.forwarded:
            return ControlReply(STATUS_NOT_LEADER, leader or '', b'')
        try:
            return await self._peering.call(
                leader,
                request._replace(forwarded=True),
                ControlReply,
                FORWARD_TIMEOUT_S,
            )
        except PeeringError:
            return ControlReply(STATUS_UNKNOWN, '', b'')
