"""How entry hosts learn of evacuations."""

from __future__ import annotations

import asyncio
import random

import pytest

from hornbeamline.directory import DirectoryMember, Presence
from hornbeamline.directory._messages import DocumentPush, EvacuationsPush
from hornbeamline.directory.const import (
    ENROL_INTERVAL_S,
    ROLE_CONTROL,
    ROLE_ENTRY,
)
from hornbeamline.directory.registry import DirectoryRegistry
from hornbeamline.documents import DocumentMachine, StoredDocument
from hornbeamline.evacuations import EvacuationMachine, EvacuationState
from hornbeamline.evacuations._machine import EvacuationOrder
from hornbeamline.gateway import TargetDirectory
from hornbeamline.helpers.codec import encode
from tests.local_network import LocalNetwork, LocalPeering
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

CONTROL = 'control-1'
ENTRY = 'entry-1'
DOCUMENT = StoredDocument(5, b'')
# One enrolment and its reply.
LEARN_S = ENROL_INTERVAL_S + 0.1


class Processes:
    """A control process and an entry process, which is not started."""

    def __init__(self) -> None:
        self.network = LocalNetwork(random.Random(1))
        clock = LoopClock()
        self.documents = DocumentMachine()
        self.evacuations = EvacuationMachine()
        self.control: LocalPeering = self.network.endpoint(CONTROL)
        self.registry = DirectoryRegistry(
            self.control,
            self.documents,
            Presence(CONTROL, 'x', ROLE_CONTROL, 'dc'),
            TargetDirectory(clock),
            clock,
            self.evacuations,
        )
        targets = TargetDirectory(clock)
        self.member = DirectoryMember(
            self.network.endpoint(ENTRY),
            clock,
            {CONTROL: 'x'},
            lambda: Presence(ENTRY, 'x', ROLE_ENTRY, 'dc'),
            targets,
        )
        # What the entry process was told, in order.
        self.told: list[str] = []
        self.member.on_document = lambda _: self.told.append('document')
        self.member.evacuations.on_state = lambda state: self.told.append(
            ','.join(state.data_centres) or 'none'
        )

    def order(self, data_centre: str, index: int, *, is_start: bool) -> None:
        """Commit an order."""
        order = EvacuationOrder(
            data_centre, is_start, self.evacuations.order_number
        )
        self.evacuations.apply(index, encode(order))

    def confirm(self, *, is_confirmed: bool) -> None:
        """Set whether the state of the control process is confirmed."""
        self.documents.is_confirmed = lambda: is_confirmed
        self.evacuations.is_confirmed = lambda: is_confirmed


@pytest.fixture
async def processes():
    """Yield both processes."""
    both = Processes()
    yield both
    await both.member.stop()


# Guards against a host that serves an evacuated data centre for a moment.
@pytest.mark.parametrize('is_pushed', [False, True])
async def test_first_document_comes_with_the_evacuations(
    processes, is_pushed
) -> None:
    """Load: a host starts, or is pushed a document before its reply."""
    processes.order('north', 3, is_start=True)
    processes.documents.current = DOCUMENT
    if is_pushed:
        processes.confirm(is_confirmed=False)
        await processes.member.start()
        await asyncio.sleep(LEARN_S)
        processes.confirm(is_confirmed=True)
        processes.control.send(ENTRY, DocumentPush(DOCUMENT))
        await asyncio.sleep(0.1)
    else:
        await processes.member.start()
        await asyncio.sleep(LEARN_S)
    assert processes.told == ['north', 'document']


async def test_unconfirmed_state_starts_no_host(processes) -> None:
    """Fault: the control process was restarted and may lack orders."""
    processes.confirm(is_confirmed=False)
    processes.order('north', 3, is_start=True)
    processes.documents.current = DOCUMENT
    await processes.member.start()
    await asyncio.sleep(3 * LEARN_S)
    assert not processes.told
    # A host that serves takes any newer state.
    processes.member.document = DOCUMENT
    await asyncio.sleep(LEARN_S)
    assert processes.told == ['north']


async def test_change_is_pushed_and_a_lost_push_is_made_up_for(
    processes,
) -> None:
    """Fault: the link to the host loses the push of the second order."""
    processes.documents.current = DOCUMENT
    await processes.member.start()
    await asyncio.sleep(LEARN_S)
    processes.order('north', 3, is_start=True)
    await asyncio.sleep(0.01)
    assert processes.told == ['document', 'north']
    processes.network.cut(CONTROL, ENTRY)
    processes.order('north', 4, is_start=False)
    await asyncio.sleep(0.1)
    processes.network.heal()
    await asyncio.sleep(3 * LEARN_S)
    assert processes.told == ['document', 'north', 'none']
    # A push that was delayed is older than what the host knows.
    late = EvacuationsPush(EvacuationState(3, ['north']))
    processes.control.send(ENTRY, late)
    await asyncio.sleep(0.1)
    assert processes.member.evacuations.state.number == 4


async def test_nothing_is_sent_without_an_order(processes) -> None:
    """Guards against messages that a deployment without orders pays for."""
    processes.documents.current = DOCUMENT
    sent: list[object] = []
    send = processes.control.send
    processes.control.send = lambda peer, message: (
        sent.append(message),
        send(peer, message),
    )
    await processes.member.start()
    await asyncio.sleep(LEARN_S)
    processes.evacuations.announce()
    await asyncio.sleep(LEARN_S)
    assert processes.told == ['document']
    assert not sent
    assert not processes.evacuations.snapshot()
