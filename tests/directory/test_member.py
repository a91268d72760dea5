"""Tests of directory members and of the registry they enrol with."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from hornbeamline.core._tasks import MAX_RESTART_DELAY_S
from hornbeamline.costs import SpeedEvidence
from hornbeamline.daemons._target_list import ListPoller
from hornbeamline.directory import DirectoryMember, Presence, ProcessLoad
from hornbeamline.directory._loads import subtract_load, sum_loads
from hornbeamline.directory._messages import (
    DocumentPush,
    Enrol,
    EnrolReply,
    Position,
    PresentChanges,
)
from hornbeamline.directory._view import PresentView
from hornbeamline.directory.const import (
    ENROL_INTERVAL_S,
    PRESENCE_SILENCE_S,
    PRESENT_SOURCES,
    ROLE_CONTROL,
    ROLE_ENTRY,
    SUSPECT_AFTER_S,
)
from hornbeamline.directory.registry import DirectoryRegistry
from hornbeamline.documents import DocumentMachine, StoredDocument
from hornbeamline.gateway import Target, TargetDirectory
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.helpers.codec import encode
from tests.gateway.builders import make_target
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

CONTROLS = [f'control-{number}' for number in range(4)]
READ_INTERVAL_S = 0.6
ENTRIES = [f'entry-{number}' for number in range(6)]


class FakeDirectory:
    """Control and entry processes on an in-process network."""

    def __init__(self) -> None:
        self.network = LocalNetwork(random.Random(1))
        self.members: dict[str, DirectoryMember] = {}
        self.lists: dict[str, TargetDirectory] = {}
        self.leaving: set[str] = set()

    async def start(self) -> None:
        """Start all processes."""
        clock = LoopClock()
        for name in CONTROLS:
            endpoint = self.network.endpoint(name)
            own = Presence(name, 'x', ROLE_CONTROL, 'dc')
            targets = TargetDirectory(clock)
            self.lists[name] = targets
            DirectoryRegistry(endpoint, DocumentMachine(), own, targets, clock)
        for name in ENTRIES:
            self.lists[name] = TargetDirectory(clock)
            member = DirectoryMember(
                self.network.endpoint(name),
                clock,
                dict.fromkeys(CONTROLS, 'x'),
                lambda name=name: self.describe(name),
                self.lists[name],
            )
            self.members[name] = member
            await member.start()

    def describe(self, name: str) -> Presence:
        """Return the presence of an entry process."""
        is_leaving = name in self.leaving
        return Presence(name, 'x', ROLE_ENTRY, 'dc', is_leaving=is_leaving)

    def seen_by(self, name: str) -> set[str]:
        """Return the names of the processes that a process sees as present."""
        return {presence.name for presence in self.members[name].present()}


@pytest.fixture
async def directory():
    processes = FakeDirectory()
    yield processes
    for member in processes.members.values():
        await member.stop()


async def test_all_processes_are_seen(directory) -> None:
    """No fault: each process sees all others."""
    await directory.start()
    await asyncio.sleep(3 * ENROL_INTERVAL_S)
    for name in ENTRIES:
        assert directory.seen_by(name) == {*CONTROLS, *ENTRIES}


async def test_two_lost_controls_hide_nobody(directory) -> None:
    """Fault: two control processes, possibly both sources, are lost."""
    await directory.start()
    await asyncio.sleep(3 * ENROL_INTERVAL_S)
    for name in CONTROLS[:2]:
        directory.network.endpoints_by_name[name].close()
    for _ in range(40):
        await asyncio.sleep(0.1)
        for name in ENTRIES:
            assert directory.seen_by(name) >= set(ENTRIES)


async def test_few_controls_are_asked_for_the_others(directory) -> None:
    """Load: full replies are requested from few control processes only."""
    await directory.start()
    await asyncio.sleep(3 * ENROL_INTERVAL_S)
    member = directory.members[ENTRIES[0]]
    asked = [name for name in CONTROLS if member._is_source(name)]
    assert len(asked) == PRESENT_SOURCES


async def test_lists_of_control_processes_reach_all(directory) -> None:
    """Load: entry hosts get the list of targets without reading it."""
    await directory.start()
    await asyncio.sleep(3 * ENROL_INTERVAL_S)
    for name in CONTROLS:
        directory.lists[name].replace_list([make_target('t1')])
    await asyncio.sleep(2 * ENROL_INTERVAL_S)
    for name in ENTRIES:
        held = directory.lists[name]
        assert [target.id for target in held.available_targets('service')] == [
            't1'
        ]
        assert held.age_s < 3 * ENROL_INTERVAL_S


async def test_older_list_does_not_replace_a_newer_one(directory) -> None:
    """Fault: a control process cannot read the list and sends an old one."""
    await directory.start()
    for name in CONTROLS[:2]:
        directory.lists[name].replace_list([make_target('t1')])
    await asyncio.sleep(1)
    for name in CONTROLS[2:]:
        leaving = make_target('t1', is_leaving=True)
        directory.lists[name].replace_list([leaving])
    for name in ENTRIES:
        directory.lists[name].replace_list([make_target('t1', is_leaving=True)])
    for _ in range(20):
        await asyncio.sleep(0.1)
        for name in ENTRIES:
            assert not directory.lists[name].available_targets('service')


async def test_unchanged_list_is_confirmed_not_sent(directory) -> None:
    """Load: a long list of targets that rarely changes."""
    await directory.start()
    for name in (*CONTROLS, *ENTRIES):
        directory.lists[name].replace_list([make_target('t1')])
    await asyncio.sleep(1)
    for name in CONTROLS:
        directory.lists[name].replace_list([make_target('t1')])
    await asyncio.sleep(2 * ENROL_INTERVAL_S)
    for name in ENTRIES:
        assert directory.lists[name].age_s < 3 * ENROL_INTERVAL_S


# Failure: hosts took the description in any reply for the newest one.
async def test_older_description_does_not_replace_a_newer_one(
    directory,
) -> None:
    """Fault: one control process is partitioned from an entry process."""
    await directory.start()
    await asyncio.sleep(3 * ENROL_INTERVAL_S)
    subject, observer = ENTRIES[0], directory.members[ENTRIES[1]]
    source = next(name for name in CONTROLS if observer._is_source(name))
    directory.network.cut(subject, source)
    directory.leaving.add(subject)
    await asyncio.sleep(2 * ENROL_INTERVAL_S)
    for _ in range(10):
        shown = {each.name: each for each in observer.present()}
        assert shown[subject].is_leaving
        await asyncio.sleep(0.05)


# Failure: hosts sent work to a frozen owner for 3 s, and each waited for it.
@pytest.mark.parametrize('phase', range(4))
async def test_suspected_process_is_known_while_it_is_listed(
    directory,
    phase,
) -> None:
    """Fault: a process is frozen or killed, at any time between enrolments."""
    await directory.start()
    await asyncio.sleep((3 + phase / 4) * ENROL_INTERVAL_S)
    directory.network.endpoints_by_name[ENTRIES[0]].close()
    await directory.members[ENTRIES[0]].stop()
    await asyncio.sleep(SUSPECT_AFTER_S + 2 * ENROL_INTERVAL_S)
    for name in ENTRIES[1:]:
        assert ENTRIES[0] in directory.seen_by(name)
        assert directory.members[name].is_suspected(ENTRIES[0])
        assert not directory.members[name].is_suspected(ENTRIES[2])


def size_of_reply(process_count: int) -> int:
    """Return the size in bytes of a reply without any change."""
    registry, clock = make_registry()
    for number in range(process_count):
        enrol(registry, f'entry-{number}')
    first = enrol(registry, 'entry-0')
    clock.advance(ENROL_INTERVAL_S)
    for number in range(process_count):
        enrol(registry, f'entry-{number}')
    return len(encode(enrol(registry, 'entry-0', first.changes.position)))


def make_registry() -> tuple[DirectoryRegistry, ManualClock]:
    """Return a registry whose network has no peers, and its clock."""
    clock = ManualClock()
    endpoint = LocalNetwork(random.Random(1)).endpoint('control-0')
    own = Presence('control-0', 'x', ROLE_CONTROL, 'dc')
    targets = TargetDirectory(clock)
    machine = DocumentMachine()
    return DirectoryRegistry(endpoint, machine, own, targets, clock), clock


def enrol(
    registry: DirectoryRegistry,
    name: str,
    position: Position | None = None,
) -> EnrolReply:
    """Enrol a process that has requests in progress at two targets.

    One of them is chosen among sixty by the number of the process.
    """
    number = int(name.rpartition('-')[2])
    load = ProcessLoad({f'engine-{number % 60}': 2, 'desk-1': 1})
    presence = Presence(name, '10.0.0.1:7341', ROLE_ENTRY, 'dc')
    request = Enrol(presence, 0, load=load, position=position)
    return asyncio.run(registry._on_enrol(name, request))


# Failure: each reply contained all processes and their loads. At 200 hosts
# these were 60 KB, sent to each of them five times per second.
def test_reply_does_not_grow_with_the_fleet() -> None:
    """Load: 530 hosts with requests at the same targets."""
    assert size_of_reply(530) < size_of_reply(100) + 200
    assert size_of_reply(530) < 2000


def test_load_of_all_others_is_sent_as_a_sum() -> None:
    """The sum leaves out the host that asked; it adds its own load."""
    registry, clock = make_registry()
    for number in range(3):
        enrol(registry, f'entry-{number}')
    clock.advance(ENROL_INTERVAL_S)
    reported = enrol(registry, 'entry-0').changes.load
    assert reported.in_flight_by_target == {
        'desk-1': 2,
        'engine-1': 2,
        'engine-2': 2,
    }


def test_removal_is_sent_once_and_restarted_control_process_sends_all() -> None:
    """Fault: a host is lost; a control process restarts without state."""
    registry, clock = make_registry()
    enrol(registry, 'entry-1')
    position = enrol(registry, 'entry-0').changes.position
    for _ in range(5):
        clock.advance(ENROL_INTERVAL_S)
        reply = enrol(registry, 'entry-0', position)
    assert reply.changes.gone == ['entry-1']
    assert not reply.changes.changed
    again = enrol(registry, 'entry-0', reply.changes.position)
    assert not again.changes.gone
    restarted, _ = make_registry()
    whole = enrol(restarted, 'entry-0', reply.changes.position).changes
    assert whole.is_whole
    assert {each.name for each in whole.changed} == {'control-0', 'entry-0'}


# Failure: each of six control processes read the list every 0.6 s. These 16
# calls per second cost 0.053 of the value that is earned in a day.
async def test_control_processes_share_the_reads_of_the_list() -> None:
    """Load: six control processes, one of which becomes isolated."""
    network = LocalNetwork(random.Random(1))
    clock = LoopClock()
    lists: dict[str, TargetDirectory] = {}
    services: list[Any] = []
    source = CountingList()
    controls = [f'control-{number}' for number in range(6)]
    for name in controls:
        endpoint = network.endpoint(name)
        own = Presence(name, 'x', ROLE_CONTROL, 'dc')
        targets = lists[name] = TargetDirectory(clock)
        registry = DirectoryRegistry(
            endpoint, DocumentMachine(), own, targets, clock
        )
        member = DirectoryMember(
            endpoint,
            clock,
            dict.fromkeys(controls, 'x'),
            lambda own=own: own,
            targets,
        )
        poller = ListPoller(
            source,
            targets,
            READ_INTERVAL_S,
            47.0,
            random.Random(name),
            READ_INTERVAL_S,
            registry.announce_list,
        )
        services += [member, poller]
    for service in services:
        await service.start()
    await asyncio.sleep(2)
    source.calls_made = 0
    max_age_s = 0.0
    for _ in range(100):
        await asyncio.sleep(0.1)
        max_age_s = max(max_age_s, *(held.age_s for held in lists.values()))
    assert source.calls_made <= 2 * 10 / READ_INTERVAL_S
    assert max_age_s < 1.5 * READ_INTERVAL_S
    network.isolate(controls[0])
    await asyncio.sleep(2)
    for _ in range(20):
        await asyncio.sleep(0.1)
        assert lists[controls[0]].age_s < 1.5 * READ_INTERVAL_S
    for service in reversed(services):
        await service.stop()


class CountingList:
    """Source of a one-page list that counts its reads."""

    calls = 1

    def __init__(self) -> None:
        self.calls_made = 0

    async def read(self) -> list[Target]:
        """Return the targets after 20 ms."""
        self.calls_made += 1
        await asyncio.sleep(0.02)
        return [make_target('t1')]


# Failure: after the loss of all voters, the new leader pushed each of the 19
# documents in its log to every host, one after the other.
async def test_documents_applied_together_are_pushed_once() -> None:
    """Load: a leader applies its whole log when it is elected."""
    network = LocalNetwork(random.Random(1))
    machine = DocumentMachine()
    own = Presence('control-0', 'x', ROLE_CONTROL, 'dc')
    clock = LoopClock()
    registry = DirectoryRegistry(
        network.endpoint('control-0'),
        machine,
        own,
        TargetDirectory(clock),
        clock,
    )
    pushed: list[int] = []

    async def record_push(_sender: str, push: DocumentPush) -> None:
        pushed.append(push.document.number)

    network.endpoint('entry-0').on(DocumentPush, record_push)
    presence = Presence('entry-0', 'x', ROLE_ENTRY, 'dc')
    await registry._on_enrol('entry-0', Enrol(presence, 0))
    for number in range(1, 20):
        command = encode(StoredDocument(number, b''))
        machine.apply(number, command)
    await asyncio.sleep(0.1)
    assert pushed == [19]


def test_work_and_speeds_are_summed_without_the_own_ones() -> None:
    """A host adds its own work and its own observations itself."""
    loads = [
        ProcessLoad(
            work_by_target={'t1': 0.5, f't{host}': 1.5},
            speeds_by_target={'t1': SpeedEvidence(100, 70)},
        )
        for host in range(2, 5)
    ]
    left = subtract_load(sum_loads(loads), loads[0])
    assert left.work_by_target == {'t1': 1.0, 't3': 1.5, 't4': 1.5}
    assert left.speeds_by_target == {'t1': SpeedEvidence(200, 140)}
    alone = subtract_load(sum_loads(loads[:1]), loads[0])
    assert alone.work_by_target == {}
    assert alone.speeds_by_target == {}


async def test_load_of_a_control_process_that_sees_few_is_not_used() -> None:
    """Fault: one control process is partitioned from most hosts."""
    clock = LoopClock()
    view = PresentView(clock)
    for control, hosts, in_flight in (('c-1', 3, 30), ('c-2', 1, 2)):
        present = [
            Presence(f'entry-{number}', 'x', ROLE_ENTRY, 'dc')
            for number in range(hosts)
        ]
        load = ProcessLoad({'t1': in_flight})
        changes = PresentChanges(Position(1, 1), True, present, [], {}, load)
        view.apply_changes(control, changes, clock.monotonic())
    assert view.others_load().in_flight_by_target == {'t1': 30}
    await asyncio.sleep(PRESENCE_SILENCE_S + 0.1)
    assert view.others_load() == ProcessLoad()


class FailingLoad:
    """Load of a process that cannot be computed."""

    def __call__(self) -> ProcessLoad:
        """Fail."""
        raise ZeroDivisionError


# Failure: a document with figures that a calculation of the load could not bear
# ended the enrolments, so that the host learned of no later one (CONFIG).
async def test_failing_load_does_not_end_the_enrolments(directory) -> None:
    """Fault: the load of a process cannot be computed."""
    await directory.start()
    member = directory.members['entry-0']
    member._load = FailingLoad()
    await asyncio.sleep(2 * PRESENCE_SILENCE_S)
    assert member.answering_controls() == CONTROLS
    assert 'entry-0' in directory.seen_by('entry-1')


async def test_enrolments_survive_an_unforeseen_error(directory) -> None:
    """Fault: the presence of a process cannot be described for a while."""
    await directory.start()
    member = directory.members['entry-0']
    describe = member._describe
    failures = []

    def fail() -> Presence:
        failures.append(1)
        raise KeyError('figure')

    member._describe = fail
    await asyncio.sleep(PRESENCE_SILENCE_S)
    assert failures
    member._describe = describe
    await asyncio.sleep(MAX_RESTART_DELAY_S + PRESENCE_SILENCE_S)
    assert 'entry-0' in directory.seen_by('entry-1')
