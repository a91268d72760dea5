"""Control processes that the settings of a host do not name."""

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

# Several control processes beside the one that only one of them knows.
OTHERS = ['control-1', 'control-2', 'control-3']
NEW = 'control-9'


class Control:
    """Both sides of the directory in a control process."""

    def __init__(self, network: LocalNetwork, name: str, known: list[str]):
        clock = LoopClock()
        endpoint = network.endpoint(name)
        own = Presence(name, 'x', ROLE_CONTROL, 'dc')
        targets = TargetDirectory(clock)
        self.registry = DirectoryRegistry(
            endpoint, DocumentMachine(), own, targets, clock
        )
        self.member = DirectoryMember(
            endpoint, clock, dict.fromkeys(known, 'x'), lambda: own, targets
        )
        self.registry.on_control = self.member.add_present_control


# Failure: the leader did not hear of a host that one other enrolled with.
async def test_control_enrols_with_those_that_enrol_with_it() -> None:
    """Fault: a new host knows lost control processes only."""
    network = LocalNetwork(random.Random(1))
    network.needs_addresses = True
    controls = {name: Control(network, name, OTHERS) for name in OTHERS}
    controls[NEW] = Control(network, NEW, ['control-91', 'control-92'])
    for control in controls.values():
        await control.member.start()
    await asyncio.sleep(2 * ENROL_INTERVAL_S)
    # The settings of one host change.
    controls[OTHERS[0]].member.add_controls({NEW: 'x'})
    await asyncio.sleep(8 * ENROL_INTERVAL_S)
    for name, control in controls.items():
        assert set(control.registry.controls()) == {*OTHERS, NEW}, name
    for stopping in controls.values():
        await stopping.member.stop()


# Failure: a host without a control process of its own would dial it for good.
async def test_substitute_is_asked_while_no_other_answers() -> None:
    """Fault: the settings name lost control processes, then others."""
    network = LocalNetwork(random.Random(1))
    network.needs_addresses = True
    for name in OTHERS:
        Control(network, name, [])
    own = Control(network, NEW, ['control-91']).member
    own.add_substitutes({'control-92': 'x'})
    await own.start()
    assert own.known_controls() == ['control-91']
    await asyncio.sleep(2 * ENROL_INTERVAL_S)
    assert own.known_controls() == ['control-91', 'control-92']
    own.add_controls(dict.fromkeys(OTHERS, 'x'))
    await asyncio.sleep(2 * ENROL_INTERVAL_S)
    assert own.known_controls() == [*OTHERS, 'control-91']
    assert 'control-92' not in network.endpoints_by_name[NEW]._known
    await own.stop()
