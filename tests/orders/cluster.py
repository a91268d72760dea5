"""Simulated control hosts and engines for order tests in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hornbeamline.inventory import (
    EngineOptions,
    Fleet,
    FleetInfo,
    Model,
    OrderRules,
    Pipeline,
    Rules,
    Stage,
    Target,
)
from hornbeamline.orders import (
    EngineReport,
    OrderBody,
    OrderLostError,
    OrderNotSentError,
    OrderService,
    StaleFencingError,
)
from hornbeamline.replog import NotLeaderError, ProposalUnknownError

LEASE_S = 5.0
FLIGHT_S = 2.0
NETWORK_S = 0.005


class LoopClock:
    """Clock that reads the event loop's virtual time."""

    def monotonic(self) -> float:
        """Return the event loop time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Return the event loop time in milliseconds."""
        return int(self.monotonic() * 1000)


class ReceivedOrder(NamedTuple):
    """Order that reached an engine, with its arrival time."""

    at: float
    target: str
    body: OrderBody


class Engines:
    """Simulated engines of all targets."""

    def __init__(self, rng: random.Random) -> None:
        """Create engines without models; `rng` draws the delays."""
        self.rng = rng
        self.reports_by_target: dict[str, EngineReport] = {}
        self.ignores_fencing: set[str] = set()
        self.highest_by_target: dict[str, int] = {}
        self.received: list[ReceivedOrder] = []
        self.load_s = 1.0
        # Whether engines accept loads but never finish them.
        self.stuck = False
        self.lost_answer_share = 0.0
        # Delay of unloads; None draws one up to the expiry of each order.
        self.unload_s: float | None = None
        self.unloads = 0
        # Models whose last copy was unloaded.
        self.lost_models: list[str] = []

    def set_models(self, target: str, models: dict[str, str]) -> None:
        """Set the ready models of a target."""
        self.change(target, models=models)

    def change(self, target: str, **fields: object) -> None:
        """Replace fields of a target's report."""
        known = self.reports_by_target.get(target, EngineReport(role='serve'))
        values = {
            name: getattr(known, name) for name in known.__struct_fields__
        }
        self.reports_by_target[target] = EngineReport(**{**values, **fields})

    def receive(self, target: str, body: OrderBody) -> None:
        """Receive an order; raises `StaleFencingError`."""
        highest = self.highest_by_target.get(target, 0)
        if target not in self.ignores_fencing and body['fencing'] < highest:
            raise StaleFencingError(target)
        self.highest_by_target[target] = max(highest, body['fencing'])
        loop = asyncio.get_running_loop()
        self.received.append(ReceivedOrder(loop.time(), target, body))
        delay_s = self.rng.uniform(0, body['expires_in_ms'] / 1000)
        if body['action'] == 'unload_model' and self.unload_s is not None:
            delay_s = self.unload_s
        loop.call_later(delay_s, self._execute, target, body)

    def _execute(self, target: str, body: OrderBody) -> None:
        report = self.reports_by_target[target]
        model = body['model']
        if body['action'] == 'unload_model':
            left = {k: v for k, v in report.models.items() if k != model}
            self.set_models(target, left)
            self.unloads += 1
            reports = self.reports_by_target.values()
            if not any(model in other.models for other in reports):
                self.lost_models.append(model)
        elif body['action'] == 'load_model' and not self.stuck:
            self.change(target, loading=[*report.loading, model])
            loop = asyncio.get_running_loop()
            loop.call_later(self.load_s, self._finish_load, target, body)
        elif body['action'] == 'change_role':
            self.change(target, role=body['role'])

    def _finish_load(self, target: str, body: OrderBody) -> None:
        report = self.reports_by_target[target]
        loading = list(report.loading)
        loading.remove(body['model'])
        models = {**report.models, body['model']: body['version']}
        self.change(target, models=models, loading=loading)


