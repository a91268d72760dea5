"""Calls through control processes whose names change."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

import pytest

from hornbeamline.control_link import LeaderClient, LeaderUnavailableError
from hornbeamline.control_link._messages import ControlReply
from hornbeamline.helpers.codec import encode
from hornbeamline.peering import message
from tests.local_network import LocalNetwork

pytestmark = pytest.mark.looptime(noop_cycles=0)


@message('test.control_link.ask')
class Ask(NamedTuple):
    """Question to the leader."""

    forwarded: bool = False


class Answer(NamedTuple):
    """Answer of the leader."""

    name: str


class Controls:
    """Control processes on a network, one of which leads."""

    def __init__(self) -> None:
        self.network = LocalNetwork(random.Random(1))
        self.names: list[str] = []
        self.asked: list[str] = []
        self.leader = 'c1'
        for name in ('c1', 'c2', 'c3'):
            self.network.endpoint(name).on(Ask, self._handler(name))

    def client(self, names: Sequence[str] | Callable[[], Sequence[str]]):
        """Return a client that knows the names."""
        return LeaderClient(self.network.endpoint('entry'), names)

    def _handler(self, name: str):
        async def on_ask(_sender: str, _request: Ask) -> ControlReply:
            self.asked.append(name)
            if name != self.leader:
                return ControlReply('not_leader', self.leader, b'')
            return ControlReply('ok', name, encode(Answer(name)))

        return on_ask


# Guards against a host that fails, or spins, before it knows a control host.
async def test_client_waits_for_the_first_name() -> None:
    """The first control process is known after two seconds."""
    controls = Controls()
    client = controls.client(lambda: controls.names)
    with pytest.raises(LeaderUnavailableError):
        await client.call(Ask(), Answer, 1.0)
    call = asyncio.create_task(client.call(Ask(), Answer, 5.0))
    await asyncio.sleep(2)
    controls.names = ['c1']
    assert await call == Answer('c1')
    assert controls.asked == ['c1']


# Guards against calls to a control process that no longer answers.
async def test_client_follows_the_names() -> None:
    """The preferred control process is replaced."""
    controls = Controls()
    controls.names = ['c1', 'c2']
    client = controls.client(lambda: controls.names)
    assert await client.call(Ask(), Answer, 5.0) == Answer('c1')
    controls.network.endpoints_by_name['c1'].close()
    controls.names, controls.leader = ['c2', 'c3'], 'c3'
    began = asyncio.get_running_loop().time()
    assert await client.call(Ask(), Answer, 5.0) == Answer('c3')
    assert controls.asked == ['c1', 'c2', 'c3']
    assert asyncio.get_running_loop().time() - began < 0.1
    # All are gone for a time.
    controls.names = []
    with pytest.raises(LeaderUnavailableError):
        await client.call(Ask(), Answer, 1.0)
    controls.names = ['c2', 'c3']
    assert await client.call(Ask(), Answer, 5.0) == Answer('c3')


# Guards against a fixed list that is used up by the first call.
@pytest.mark.parametrize('kind', [iter, tuple, dict.fromkeys])
async def test_client_keeps_fixed_names(kind) -> None:
    """The names may come as an iterator or a dictionary."""
    controls = Controls()
    client = controls.client(kind(['c1', 'c2']))
    controls.leader = 'c2'
    for _ in range(3):
        assert await client.call(Ask(), Answer, 5.0) == Answer('c2')
    assert controls.asked == ['c1', 'c2', 'c2', 'c2']
