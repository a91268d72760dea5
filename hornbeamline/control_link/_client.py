"""Caller's side: finds the leader and retries failed calls."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

from hornbeamline.control_link._messages import ControlReply
from hornbeamline.control_link.const import (
    ATTEMPT_TIMEOUT_S,
    ROUND_RETRY_DELAY_S,
    STATUS_OK,
)
from hornbeamline.control_link.errors import LeaderUnavailableError
from hornbeamline.exceptions import PeeringError
from hornbeamline.helpers.codec import CodecError, decode
from hornbeamline.peering import Peering

_ReplyT = TypeVar('_ReplyT')


class LeaderClient:
    """Calls the leader, directly or through a follower that forwards."""

    def __init__(
        self,
        peering: Peering,
        control_hosts: Iterable[str] | Callable[[], Sequence[str]],
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
    ) -> None:
        """Use `peering` to reach the control hosts with the given names.

        A function is asked for the names before each attempt; it may return
        none for a time. An attempt without an answer ends after
        `attempt_timeout_s` seconds.
        """
        self._peering = peering
        self._attempt_timeout_s = attempt_timeout_s
        if callable(control_hosts):
            self._control_hosts = control_hosts
        else:
            names = tuple(control_hosts)
            self._control_hosts = functools.partial(tuple, names)
        self._preferred = ''

    async def call(
        self,
        request: tuple[Any, ...],
        reply_type: type[_ReplyT],
        timeout_s: float,
    ) -> _ReplyT:
        """Return the leader's reply to an idempotent request.

        A refused or lost attempt is retried at once with another control
        host, with a short delay after each round of the hosts. Raises
        `LeaderUnavailableError` after `timeout_s` seconds or if the reply
        cannot be decoded; the request may have been executed in both cases.
        """
        try:
            async with asyncio.timeout(timeout_s):
                body = await self._call_until_answered(request)
        except TimeoutError as error:
            self._fail_over_from(self._preferred)
            raise LeaderUnavailableError(
                f'no leader answered within {timeout_s:.3g} s',
            ) from error
        try:
            return decode(body, reply_type)
        except CodecError as error:
            raise LeaderUnavailableError(
                f'the reply of the leader cannot be decoded: {error}',
            ) from error

    async def _call_until_answered(self, request: tuple[Any, ...]) -> bytes:
        failures = 0
        while True:
            reply = await self._attempt(request)
            if reply is not None:
                return reply.body
            failures += 1
            if failures % max(len(self._control_hosts()), 1) == 0:
                await asyncio.sleep(ROUND_RETRY_DELAY_S)

    async def _attempt(self, request: tuple[Any, ...]) -> ControlReply | None:
        peer = self._current_peer()
        if peer is None:
            return None
        try:
            reply = await self._peering.call(
                peer,
                request,
                ControlReply,
                self._attempt_timeout_s,
            )
        except PeeringError:
            self._fail_over_from(peer)
            return None
        self._update_preferred(peer, reply)
        return reply if reply.status == STATUS_OK else None

    def _current_peer(self) -> str | None:
        names = self._control_hosts()
        if self._preferred not in names:
            self._preferred = names[0] if names else ''
        return self._preferred or None

    def _update_preferred(self, peer: str, reply: ControlReply) -> None:
        names_other_host = (
            reply.leader in self._control_hosts() and reply.leader != peer
        )
        if names_other_host and self._peering.is_alive(reply.leader):
            self._preferred = reply.leader
        elif reply.status != STATUS_OK:
            self._fail_over_from(peer)

    def _fail_over_from(self, peer: str) -> None:
        names = list(self._control_hosts())
        start = names.index(peer) + 1 if peer in names else 0
        order = names[start:] + names[:start]
        alive = [name for name in order if self._peering.is_alive(name)]
        others = [name for name in alive if name != peer] or order
        self._preferred = others[0] if others else ''