class Node:
    """Control host: its view of the log and its order service."""

    def __init__(self, name: str, cluster: Cluster) -> None:
        """Create a host that runs and does not lead."""
        self.name = name
        self.cluster = cluster
        self.is_leader = False
        self.leader: str | None = None
        self.term = 1
        self._running = asyncio.Event()
        self._running.set()
        self._deposed = asyncio.Event()
        self._missed: list[tuple[int, bytes]] = []
        self._hooks: dict[tuple[str, int], Callable[[], None]] = {}
        self._steps: Counter[str] = Counter()
        self.service = OrderService(
            name,
            self,
            lambda: cluster.fleet,
            self,
            LoopClock(),
        )

    def when(self, step: str, nth: int, hook: Callable[[], None]) -> None:
        """Run a hook at the nth next step of this kind."""
        self._hooks[step, self._steps[step] + nth] = hook

    def freeze(self) -> None:
        """Suspend the host: operations do not return until `thaw`."""
        self._running.clear()

    def thaw(self) -> None:
        """Resume the host and deliver the log entries that it missed."""
        self._running.set()
        for index, command in self._missed:
            self.service.machine.apply(index, command)
        self._missed.clear()
        self.update_leadership()

    def update_leadership(self) -> None:
        """Update whether this host leads."""
        leads = self.cluster.leader == self.name
        if leads == self.is_leader:
            return
        self.is_leader = leads
        if leads:
            self._deposed.clear()
        else:
            self._deposed.set()
        self._changed(leads)

    def deliver(self, index: int, command: bytes) -> bytes:
        """Apply a committed entry, or queue it while frozen."""
        if not self._running.is_set():
            self._missed.append((index, command))
            return b''
        return self.service.machine.apply(index, command)

    def register_state_machine(self, name: str, machine: object) -> None:
        """Accept the state machine of the service."""

    def on_leadership(self, callback: Callable[[bool], None]) -> None:
        """Store the callback."""
        self._changed = callback

    async def propose(self, machine: str, command: bytes) -> bytes:
        """Commit a command if the cluster has this host as leader."""
        await self._run_step('propose')
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        if self.cluster.leader != self.name:
            await self._deposed.wait()
            raise ProposalUnknownError
        result = self.cluster.commit(self, command)
        await self._run_step('proposed')
        return result

    async def read_barrier(self) -> None:
        """Confirm leadership; without a quorum wait until deposed."""
        await self._run_step('barrier')
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        if self.cluster.leader != self.name:
            await self._deposed.wait()
            raise NotLeaderError(self.leader)
        await self._run_step('barrier_end')

    async def report(self, target: Target, timeout_s: float) -> EngineReport:
        """Return the report of an engine."""
        name = self.cluster.name_of(target)
        await self._run_step('report')
        report = self.cluster.engines.reports_by_target[name]
        await self._run_step('report_end')
        return report

    async def order(
        self,
        target: Target,
        body: OrderBody,
        may_write: Callable[[], bool],
        timeout_s: float,
    ) -> None:
        """Connect, check whether the write is allowed, and write."""
        await self._run_step('order')
        if not may_write():
            raise OrderNotSentError(self.name)
        engines = self.cluster.engines
        engines.receive(self.cluster.name_of(target), body)
        await self._run_step('order_end')
        if engines.rng.random() < engines.lost_answer_share:
            raise OrderLostError(self.name)

    async def close(self) -> None:
        """Do nothing, as there are no connections."""

    async def _run_step(self, step: str) -> None:
        await asyncio.sleep(NETWORK_S)
        self._steps[step] += 1
        self._hooks.pop((step, self._steps[step]), lambda: None)()
        await self._running.wait()


class Cluster:
    """Control hosts with one elected leader at a time."""

    def __init__(self, fleet: Fleet, engines: Engines, names: str) -> None:
        """Create one host for each letter of `names`."""
        self.fleet = fleet
        self.engines = engines
        self.leader = ''
        self.index = 0
        self.nodes_by_name = {name: Node(name, self) for name in names}

    async def start(self) -> None:
        """Start the order service of every host."""
        for node in self.nodes_by_name.values():
            await node.service.start()

    async def stop(self) -> None:
        """Resume and stop every host."""
        for node in self.nodes_by_name.values():
            node.thaw()
            await node.service.stop()

    def elect(self, name: str, *, unaware: str = '') -> None:
        """Change the leader; the host `unaware` is not notified."""
        self.leader = name
        for node in self.nodes_by_name.values():
            if node.name != unaware:
                node.update_leadership()

    def commit(self, proposer: Node, command: bytes) -> bytes:
        """Apply a command at every host."""
        self.index += 1
        results = {
            node.name: node.deliver(self.index, command)
            for node in self.nodes_by_name.values()
        }
        return results[proposer.name]

    def name_of(self, target: Target) -> str:
        """Return the name of a target of the fleet."""
        return target.address


def make_fleet(
    models_by_target: dict[str, list[str]],
    *,
    ignoring: tuple[str, ...] = (),
    sizes_gb: dict[str, float] | None = None,
    used: tuple[str, ...] = (),
    rules: OrderRules | None = None,
    version: str = 'v1',
    min_copies: int = 1,
) -> Fleet:
    """Return a fleet whose targets have their names as addresses."""
    sizes = sizes_gb or {
        model: 1 for models in models_by_target.values() for model in models
    }
    stages = [
        Stage(name=model, service='engines', model=model) for model in used
    ]
    return Fleet(
        fleet=FleetInfo(name='test'),
        models_by_name={
            model: Model(
                version=version,
                size_gb=size,
                min_copies=min_copies,
            )
            for model, size in sizes.items()
        },
        pipelines_by_name={'p': Pipeline(stages=stages)} if stages else {},
        targets_by_name={
            name: Target(
                service='engines',
                data_centre='dc',
                address=name,
                engine=EngineOptions(
                    checks_fencing=name not in ignoring,
                    models=models,
                ),
            )
            for name, models in models_by_target.items()
        },
        rules=Rules(
            orders=rules
            or OrderRules(
                weight_store_gb_per_s=100,
                order_lease_s=LEASE_S,
                order_flight_s=FLIGHT_S,
            ),
        ),
    )
