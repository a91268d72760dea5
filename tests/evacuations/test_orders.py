"""Orders of an operator against an oracle, in any order of messages.

Messages, replies, log entries and acknowledgements are delivered, delayed,
lost and duplicated one by one. There is no network and no real time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamline.control_link._messages import ControlReply
from hornbeamline.evacuations import (
    EvacuationMachine,
    EvacuationState,
    EvacuationUnavailableError,
    UnknownDataCentreError,
)
from hornbeamline.evacuations._machine import EvacuationOrder
from hornbeamline.evacuations.service import EvacuationService
from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.helpers.codec import encode
from hornbeamline.replog._state_machines import StateMachines

HOSTS: Final = 3
ZONES: Final = ('north', 'a/b%2F')
# Iterations of the event loop in which all tasks become idle.
_SETTLE: Final = 12


class FakeLog:
    """The log as one control process sees it; commits are immediate."""

    def __init__(self, world: World, host: int) -> None:
        self._world = world
        self._host = host

    def register_state_machine(self, _name: str, _machine: Any) -> None:
        """Do nothing: the world applies the commands."""

    def is_state_confirmed(self) -> bool:
        """Return that the state is confirmed."""
        return True

    def on_state_confirmed(self, _callback: Callable[[], None]) -> None:
        """Ignore the callback."""

    async def propose(self, _machine: str, command: bytes) -> bytes:
        """Commit a command; one of a former leader fails."""
        self._require_leadership()
        return self._world.commit(self._host, command)

    async def read_barrier(self) -> None:
        """Confirm that this process leads."""
        self._require_leadership()

    def _require_leadership(self) -> None:
        if self._world.leader != self._host:
            raise ReplicatedLogError('not the leader')


class Call:
    """Message of a control process to the leader, and its reply."""

    def __init__(self, request: Any) -> None:
        self.request = request
        self.reply: asyncio.Future[ControlReply] = asyncio.Future()


class FakeServer:
    """Link of one control process to the leader."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.handlers: dict[type[Any], Callable[[Any], Any]] = {}

    def register_handler(self, kind: type[Any], handler: Any) -> None:
        """Register what the leader does with a message."""
        self.handlers[kind] = handler

    async def submit(self, request: Any) -> ControlReply:
        """Send a message and wait for its reply."""
        call = Call(request)
        self._world.calls.append(call)
        return await call.reply


class Order:
    """An order of the operator, who may send it several times."""

    def __init__(self, zone: str, *, is_start: bool) -> None:
        self.zone = zone
        self.is_start = is_start
        self.is_current = True


