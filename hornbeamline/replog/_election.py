"""Leader election with pre-vote and check-quorum."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from hornbeamline.exceptions import PeeringError
from hornbeamline.replog._entries import Member
from hornbeamline.replog._leadership import Leadership
from hornbeamline.replog._messages import (
    Accepted,
    PreVote,
    TimeoutNow,
    Vote,
    VoteReply,
)
from hornbeamline.replog._metrics import ELECTIONS_WON
from hornbeamline.replog._node import Node
from hornbeamline.replog.const import MIN_ELECTION_SLEEP_S
from hornbeamline.telemetry import log_event


class Election:
    """Takes part in elections, as a candidate and as a voter."""

    def __init__(self, node: Node) -> None:
        """Initialize for the node and register the message handlers."""
        self._node = node
        node.peering.on(PreVote, self._on_pre_vote)
        node.peering.on(Vote, self._on_vote)
        node.peering.on(TimeoutNow, self._on_timeout_now)

    async def run(self) -> None:
        """Campaign on election timeouts; as leader, check the quorum."""
        node = self._node
        node.start_first_election_timer()
        while node.stop_error is None:
            wait_s = node.election_due_at - node.clock.monotonic()
            if node.leadership is not None:
                await asyncio.sleep(node.settings.storage.heartbeat_interval_s)
                await self._check_quorum()
            elif wait_s > 0:
                await asyncio.sleep(max(wait_s, MIN_ELECTION_SLEEP_S))
            else:
                # The leader was silent for an election timeout. Naming it
                # any longer would hide the lack of a quorum from operators.
                node.leader = None
                node.restart_election_timer()
                await self.campaign()

    async def campaign(self, *, is_transfer: bool = False) -> None:
        """Try to become the leader of the next term.

        A transfer skips the pre-vote, which the voters would refuse while
        they hear from the present leader.
        """
        node = self._node
        if not node.is_voter or node.leadership is not None:
            return
        if not is_transfer and not await self._wins_pre_vote():
            return
        async with node.lock:
            would_disrupt = node.has_live_leader() and not is_transfer
            if would_disrupt or node.leadership is not None:
                return
            if node.stop_error is not None:
                return
            term = node.term + 1
            await node.enter_term(term, node.identity)
            node.restart_election_timer()
        log_event('replog.campaign', term=term, is_transfer=is_transfer)
        journal = node.journal
        votes = [
            Vote(
                term,
                member.identity,
                journal.last_index,
                journal.last_term,
                node.identity,
                is_transfer,
            )
            for member in self._other_voters()
        ]
        if await self._wins(votes):
            await self._become_leader(term)

    async def _become_leader(self, term: int) -> None:
        node = self._node
        async with node.lock:
            if node.term != term or node.stop_error is not None:
                return
            node.leader = node.name
            node.leadership = Leadership(node)
            node.leadership.start()
        ELECTIONS_WON.inc()
        log_event('replog.leader', term=term, last=node.journal.last_index)

    async def _check_quorum(self) -> None:
        node = self._node
        async with node.lock:
            leadership = node.leadership
            if leadership is None or leadership.table.has_quorum_contact():
                return
            node.step_down('no quorum responds')

    async def _wins_pre_vote(self) -> bool:
        node = self._node
        requests = [
            PreVote(
                node.term + 1,
                member.identity,
                node.journal.last_index,
                node.journal.last_term,
            )
            for member in self._other_voters()
        ]
        return await self._wins(requests)

    async def _wins(self, requests: Iterable[PreVote | Vote]) -> bool:
        """Request all votes; return as soon as a quorum has granted them."""
        node = self._node
        needed = node.journal.members.quorum - 1
        if needed <= 0:
            return True
        calls = [
            asyncio.create_task(self._ask(member.name, request))
            for member, request in zip(
                self._other_voters(), requests, strict=True
            )
        ]
        try:
            for reply in asyncio.as_completed(calls):
                needed -= await reply
                if needed <= 0:
                    return True
        finally:
            for call in calls:
                call.cancel()
        return False

    async def _ask(self, name: str, request: PreVote | Vote) -> bool:
        node = self._node
        try:
            reply = await node.peering.call(
                name,
                request,
                VoteReply,
                node.settings.storage.election_timeout_min_s,
            )
        except PeeringError:
            return False
        if reply.term > node.term:
            # A task of its own, as this call may be cancelled during the sync.
            node.tasks.spawn(
                node.observe_term(reply.term),
                'replog higher term',
            )
            return False
        return reply.granted

    def _other_voters(self) -> list[Member]:
        node = self._node
        return [
            member
            for member in node.journal.members.voters
            if member.name != node.name
        ]

    def _is_up_to_date(self, request: PreVote | Vote) -> bool:
        journal = self._node.journal
        own = (journal.last_term, journal.last_index)
        return (request.last_term, request.last_index) >= own

    async def _on_pre_vote(self, sender: str, request: PreVote) -> VoteReply:
        node = self._node
        node.require_running()
        granted = (
            request.to_identity == node.identity
            and request.term > node.term
            and not node.has_live_leader()
            and self._is_up_to_date(request)
        )
        return VoteReply(node.term, granted)

    async def _on_vote(self, sender: str, request: Vote) -> VoteReply:
        node = self._node
        node.require_running()
        async with node.lock:
            node.require_running()
            would_disrupt = node.has_live_leader() and not request.is_transfer
            # A voter that lost its data folder has a new identity. It may
            # already have voted in this term and must not vote twice.
            is_other = request.to_identity != node.identity
            if is_other or would_disrupt or request.term < node.term:
                return VoteReply(node.term, granted=False)
            vote = '' if request.term > node.term else node.vote_state.vote
            granted = vote in {'', request.candidate}
            if granted and self._is_up_to_date(request):
                await node.enter_term(request.term, request.candidate)
                node.restart_election_timer()
                return VoteReply(node.term, granted=True)
            await node.enter_term(request.term, vote)
            return VoteReply(node.term, granted=False)

    async def _on_timeout_now(
        self,
        sender: str,
        request: TimeoutNow,
    ) -> Accepted:
        node = self._node
        node.require_running()
        if request.term == node.term:
            node.tasks.spawn(
                self.campaign(is_transfer=True),
                'replog transfer',
            )
        return Accepted()
