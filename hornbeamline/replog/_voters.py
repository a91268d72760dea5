"""Membership changes of voters and learners, one at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

from hornbeamline.exceptions import PeeringError
from hornbeamline.helpers.codec import encode
from hornbeamline.replog._entries import Entry, Member, Members
from hornbeamline.replog._leadership import Leadership
from hornbeamline.replog._messages import Hello, HelloReply
from hornbeamline.replog._node import Node
from hornbeamline.replog.const import (
    CHANGE_ADD_LEARNER,
    CHANGE_PROMOTE,
    CHANGE_REMOVE,
    CHANGE_REPLACE,
    ENTRY_MEMBERS,
    HELLO_TIMEOUT_S,
)
from hornbeamline.replog.errors import VoterChangeRefusedError
from hornbeamline.telemetry import log_event


class VoterChange(NamedTuple):
    """A requested change of one member.

    `action` is `add_learner`, `promote`, `remove` or `replace`. If
    `identity` is empty, the one that the member reports is used. `address`
    is the peering address of a member that is not in the settings.
    """

    action: str
    name: str
    identity: str = ''
    address: str = ''


_Planner: TypeAlias = Callable[
    ['VoterChanges', Leadership, VoterChange, str],
    list[Members],
]
_planners_by_action: Final[dict[str, _Planner]] = {}


def _planner_for(action: str) -> Callable[[_Planner], _Planner]:
    def register(planner: _Planner) -> _Planner:
        _planners_by_action[action] = planner
        return planner

    return register


class VoterChanges:
    """Executes membership changes on the leader.

    Each step adds or removes at most one voter, so that any quorum before
    it and any quorum after it have a voter in common.
    """

    def __init__(self, node: Node) -> None:
        """Initialize for the node."""
        self._node = node
        self._is_changing = False

    async def change(
        self,
        leadership: Leadership,
        change: VoterChange,
    ) -> Members:
        """Make a change and return the committed configuration.

        Raises `VoterChangeRefusedError` if nothing was changed, and
        `ProposalUnknownError` if a step may still be committed.
        """
        planner = _planners_by_action.get(change.action)
        if planner is None:
            raise VoterChangeRefusedError(f'unknown action {change.action}')
        if self._is_changing:
            raise VoterChangeRefusedError('another change is in progress')
        self._is_changing = True
        try:
            identity = await self._identity_of(change)
            self._check_previous_change(leadership, change)
            for members in planner(self, leadership, change, identity):
                await self._commit(leadership, members)
        finally:
            self._is_changing = False
        return leadership.members

    async def _commit(self, leadership: Leadership, members: Members) -> None:
        log_event(
            'replog.members',
            changed=members.changed,
            voters=','.join(member.name for member in members.voters),
        )
        await leadership.propose(
            Entry(leadership.term, ENTRY_MEMBERS, '', encode(members)),
        )

    async def _identity_of(self, change: VoterChange) -> str:
        node = self._node
        if change.action == CHANGE_REMOVE:
            return change.identity
        if change.name == node.name:
            return node.identity
        if change.address:
            node.peering.add_peer(change.name, change.address)
        try:
            reply = await node.peering.call(
                change.name,
                Hello(sorted(node.settings.controls_by_name)),
                HelloReply,
                HELLO_TIMEOUT_S,
            )
        except PeeringError as error:
            raise VoterChangeRefusedError(
                f'{change.name} does not answer: {error}',
            ) from error
        if change.identity not in {'', reply.identity}:
            raise VoterChangeRefusedError(
                f'{change.name} has the identity {reply.identity}',
            )
        return reply.identity

    def _check_previous_change(
        self,
        leadership: Leadership,
        change: VoterChange,
    ) -> None:
        node = self._node
        if leadership.is_closed:
            raise VoterChangeRefusedError('leadership was lost')
        # A configuration of an earlier term is known to be committed only
        # after a commit in the term of this leadership.
        min_commit_index = max(
            leadership.noop_index, node.journal.configurations.latest_index
        )
        if node.commit.position < min_commit_index:
            raise VoterChangeRefusedError('the last change is not committed')
        last = leadership.members.members_by_name.get(
            leadership.members.changed,
        )
        if last is None or change.name == last.name:
            return
        if last.is_voter and not leadership.table.is_caught_up(last):
            self._check_takes_no_live_vote(leadership, change, last)

    def _check_takes_no_live_vote(
        self,
        leadership: Leadership,
        change: VoterChange,
        last: Member,
    ) -> None:
        """Refuse to take a vote from a voter that is up to date.

        All other changes are repairs. They must not wait for `last`, which
        may be lost for good.
        """
        member = leadership.members.members_by_name.get(change.name)
        if member is None or not member.is_voter:
            return
        if leadership.table.is_caught_up(member):
            raise VoterChangeRefusedError(f'{last.name} has not caught up')

    @_planner_for(CHANGE_ADD_LEARNER)
    def _plan_add(
        self,
        leadership: Leadership,
        change: VoterChange,
        identity: str,
    ) -> list[Members]:
        if change.name in leadership.members.members_by_name:
            raise VoterChangeRefusedError(f'{change.name} is already a member')
        learner = Member(
            change.name,
            identity,
            is_voter=False,
            address=change.address,
        )
        return [_with_member(leadership.members, learner)]

    @_planner_for(CHANGE_PROMOTE)
    def _plan_promote(
        self,
        leadership: Leadership,
        change: VoterChange,
        identity: str,
    ) -> list[Members]:
        learner = _member(leadership, change.name)
        if learner.is_voter:
            raise VoterChangeRefusedError(f'{change.name} is already a voter')
        return [self._promoted(leadership, leadership.members, learner)]

    @_planner_for(CHANGE_REMOVE)
    def _plan_remove(
        self,
        leadership: Leadership,
        change: VoterChange,
        identity: str,
    ) -> list[Members]:
        member = _member(leadership, change.name)
        if change.name == self._node.name:
            raise VoterChangeRefusedError(
                f'{change.name} is the leader: stop it first',
            )
        if identity not in {'', member.identity}:
            raise VoterChangeRefusedError(
                f'{change.name} is a member as {member.identity}',
            )
        remaining = _without_member(leadership.members, change.name)
        self._check_quorum(leadership, remaining)
        return [remaining]

    @_planner_for(CHANGE_REPLACE)
    def _plan_replace(
        self,
        leadership: Leadership,
        change: VoterChange,
        identity: str,
    ) -> list[Members]:
        old = _member(leadership, change.name)
        learner = old._replace(identity=identity, is_voter=False)
        if old.identity == identity:
            if old.is_voter:
                raise VoterChangeRefusedError(
                    f'{change.name} still has its identity',
                )
            # An earlier replacement was interrupted after its first step.
            return [self._promoted(leadership, leadership.members, learner)]
        # The vote must not move from the old to the new identity in one step:
        # a quorum with the old and one with the new need not overlap.
        demoted = _with_member(leadership.members, learner)
        self._check_quorum(leadership, demoted)
        return [demoted, self._promoted(leadership, demoted, learner)]

    def _promoted(
        self,
        leadership: Leadership,
        members: Members,
        learner: Member,
    ) -> Members:
        if not leadership.table.is_caught_up(learner):
            raise VoterChangeRefusedError(f'{learner.name} has not caught up')
        return _with_member(members, learner._replace(is_voter=True))

    def _check_quorum(self, leadership: Leadership, members: Members) -> None:
        caught_up = sum(
            leadership.table.is_caught_up(member) for member in members.voters
        )
        if not members.voters or caught_up < members.quorum:
            raise VoterChangeRefusedError(
                'the remaining voters would not have a quorum',
            )


def _member(leadership: Leadership, name: str) -> Member:
    member = leadership.members.members_by_name.get(name)
    if member is None:
        raise VoterChangeRefusedError(f'{name} is not a member')
    return member


def _with_member(members: Members, member: Member) -> Members:
    return Members(
        {**members.members_by_name, member.name: member},
        changed=member.name,
    )


def _without_member(members: Members, name: str) -> Members:
    remaining = dict(members.members_by_name)
    remaining.pop(name)
    return Members(remaining, changed=name)