class World:
    """Control processes, one operator, and the messages on their way."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.leader = 0
        self.commands: list[bytes] = []
        self.calls: list[Call] = []
        self.sent: list[tuple[Order, asyncio.Task[Any]]] = []
        self.orders: dict[str, Order] = {}
        # Oracle: the last acknowledged order, and those sent since then.
        self.possible = {zone: {False} for zone in ZONES}
        self.violations: list[str] = []
        self.machines = [EvacuationMachine() for _ in range(HOSTS)]
        self.servers = [FakeServer(self) for _ in range(HOSTS)]
        self.services = [self._service(host) for host in range(HOSTS)]

    def _service(self, host: int) -> EvacuationService:
        log: Any = FakeLog(self, host)
        server: Any = self.servers[host]
        return EvacuationService(
            log,
            server,
            self.machines[host],
            lambda name: name in ZONES,
            self.clock,
        )

    def commit(self, proposer: int, command: bytes) -> bytes:
        """Apply a command at all processes; return its result."""
        self.commands.append(command)
        index = len(self.commands)
        results = [each.apply(index, command) for each in self.machines]
        return results[proposer]

    def restart(self, host: int) -> None:
        """Restore a process from a snapshot and the log after it."""
        middle = len(self.commands) // 2
        before = EvacuationMachine()
        for index, command in enumerate(self.commands[:middle], start=1):
            before.apply(index, command)
        machine = EvacuationMachine()
        state = before.snapshot()
        if state:
            machine.restore(state)
        for offset, command in enumerate(self.commands[middle:], start=1):
            machine.apply(middle + offset, command)
        if machine.snapshot() != self.machines[host].snapshot():
            self.violations.append('a restart changed the state')
        self.machines[host] = machine
        self.services[host] = self._service(host)

    def order(self, zone: str, *, is_start: bool) -> None:
        """Give up the current order on a data centre and send another."""
        previous = self.orders.get(zone)
        if previous is not None:
            previous.is_current = False
        self.orders[zone] = Order(zone, is_start=is_start)
        self.possible[zone].add(is_start)
        self.send(zone, 0)

    def send(self, zone: str, host: int) -> None:
        """Send the current order on a data centre to a control process."""
        order = self.orders.get(zone)
        if order is None:
            return
        service = self.services[host]
        execute = service.start if order.is_start else service.end
        task = asyncio.ensure_future(execute(zone, lambda: order.is_current))
        self.sent.append((order, task))

    async def deliver(self, number: int) -> None:
        """Let the leader handle a message, which stays for a duplicate."""
        if not self.calls:
            return
        call = self.calls[number % len(self.calls)]
        handler = self.servers[self.leader].handlers[type(call.request)]
        try:
            body = encode(await handler(call.request))
        except ReplicatedLogError:
            return
        if not call.reply.done():
            call.reply.set_result(ControlReply('ok', '', body))

    def lose_reply(self, number: int) -> None:
        """End the wait for a reply; the message may still arrive."""
        if not self.calls:
            return
        call = self.calls[number % len(self.calls)]
        if not call.reply.done():
            call.reply.set_result(ControlReply('unknown', '', b''))

    async def deliver_late(self) -> None:
        """Deliver all messages again, and those that follow."""
        number = 0
        while number < len(self.calls):
            await self.deliver(number)
            await self.settle()
            number += 1

    async def settle(self) -> None:
        """Let all tasks go on, note acknowledgements, check the state."""
        for _ in range(_SETTLE):
            await asyncio.sleep(0)
        for order, task in tuple(self.sent):
            if not task.done():
                continue
            self.sent.remove((order, task))
            if task.exception() is None and order.is_current:
                self.possible[order.zone] = {order.is_start}
                self.orders.pop(order.zone, None)
        self._check()

    def _check(self) -> None:
        state = self.machines[0].current
        for zone, possible in self.possible.items():
            if (zone in state.data_centres) not in possible:
                self.violations.append(f'{zone} is not as acknowledged')
        if any(each.current != state for each in self.machines):
            self.violations.append('the control processes differ')

    async def stop(self) -> None:
        """Cancel the orders that are still open."""
        for _, task in self.sent:
            task.cancel()
        await asyncio.gather(
            *(task for _, task in self.sent), return_exceptions=True
        )


# Messages are counted from the newest.
NUMBERS = st.integers(-6, -1)
STEPS = st.one_of(
    st.tuples(
        st.just('order'),
        st.tuples(
            st.sampled_from(ZONES),
            st.booleans(),
            # Messages of the order that arrive immediately.
            st.integers(0, 2),
        ),
    ),
    st.tuples(
        st.just('send'),
        st.tuples(st.sampled_from(ZONES), st.integers(0, HOSTS - 1)),
    ),
    st.tuples(st.just('deliver'), NUMBERS),
    st.tuples(st.just('lose reply'), NUMBERS),
    st.tuples(st.just('elect'), st.integers(0, HOSTS - 1)),
    st.tuples(st.just('restart'), st.integers(0, HOSTS - 1)),
)


async def play(steps: list[tuple[str, Any]]) -> World:
    """Play steps and return the world at their end."""
    world = World()
    for kind, detail in steps:
        if kind == 'order':
            zone, is_start, arriving = detail
            world.order(zone, is_start=is_start)
            for _ in range(arriving):
                await world.settle()
                await world.deliver(-1)
        elif kind == 'send':
            world.send(*detail)
        elif kind == 'deliver':
            await world.deliver(detail)
        elif kind == 'lose reply':
            world.lose_reply(detail)
        elif kind == 'elect':
            world.leader = detail
        else:
            world.restart(detail)
        await world.settle()
    await world.deliver_late()
    await world.stop()
    return world


@settings(deadline=None, max_examples=200)
@given(st.lists(STEPS, min_size=12, max_size=40))
def test_acknowledged_orders_hold(steps) -> None:
    """Guards against orders that are lost, or undone by earlier ones."""
    world = asyncio.run(play(steps))
    assert not world.violations


NORTH = ZONES[0]


# Guards against an acknowledged order that changed nothing and was undone by
# an earlier one, which had read the same state.
@pytest.mark.parametrize('is_start', [True, False])
def test_late_message_does_not_undo_an_order_without_effect(is_start) -> None:
    """Fault: a message to the leader arrives after a later order."""
    earlier = [('order', (NORTH, True, 2))] if is_start else []
    stuck = ('order', (NORTH, not is_start, 1))
    later = ('order', (NORTH, is_start, 2))
    world = asyncio.run(play([*earlier, stuck, later, ('deliver', -3)]))
    assert not world.violations
    assert (NORTH in world.machines[0].current.data_centres) is is_start


def test_repeated_order_changes_nothing() -> None:
    """Guards against pushes to all hosts for each repetition."""
    world = asyncio.run(play([('order', (NORTH, True, 2))] * 2))
    assert world.machines[0].current == (1, [NORTH])
    assert world.machines[0].order_number == 2


def test_conflicting_orders_are_both_carried_out() -> None:
    """Load: orders on two data centres read the same state."""
    orders = [('order', (zone, True, 1)) for zone in ZONES]
    # Both changes, then the read and the change after the conflict.
    arriving = [('deliver', number) for number in (-3, -1, -1, -1)]
    world = asyncio.run(play([*orders, *arriving]))
    assert world.machines[0].current.data_centres == sorted(ZONES)
    assert not world.orders
    assert not world.violations


async def refused(world: World, task: asyncio.Task[Any]) -> str:
    """Return why an order was not carried out."""
    await world.deliver(-1)
    for _ in range(_SETTLE):
        await asyncio.sleep(0)
    assert task.done()
    assert not world.commands
    with pytest.raises(EvacuationUnavailableError) as caught:
        await task
    return str(caught.value)


async def test_order_is_not_proposed_when_its_caller_has_gone() -> None:
    """Guards against an order that follows one sent to another host."""
    world = World()
    world.order(NORTH, is_start=True)
    _, task = world.sent[0]
    await asyncio.sleep(0)
    world.orders[NORTH].is_current = False
    assert 'left' in await refused(world, task)


async def test_order_is_not_proposed_after_a_second() -> None:
    """Fault: the process was suspended, and the caller's end not received."""
    world = World()
    world.order(NORTH, is_start=True)
    _, task = world.sent[0]
    await asyncio.sleep(0)
    world.clock.advance(1.1)
    assert 'late' in await refused(world, task)


async def test_unknown_data_centre_is_refused_unless_it_is_evacuated() -> None:
    """Guards against evacuations of anything, and against endless ones."""
    world = World()
    with pytest.raises(UnknownDataCentreError):
        await world.services[0].start('south', lambda: True)
    assert not world.calls
    world.machines[0].current = EvacuationState(1, ['south'])
    ending = asyncio.ensure_future(
        world.services[0].end('south', lambda: True),
    )
    for _ in range(2):
        await asyncio.sleep(0)
        await world.deliver(-1)
    assert not (await ending).data_centres


# Guards against control processes of an older version that cannot use the
# snapshots of a deployment which has never evacuated anything.
def test_snapshot_without_orders_has_no_evacuations() -> None:
    """Load: control processes are updated one after the other."""
    machines = StateMachines()
    machine = EvacuationMachine()
    machines.register('evacuations', machine)
    assert not machines.states()
    machine.apply(1, encode(EvacuationOrder(NORTH, True, 0)))
    assert machines.states().keys() == {'evacuations'}
