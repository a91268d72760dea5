"""Rules of the algorithm that random schedules rarely exercise."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hornbeamline.replog import ProposalUnknownError, VoterChange
from hornbeamline.replog._leadership import Leadership
from hornbeamline.replog._messages import Vote, VoteReply
from hornbeamline.replog._progress import Progress
from tests.replog.group import MACHINE, eventually, outcome_of

pytestmark = pytest.mark.looptime(noop_cycles=0)


async def test_votes_are_given_once_and_to_a_full_log(new_group) -> None:
    """Guards against two leaders in a term and a leader without commits."""
    group = await new_group(3)
    await group.propose(b'a')
    await group.settle()
    leader = await group.leader()
    voter = next(other for other in group.running if other is not leader)
    probe = group.network.endpoint('probe')
    journal = voter.log._node.journal

    async def ask(**changes: Any) -> bool:
        request = Vote(
            term=9,
            to_identity=voter.log.identity,
            last_index=journal.last_index,
            last_term=journal.last_term,
            candidate='first',
            is_transfer=False,
        )
        reply = await probe.call(
            voter.name,
            request._replace(**changes),
            VoteReply,
            1,
        )
        return reply.granted

    # While a leader is active, a candidate gets no vote and the term stays.
    term = voter.log.term
    assert not await ask()
    assert voter.log.term == term
    group.network.isolate(voter.name)
    group.network.cuts -= {('probe', voter.name), (voter.name, 'probe')}
    await asyncio.sleep(2)
    assert not await ask(to_identity='of a lost data folder')
    assert not await ask(last_index=journal.last_index - 1)
    assert not await ask(last_term=journal.last_term - 1, last_index=99)
    assert await ask()
    assert await ask()
    assert not await ask(candidate='second')
    assert not await ask(term=8, candidate='second')
    await voter.crash()
    await voter.start()
    journal = voter.log._node.journal
    assert not await ask(candidate='second')
    assert await ask()


@pytest.mark.parametrize('hangs', ['leader', 'follower'])
async def test_voters_count_only_after_their_sync(new_group, hangs) -> None:
    """Guards against a commit that is stored on one disk only."""
    group = await new_group(3)
    leader = await group.leader()
    follower, absent = (v for v in group.running if v is not leader)
    await absent.crash()

    async def hang(*arguments: Any) -> None:
        await asyncio.Event().wait()

    slow = leader if hangs == 'leader' else follower
    slow.log._node.journal._run_blocking = hang
    proposal = asyncio.create_task(leader.log.propose(MACHINE, b'a'))
    await asyncio.sleep(1)
    assert not proposal.done()
    await leader.crash()
    assert isinstance(await outcome_of(proposal), ProposalUnknownError)


async def test_entries_of_older_terms_are_not_counted(
    new_group,
    monkeypatch,
) -> None:
    """Guards against a commit that a later leader may still replace."""
    monkeypatch.setattr('hornbeamline.replog._journal.MAX_BATCH_ENTRIES', 1)
    committed: list[tuple[int | None, int]] = []
    advance_commit = Leadership.advance_commit

    def watched(leadership: Leadership) -> None:
        node = leadership._node
        before = node.commit.position
        advance_commit(leadership)
        if node.commit.position > before:
            term = node.journal.term_at(node.commit.position)
            committed.append((term, leadership.term))

    monkeypatch.setattr(Leadership, 'advance_commit', watched)
    group = await new_group(3)
    await group.propose(b'a')
    leader = await group.leader()
    for voter in group.running:
        if voter is not leader:
            await voter.crash()
    old = [leader.log.propose(MACHINE, b'%d' % number) for number in range(5)]
    await asyncio.gather(*old, return_exceptions=True)
    await leader.crash()
    # Only the old leader can win, as it has the longest log.
    other = next(v for v in group.voters.values() if v is not leader)
    await leader.start()
    await other.start()
    assert await group.leader() is leader
    assert len(leader.machine.commands) == 6
    assert len(committed) >= 3
    assert all(entry == own for entry, own in committed)


async def test_reads_need_a_message_sent_after_the_call(new_group) -> None:
    """Guards against confirming a read by a message sent before it."""
    group = await new_group(3)
    leader = await group.leader()
    answered: list[float] = []
    call = leader.log._node.peering.call
    loop = asyncio.get_running_loop()

    async def slow(peer, request, reply_type, timeout_s):
        sent_at = loop.time()
        reply = await call(peer, request, reply_type, timeout_s)
        await asyncio.sleep(0.05)
        answered.append(sent_at)
        return reply

    leader.log._node.peering.call = slow
    for _ in range(20):
        proposal = asyncio.create_task(leader.log.propose(MACHINE, b'a'))
        await asyncio.sleep(0.02)
        # A message that was sent before the call is in flight now.
        begin = loop.time()
        answered.clear()
        await leader.log.read_barrier()
        assert max(answered) >= begin
        await proposal


async def test_new_leader_reads_only_after_its_own_entry(new_group) -> None:
    """Guards against reads that miss commits of the previous leader."""
    group = await new_group(3)
    await group.propose(b'a')
    old = await group.leader()
    await old.crash()
    others = list(group.running)
    await eventually(lambda: any(voter.log.is_leader for voter in others))
    new = next(voter for voter in others if voter.log.is_leader)
    await new.log.read_barrier()
    assert [command for _, command in new.machine.commands] == [b'a']
    assert new.log.applied_index >= new.log._node.leadership.noop_index


async def test_voters_change_by_one_identity_at_a_time(new_group) -> None:
    """Guards against old and new quorums without a common voter."""
    group = await new_group(3)
    await group.propose(b'a')
    leader = await group.leader()
    lost = next(voter for voter in group.running if voter is not leader)
    await lost.empty()
    await lost.start()
    await eventually(lambda: len(lost.machine.commands) == 1)
    await leader.log.change_voter(VoterChange('replace', lost.name))
    known = leader.log._node.journal.configurations._history
    voters = [
        {member.identity for member in members.voters} for _, members in known
    ]
    steps = zip(voters[1:], voters[2:], strict=False)
    assert all(len(before ^ after) <= 1 for before, after in steps)
    assert lost.log.identity in voters[-1]


def test_progress_belongs_to_one_data_folder() -> None:
    """Guards against counting entries lost with an old data folder."""
    progress = Progress('control-2', 8, 0)
    progress.note_identity('old')
    progress.match_index = 7
    progress.answered_round = 3
    progress.note_identity('old')
    assert progress.match_index == 7
    progress.note_identity('new')
    assert (progress.match_index, progress.answered_round) == (0, 0)
