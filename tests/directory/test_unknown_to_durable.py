"""Control processes without a disk that know what others do not."""

from __future__ import annotations

import asyncio
import random

import pytest

from hornbeamline.directory import DirectoryMember, Presence
from hornbeamline.directory.const import ENROL_INTERVAL_S, ROLE_CONTROL
from hornbeamline.directory.registry import DirectoryRegistry
from hornbeamline.documents import DocumentMachine
from hornbeamline.gateway import TargetDirectory
from tests.local_network import LocalNetwork
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

DURABLE = ['control-1', 'control-2', 'control-3']
DISKLESS = 'control-5'
NEW = 'control-9'


def start_control(
    network: LocalNetwork, name: str, known: list[str]
) -> tuple[DirectoryRegistry, DirectoryMember]:
    """Return both sides of the directory in a control process."""
    clock = LoopClock()
    endpoint = network.endpoint(name)
    own = Presence(name, 'x', ROLE_CONTROL, 'dc', is_durable=name != DISKLESS)
    targets = TargetDirectory(clock)
    registry = DirectoryRegistry(
        endpoint, DocumentMachine(), own, targets, clock
    )
    member = DirectoryMember(
        endpoint, clock, dict.fromkeys(known, 'x'), lambda: own, targets
    )
    registry.on_control = member.add_present_control
    registry.answering_controls = lambda: member.view.described(
        member.answering_controls()
    )
    return registry, member


# Failure: a new host found nobody, since lost control processes counted as
# enough sources and the only one that knew it has no disk.
@pytest.mark.parametrize('knows_new', [DURABLE[0], DISKLESS])
async def test_new_control_is_known_to_all(knows_new: str) -> None:
    """Fault: settings of the new host name lost ones; one other names it."""
    network = LocalNetwork(random.Random(1))
    network.needs_addresses = True
    controls = {
        name: start_control(network, name, DURABLE)
        for name in [*DURABLE, DISKLESS]
    }
    controls[NEW] = start_control(network, NEW, ['control-91', 'control-92'])
    for _, member in controls.values():
        await member.start()
    await asyncio.sleep(2 * ENROL_INTERVAL_S)
    controls[knows_new][1].add_controls({NEW: 'x'})
    await asyncio.sleep(20 * ENROL_INTERVAL_S)
    seen_by = {name for name in DURABLE if NEW in controls[name][0].controls()}
    assert seen_by == set(DURABLE)
    # Failure: control processes without a disk were asked for good.
    for name in (*DURABLE, NEW):
        assert DISKLESS not in controls[name][1].known_controls(), name
    for _, stopping in controls.values():
        await stopping.stop()
