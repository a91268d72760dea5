"""Caller's side: finds the leader and repeats lost calls."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any, TypeVar

from hornbeamline.control_link._messages import ControlReply
from hornbeamline.control_link.const import (
    ATTEMPT_TIMEOUT_S,
    ROUND_PAUSE_S,
    STATUS_OK,
)
from hornbeamline.control_link.errors import LeaderUnavailableError
from hornbeamline.exceptions import PeeringError
from hornbeamline.helpers.codec import CodecError, decode
from hornbeamline.peering import Peering

_ReplyT = TypeVar('_ReplyT')


class LeaderClient:
    """Calls the leader through whichever control host answers."""

    def __init__(self, peering: Peering, controls: Iterable[str]) -> None:
        """Take the network and the names of the control hosts."""
        self._peering = peering
        self._controls = list(controls)
        self._preferred = self._controls[0]

    async def call(
        self,
        request: tuple[Any, ...],
        reply_kind: type[_ReplyT],
        timeout_s: float,
    ) -> _ReplyT:
        """Return the leader's reply to a request that is safe to repeat.

        A refused or lost attempt is repeated with another control host at
        once. Raises `LeaderUnavailableError` after `timeout_s` seconds;
        the request may have been executed then.
        """
        try:
            async with asyncio.timeout(timeout_s):
                body = await self._call_until_answered(request)
        except TimeoutError as error:
            raise LeaderUnavailableError(
                f'no leader answered within {timeout_s:.3g} s',
            ) from error
        try:
            return decode(body, reply_kind)
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
            if failures % len(self._controls) == 0:
                await asyncio.sleep(ROUND_PAUSE_S)

    async def _attempt(self, request: tuple[Any, ...]) -> ControlReply | None:
        peer = self._preferred
        try:
            reply = await self._peering.call(
                peer,
                request,
                ControlReply,
                ATTEMPT_TIMEOUT_S,
            )
        except PeeringError:
            self._prefer_other_than(peer)
            return None
        self._note_leader(peer, reply)
        return reply if reply.status == STATUS_OK else None

    def _note_leader(self, peer: str, reply: ControlReply) -> None:
        known = reply.leader in self._controls and reply.leader != peer
        if known and self._peering.is_alive(reply.leader):
            self._preferred = reply.leader
        elif reply.status != STATUS_OK:
            self._prefer_other_than(peer)

    def _prefer_other_than(self, peer: str) -> None:
        start = self._controls.index(peer) + 1
        order = self._controls[start:] + self._controls[:start]
        alive = [name for name in order if self._peering.is_alive(name)]
        others = [name for name in alive if name != peer] or order
        self._preferred = others[0]
