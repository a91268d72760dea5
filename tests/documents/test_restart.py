"""What entry hosts get from control processes that restart."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import pytest

from hornbeamline.control_link import LeaderServer
from hornbeamline.directory import DirectoryMember, Presence
from hornbeamline.directory.const import ROLE_CONTROL, ROLE_ENTRY
from hornbeamline.directory.registry import DirectoryRegistry
from hornbeamline.documents import DocumentMachine
from hornbeamline.documents.service import DocumentService
from hornbeamline.gateway import TargetDirectory
from hornbeamline.replog import RaftLog, VoterChange
from tests.local_network import LocalPeering
from tests.replog.conftest import new_group  # noqa: F401
from tests.replog.group import Group, LoopClock, Voter, eventually

pytestmark = pytest.mark.looptime(noop_cycles=0)

SNAPSHOT_ENTRIES = 4
LAST_SNAPSHOT = 6
NEWEST = 9
# An election, the commit of its no-op and one enrolment.
RETURN_TIMEOUT_S = 4


class DocumentVoter(Voter):
    """Control process that stores documents and enrols entry processes."""

    documents: DocumentService

    def new_machine(self) -> DocumentMachine:
        """Return an empty document machine."""
        return DocumentMachine()

    def attach(self, peering: LocalPeering, log: RaftLog) -> None:
        """Connect the machine as the daemon of a control host does."""
        self.documents = DocumentService(
            log, LeaderServer(peering, log), self.machine, int
        )
        clock = LoopClock()
        DirectoryRegistry(
            peering,
            self.machine,
            Presence(self.name, 'x', ROLE_CONTROL, 'dc'),
            TargetDirectory(clock),
            clock,
        )


class EntryHost:
    """Entry process that starts without a document."""

    def __init__(self, group: Group, name: str = 'entry') -> None:
        self.numbers: list[int] = []
        clock = LoopClock()
        self.member = DirectoryMember(
            group.network.endpoint(name),
            clock,
            dict.fromkeys(group.initial_names, 'x'),
            lambda: Presence(name, 'x', ROLE_ENTRY, 'dc'),
            TargetDirectory(clock),
        )
        self.member.on_document = lambda document: self.numbers.append(
            document.number
        )


async def put(group: Group, first: int, last: int) -> None:
    """Store documents under consecutive numbers."""
    leader = await group.leader()
    for number in range(first, last + 1):
        assert await leader.documents.put(b'%d' % number) == number


async def left_behind(group: Group) -> DocumentVoter:
    """Return a voter that lacks the newest documents; all others crash."""
    await put(group, 1, LAST_SNAPSHOT)
    await group.settle()
    leader = await group.leader()
    behind: Any = next(v for v in group.running if v.name != leader.name)
    group.network.isolate(behind.name)
    await put(group, LAST_SNAPSHOT + 1, NEWEST)
    for voter in group.voters.values():
        await voter.crash()
    group.network.heal()
    return behind


@pytest.fixture
def start_documents(new_group):  # noqa: F811
    """Return a function that starts three control processes."""
    return functools.partial(
        new_group,
        3,
        voter_class=DocumentVoter,
        snapshot_entries=SNAPSHOT_ENTRIES,
    )


# Guards against a restarted host that serves an overtaken configuration.
async def test_snapshot_is_not_in_force_before_a_leader_confirms_it(
    start_documents,
) -> None:
    """Fault: all lose power; only a voter that lacks documents is back."""
    documents = await start_documents()
    behind = await left_behind(documents)
    await behind.start()
    entry = EntryHost(documents)
    await entry.member.start()
    await asyncio.sleep(2 * RETURN_TIMEOUT_S)
    assert not entry.numbers
    # A voter with all documents is back as well.
    other = next(v for v in documents.voters.values() if v is not behind)
    await other.start()
    await eventually(lambda: bool(entry.numbers), RETURN_TIMEOUT_S)
    assert entry.numbers == [NEWEST]
    await entry.member.stop()


async def test_voter_that_is_cut_off_starts_no_host(start_documents) -> None:
    """Fault: a host restarts and reaches a voter without a leader only."""
    documents = await start_documents()
    await put(documents, 1, LAST_SNAPSHOT)
    await documents.settle()
    leader = await documents.leader()
    behind = next(v for v in documents.running if v.name != leader.name)
    documents.network.isolate(behind.name)
    await put(documents, LAST_SNAPSHOT + 1, NEWEST)
    await asyncio.sleep(RETURN_TIMEOUT_S)
    entry = EntryHost(documents)
    for voter in documents.running:
        if voter is not behind:
            documents.network.cut('entry', voter.name)
    await entry.member.start()
    await asyncio.sleep(RETURN_TIMEOUT_S)
    assert not entry.numbers
    documents.network.heal()
    await eventually(lambda: bool(entry.numbers), RETURN_TIMEOUT_S)
    await eventually(lambda: entry.numbers[-1] == NEWEST, RETURN_TIMEOUT_S)
    assert entry.numbers == [NEWEST]
    await entry.member.stop()


async def test_restart_of_all_brings_the_newest_document_back(
    start_documents,
) -> None:
    """Fault: all control processes and an entry process lose power."""
    documents = await start_documents()
    await put(documents, 1, NEWEST)
    for voter in documents.voters.values():
        await voter.crash()
    entry = EntryHost(documents)
    await entry.member.start()
    for voter in documents.voters.values():
        await voter.start()
    await eventually(lambda: bool(entry.numbers), RETURN_TIMEOUT_S)
    assert entry.numbers == [NEWEST]
    await entry.member.stop()


async def test_new_control_process_sends_no_overtaken_document(
    start_documents,
) -> None:
    """Fault: a process gets the snapshot of the leader, then the rest."""
    documents = await start_documents()
    await put(documents, 1, NEWEST)
    extra = documents.add('control-4')
    entry = EntryHost(documents)
    for name in documents.initial_names:
        documents.network.cut('entry', name)
    entry.member.add_controls({'control-4': 'x'})
    await entry.member.start()
    await extra.start()
    leader = await documents.leader()
    await leader.log.change_voter(
        VoterChange('add_learner', 'control-4', address='127.0.0.1:4')
    )
    await eventually(lambda: bool(entry.numbers), RETURN_TIMEOUT_S)
    assert entry.numbers == [NEWEST]
    await entry.member.stop()
