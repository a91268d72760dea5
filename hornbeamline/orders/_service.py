"""Service that sends orders while this host leads the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamline.core import TaskSet
from hornbeamline.exceptions import OrderError, ReplicatedLogError
from hornbeamline.helpers.clock import MS_PER_S, Clock
from hornbeamline.inventory import Fleet, OrderRules
from hornbeamline.orders._bucket import WeightBudget
from hornbeamline.orders._client import EngineClient
from hornbeamline.orders._grant import Grant, take_grant
from hornbeamline.orders._machine import OrderMachine
from hornbeamline.orders._messages import (
    EngineReport,
    Order,
    OrderBody,
    OrderKey,
)
from hornbeamline.orders._metrics import GRANTS, HELD, ORDERS, WEIGHTS_GB
from hornbeamline.orders._plan import (
    EngineView,
    has_effect,
    is_managed,
    plan_orders,
)
from hornbeamline.orders.const import (
    ACTION_LOAD_ADAPTER,
    EFFECT_TIMEOUT_S,
    EXPIRY_SHARE,
    GRANT_RETRY_DELAY_S,
    MACHINE_NAME,
    MAX_CONCURRENT_CALLS,
    REPORT_TIMEOUT_S,
    RETRY_DELAY_S,
)
from hornbeamline.orders.errors import (
    EngineUnreadableError,
    OrderNotSentError,
    OrderRefusedError,
    StaleFencingError,
)
from hornbeamline.replog import ReplicatedLog
from hornbeamline.telemetry import log_event

_RESULT_ACCEPTED: Final = 'accepted'
_FOREVER: Final = float('inf')


class OrderService:
    """Reconciles engines with the state that the inventory wants.

    Runs on every control host and acts only on the leader. Construction
    registers the state machine with the log, so it must precede the start of
    the log.
    """

    def __init__(
        self,
        name: str,
        log: ReplicatedLog,
        fleet: Callable[[], Fleet],
        client: EngineClient,
        clock: Clock,
        unavailable: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Register the state machine with the log.

        `name` is the name of this host. `fleet` returns the current fleet,
        and `unavailable` the targets that get no new work.
        """
        self.machine = OrderMachine()
        log.register_state_machine(MACHINE_NAME, self.machine)
        log.on_leadership(self._leadership_changed)
        self._name = name
        self._log = log
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self._unavailable = unavailable
        self._tasks = TaskSet()
        self._leading = asyncio.Event()
        self._grant: Grant | None = None

    async def start(self) -> None:
        """Start the reconciliation loop in the background."""
        if self._log.is_leader:
            self._leading.set()
        self._tasks.keep_running(self._run, 'orders')

    async def stop(self) -> None:
        """Revoke the grant, and stop the loop and the client."""
        self._drop_grant()
        await self._tasks.cancel_all()
        await self._client.close()

    def _leadership_changed(self, leads: bool) -> None:
        if leads:
            self._leading.set()
            return
        self._leading.clear()
        self._drop_grant()

    def _drop_grant(self) -> None:
        if self._grant is not None:
            self._grant.revoke()
            self._grant = None

    async def _run(self) -> None:
        while True:
            await self._leading.wait()
            rules = self._fleet().rules.orders
            try:
                await self._lead(rules)
            except (ReplicatedLogError, TimeoutError) as error:
                log_event('orders.not_proven', error=str(error))
            except StaleFencingError as error:
                log_event('orders.stale', error=str(error))
                self._drop_grant()
                await asyncio.sleep(GRANT_RETRY_DELAY_S)
            except Exception as error:
                # A failed round must not stop the loop permanently.
                log_event('orders.round_failed', error=repr(error))
            self._drop_grant()
            await asyncio.sleep(rules.reconcile_interval_s)

    async def _lead(self, rules: OrderRules) -> None:
        grant = await take_grant(self._log, self._name, rules, self._clock)
        if not self._leading.is_set():
            return
        self._grant = grant
        GRANTS.inc()
        log_event('orders.granted', fencing=grant.fencing)
        dispatcher = OrderDispatcher(grant, self._client, self._clock)
        while not grant.is_revoked:
            await grant.prove(self._log, self.machine)
            fleet = self._fleet()
            reports = await dispatcher.read_reports(fleet)
            # Reading the reports may have taken most of the lease.
            await grant.prove(self._log, self.machine)
            await dispatcher.dispatch(fleet, reports, self._unavailable())
            await asyncio.sleep(self._fleet().rules.orders.reconcile_interval_s)


class _Interruption(NamedTuple):
    key: OrderKey
    until: float


