"""Executes the orders of operators through the leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeVar

from hornbeamline.control_link import LeaderServer
from hornbeamline.evacuations._machine import (
    MACHINE_NAME,
    EvacuationMachine,
    EvacuationOrder,
    EvacuationState,
)
from hornbeamline.evacuations._messages import (
    ChangeEvacuations,
    ChangeReply,
    ReadEvacuations,
    ReadReply,
)
from hornbeamline.evacuations._metrics import ORDERS
from hornbeamline.evacuations.const import MAX_LOGGED_NAME, ORDER_TIMEOUT_S
from hornbeamline.evacuations.errors import (
    EvacuationUnavailableError,
    UnknownDataCentreError,
)
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.replog import ReplicatedLog
from hornbeamline.telemetry import log_event

_STATUS_OK: Final = 'ok'
_OUTCOME_UNAVAILABLE: Final = 'unavailable'

_ReplyT = TypeVar('_ReplyT')


class EvacuationService:
    """Starts, ends and reads evacuations; runs on every control process."""

    def __init__(
        self,
        log: ReplicatedLog,
        server: LeaderServer,
        machine: EvacuationMachine,
        is_listed: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Register the state machine and the handlers of the leader.

        `is_listed` tells whether a data centre is in the settings or in the
        list of targets; it raises `EvacuationUnavailableError` if it cannot
        tell. `clock` must also advance while the host is suspended. Must run
        before the log starts.
        """
        self._log = log
        self._server = server
        self.machine = machine
        self._is_listed = is_listed
        self._clock = clock
        log.register_state_machine(MACHINE_NAME, machine)
        machine.is_confirmed = log.is_state_confirmed
        log.on_state_confirmed(machine.announce)
        server.register_handler(ChangeEvacuations, self._on_change)
        server.register_handler(ReadEvacuations, self._on_read)

    async def start(
        self, data_centre: str, is_waiting: Callable[[], bool]
    ) -> EvacuationState:
        """Evacuate a data centre; return the committed state.

        `is_waiting` tells whether the caller is still connected. Raises
        `UnknownDataCentreError` (nothing has changed) and
        `EvacuationUnavailableError` (the order may still take effect).
        """
        return await self._execute(data_centre, is_waiting, is_start=True)

    async def end(
        self, data_centre: str, is_waiting: Callable[[], bool]
    ) -> EvacuationState:
        """End the evacuation of a data centre; see `start`."""
        return await self._execute(data_centre, is_waiting, is_start=False)

    async def read(self) -> EvacuationState:
        """Return the newest state; raises `EvacuationUnavailableError`."""
        return (await self._read()).state

    async def _execute(
        self,
        data_centre: str,
        is_waiting: Callable[[], bool],
        *,
        is_start: bool,
    ) -> EvacuationState:
        order = EvacuationOrder(data_centre, is_start, 0)
        began = self._clock.monotonic()
        try:
            state = await self._commit(order, is_waiting)
        except UnknownDataCentreError:
            self._record(order, 'unknown', began)
            raise
        except EvacuationUnavailableError as error:
            self._record(order, _OUTCOME_UNAVAILABLE, began, str(error))
            raise
        self._record(order, 'acknowledged', began)
        return state

    async def _commit(
        self, order: EvacuationOrder, is_waiting: Callable[[], bool]
    ) -> EvacuationState:
        """Propose an order until no other one comes first."""
        began = self._clock.monotonic()
        self._check_known(order.data_centre)
        while True:
            read = await self._read()
            # A late order must not undo one that the caller has sent since.
            if not is_waiting():
                raise EvacuationUnavailableError('the caller has left')
            if self._clock.monotonic() - began > ORDER_TIMEOUT_S:
                raise EvacuationUnavailableError('the order is late')
            reply = await self._call_leader(
                ChangeEvacuations(
                    order._replace(after_order=read.order_number)
                ),
                ChangeReply,
            )
            if reply.is_accepted:
                return reply.state
            ORDERS.labels('conflict').inc()

    def _check_known(self, data_centre: str) -> None:
        # Targets of an evacuated data centre may all have left the list.
        if data_centre in self.machine.current.data_centres:
            return
        if not self._is_listed(data_centre):
            raise UnknownDataCentreError('no data centre has this name')

    def _record(
        self,
        order: EvacuationOrder,
        outcome: str,
        began: float,
        error: str = '',
    ) -> None:
        ORDERS.labels(outcome).inc()
        log_event(
            'evacuations.order',
            data_centre=order.data_centre[:MAX_LOGGED_NAME],
            order='start' if order.is_start else 'end',
            outcome=outcome,
            error=error,
            took_s=self._clock.monotonic() - began,
        )

    async def _read(self) -> ReadReply:
        return await self._call_leader(ReadEvacuations(), ReadReply)

    async def _call_leader(
        self,
        request: ChangeEvacuations | ReadEvacuations,
        reply_type: type[_ReplyT],
    ) -> _ReplyT:
        reply = await self._server.submit(request)
        if reply.status != _STATUS_OK:
            raise EvacuationUnavailableError(
                f'the leader did not answer ({reply.status})',
            )
        return decode(reply.body, reply_type)

    async def _on_change(self, request: ChangeEvacuations) -> ChangeReply:
        outcome = await self._log.propose(MACHINE_NAME, encode(request.order))
        return decode(outcome, ChangeReply)

    async def _on_read(self, _request: ReadEvacuations) -> ReadReply:
        await self._log.read_barrier()
        machine = self.machine
        return ReadReply(machine.order_number, machine.current)
