"""First start of a fleet: identities become the first configuration."""

from __future__ import annotations

import asyncio

from hornbeamline.exceptions import PeeringError
from hornbeamline.helpers.codec import encode
from hornbeamline.replog._election import Election
from hornbeamline.replog._entries import Entry, Member, Members
from hornbeamline.replog._messages import Hello, HelloReply
from hornbeamline.replog._node import Node
from hornbeamline.replog.const import (
    BOOTSTRAP_INTERVAL_S,
    ENTRY_MEMBERS,
    HELLO_TIMEOUT_S,
)
from hornbeamline.telemetry import log_event


class Bootstrap:
    """Founds a fleet when all initial voters are present and empty.

    The initial voter with the lowest name asks all others for identity and
    state. Only if every one answers, is empty and knows the same voters,
    it writes the configuration as the first entry. A voter that ever had a
    term, an entry or a snapshot is not empty, so emptied voters cannot
    found a second fleet while one of the others remembers the first.
    """

    def __init__(self, node: Node, election: Election) -> None:
        """Take the node and register the message handler."""
        self._node = node
        self._election = election
        self._names = sorted(node.settings.controls_by_name)
        self._refusal = ''
        node.peering.on(Hello, self._on_hello)

    async def run(self) -> None:
        """Found the fleet, or return when this is not to be done here."""
        node = self._node
        if node.settings.join or self._names[:1] != [node.name]:
            return
        while node.is_empty and node.stopped is None:
            replies = await asyncio.gather(
                *(self._ask(name) for name in self._names[1:]),
            )
            refusal = self._refusal_of(replies)
            if not refusal:
                await self._found(replies)
                return
            if refusal != self._refusal:
                self._refusal = refusal
                log_event('replog.waits_for_first_start', reason=refusal)
            await asyncio.sleep(BOOTSTRAP_INTERVAL_S)

    async def _ask(self, name: str) -> HelloReply | None:
        try:
            return await self._node.peering.call(
                name,
                Hello(self._names),
                HelloReply,
                HELLO_TIMEOUT_S,
            )
        except PeeringError:
            return None

    def _refusal_of(self, replies: list[HelloReply | None]) -> str:
        for name, reply in zip(self._names[1:], replies, strict=True):
            if reply is None:
                return f'{name} does not answer'
            if not reply.is_empty:
                return f'{name} belongs to a fleet or is to join one'
            if reply.names != self._names:
                return f'{name} is set up with the voters {reply.names}'
        return ''

    async def _found(self, replies: list[HelloReply | None]) -> None:
        node = self._node
        identities = [node.identity]
        identities.extend(reply.identity for reply in replies if reply)
        members = Members(
            {
                name: Member(name, identity, is_voter=True)
                for name, identity in zip(self._names, identities, strict=True)
            },
        )
        async with node.lock:
            if not node.is_empty:
                return
            # Term 0 precedes every election.
            node.journal.append([Entry(0, ENTRY_MEMBERS, '', encode(members))])
            await node.journal.durable.wait(1)
        log_event('replog.founded', voters=','.join(self._names))
        await self._election.campaign()

    async def _on_hello(self, sender: str, request: Hello) -> HelloReply:
        node = self._node
        node.require_running()
        is_free = node.is_empty and not node.settings.join
        return HelloReply(node.identity, is_free, self._names)