class OrderDispatcher:
    """Sends the orders of a single grant."""

    def __init__(
        self,
        grant: Grant,
        client: EngineClient,
        clock: Clock,
    ) -> None:
        """Create a dispatcher with an empty weight store budget."""
        self._grant = grant
        self._client = client
        self._clock = clock
        self._budget = WeightBudget(clock)
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._last_order = 0
        self._blocked_until: dict[OrderKey, float] = {}
        # By target and model, until the order's effect is reported or a
        # timeout.
        self._interruptions: dict[tuple[str, str], _Interruption] = {}

    async def read_reports(self, fleet: Fleet) -> dict[str, EngineReport]:
        """Return the reports of the managed engines that answer."""
        names = [
            name
            for name, target in fleet.targets_by_name.items()
            if is_managed(target)
        ]
        reports = await asyncio.gather(
            *(self._read_report(fleet, name) for name in names),
        )
        return {
            name: report
            for name, report in zip(names, reports, strict=True)
            if report is not None
        }

    async def dispatch(
        self,
        fleet: Fleet,
        reports: dict[str, EngineReport],
        unavailable: frozenset[str],
    ) -> None:
        """Plan and send one round of orders; raises `StaleFencingError`."""
        self._remove_expired(reports)
        # Orders that may still be in flight are not repeated, because the
        # repetition could undo a later order.
        in_flight = {pending.key for pending in self._interruptions.values()}
        plan = plan_orders(
            EngineView(
                fleet,
                reports,
                unavailable,
                frozenset(self._interruptions),
                frozenset(in_flight.union(self._blocked_until)),
            ),
        )
        HELD.set(plan.held)
        rules = fleet.rules.orders
        answers = await asyncio.gather(
            *(
                self._dispatch_one(fleet, order, reports[order.key.target])
                for order in self._admit(plan.orders, fleet, rules)
            ),
            return_exceptions=True,
        )
        for answer in answers:
            if isinstance(answer, BaseException):
                raise answer

    def _admit(
        self,
        orders: list[Order],
        fleet: Fleet,
        rules: OrderRules,
    ) -> list[Order]:
        admitted = []
        budget_left = True
        for order in orders:
            needs_settled = self._needs_settled_grant(fleet, order)
            if needs_settled and not self._grant.is_settled():
                continue
            if order.size_gb:
                # Once a load has to wait, later loads wait too, so that small
                # ones do not starve a large one.
                budget_left = budget_left and self._charge(order, rules)
            if budget_left or not order.size_gb:
                admitted.append(order)
        return admitted

    def _charge(self, order: Order, rules: OrderRules) -> bool:
        if not self._budget.take(order.size_gb, rules):
            return False
        WEIGHTS_GB.inc(order.size_gb)
        return True

    def _needs_settled_grant(self, fleet: Fleet, order: Order) -> bool:
        # An order in flight of an earlier grant may still remove a copy that
        # this plan counts as ready, even when the target of this order checks
        # fencing numbers.
        target = fleet.targets_by_name[order.key.target]
        return bool(order.interrupts) or not target.engine.checks_fencing

    async def _dispatch_one(
        self,
        fleet: Fleet,
        order: Order,
        report: EngineReport,
    ) -> None:
        only_settled = self._needs_settled_grant(fleet, order)
        self._mark_interrupted(order, self._grant.flight_s)
        blocked_s = RETRY_DELAY_S
        try:
            async with self._call_slots:
                await self._client.order(
                    fleet.targets_by_name[order.key.target],
                    self._make_body(order.key),
                    lambda: self._grant.may_write(only_settled=only_settled),
                    self._grant.flight_s,
                )
        except OrderError as error:
            self._record_failure(order, error)
            if isinstance(error, StaleFencingError):
                raise
        else:
            ORDERS.labels(order.key.action, _RESULT_ACCEPTED).inc()
            log_event('orders.accepted', **order.key._asdict())
            self._mark_interrupted(order, EFFECT_TIMEOUT_S)
            blocked_s = self._grant.flight_s
            if order.key.action == ACTION_LOAD_ADAPTER:
                # If the engine does not report adapters, each is loaded once.
                blocked_s = _FOREVER if report.adapters is None else blocked_s
        self._blocked_until[order.key] = self._clock.monotonic() + blocked_s

    def _mark_interrupted(self, order: Order, duration_s: float) -> None:
        until = self._clock.monotonic() + duration_s
        for model in order.interrupts:
            model_copy = (order.key.target, model)
            self._interruptions[model_copy] = _Interruption(order.key, until)

    def _record_failure(self, order: Order, error: OrderError) -> None:
        result = type(error).__name__
        ORDERS.labels(order.key.action, result).inc()
        log_event('orders.failed', error=str(error), **order.key._asdict())
        if isinstance(error, (OrderNotSentError, OrderRefusedError)):
            self._budget.refund(order.size_gb)

    def _make_body(self, key: OrderKey) -> OrderBody:
        self._last_order += 1
        return {
            'fencing': self._grant.fencing,
            'order_id': f'{self._grant.fencing}-{self._last_order}',
            'action': key.action,
            'model': key.model,
            'adapter': key.adapter,
            'version': key.version,
            'role': key.role,
            'expires_in_ms': int(
                self._grant.flight_s * EXPIRY_SHARE * MS_PER_S,
            ),
        }

    async def _read_report(
        self,
        fleet: Fleet,
        name: str,
    ) -> EngineReport | None:
        async with self._call_slots:
            try:
                return await self._client.report(
                    fleet.targets_by_name[name],
                    REPORT_TIMEOUT_S,
                )
            except EngineUnreadableError:
                return None

    def _remove_expired(self, reports: dict[str, EngineReport]) -> None:
        now = self._clock.monotonic()
        for key, until in tuple(self._blocked_until.items()):
            report = reports.get(key.target)
            # An engine that has lost the model has to load its adapters again.
            is_missing = report is not None and key.model not in report.models
            if until <= now or (until == _FOREVER and is_missing):
                self._blocked_until.pop(key)
        for model_copy, interruption in tuple(self._interruptions.items()):
            known = reports.get(interruption.key.target)
            is_effective = known is not None and has_effect(
                interruption.key,
                known,
            )
            if is_effective or interruption.until <= now:
                self._interruptions.pop(model_copy)
