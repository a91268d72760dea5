"""Bootstrap of a new fleet: write the first configuration."""

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
    """Bootstraps a fleet once all initial voters are reachable and empty.

    The initial voter whose name sorts first asks all others for their
    identity and state. It writes the configuration as the first entry only
    if each of them responds, is empty and is configured with the same
    voters. A voter that has ever had a term, an entry or a snapshot is not
    empty, so voters that lost their data folders cannot bootstrap a second
    fleet while another voter still has the state of the first.
    """

    def __init__(self, node: Node, election: Election) -> None:
        """Initialize for the node and register the message handler."""
        self._node = node
        self._election = election
        self._names = sorted(node.settings.controls_by_name)
        self._last_reason = ''
        node.peering.on(Hello, self._on_hello)

    async def run(self) -> None:
        """Bootstrap the fleet if this node is responsible for it."""
        node = self._node
        if node.settings.join or self._names[:1] != [node.name]:
            return
        while node.is_empty and node.stop_error is None:
            replies = await asyncio.gather(
                *(self._ask(name) for name in self._names[1:]),
            )
            blocking_reason = self._blocking_reason(replies)
            if not blocking_reason:
                await self._write_first_configuration(replies)
                return
            if blocking_reason != self._last_reason:
                self._last_reason = blocking_reason
                log_event(
                    'replog.waits_for_first_start', reason=blocking_reason
                )
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

    def _blocking_reason(self, replies: list[HelloReply | None]) -> str:
        for name, reply in zip(self._names[1:], replies, strict=True):
            if reply is None:
                return f'{name} does not respond'
            if not reply.is_empty:
                return f'{name} is in a fleet or configured to join one'
            if reply.names != self._names:
                return f'{name} is configured with the voters {reply.names}'
        return ''

    async def _write_first_configuration(
        self, replies: list[HelloReply | None]
    ) -> None:
        node = self._node
        identities = [node.identity]
        identities.extend(reply.identity for reply in replies if reply)
        addresses_by_name = node.settings.controls_by_name
        members = Members(
            {
                name: Member(
                    name,
                    identity,
                    is_voter=True,
                    address=addresses_by_name[name],
                )
                for name, identity in zip(self._names, identities, strict=True)
            },
        )
        async with node.lock:
            if not node.is_empty:
                return
            # Term 0 is lower than the term of any election.
            node.journal.append([Entry(0, ENTRY_MEMBERS, '', encode(members))])
            await node.journal.durable.wait(1)
        log_event('replog.founded', voters=','.join(self._names))
        await self._election.campaign()

    async def _on_hello(self, sender: str, request: Hello) -> HelloReply:
        node = self._node
        node.require_running()
        may_bootstrap = node.is_empty and not node.settings.join
        return HelloReply(node.identity, may_bootstrap, self._names)
