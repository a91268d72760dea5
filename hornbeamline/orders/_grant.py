"""Grant of this host to send orders, and proof of its validity."""

from __future__ import annotations

import asyncio

from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.inventory import OrderRules
from hornbeamline.orders._machine import GrantCommand, GrantState, OrderMachine
from hornbeamline.orders.const import MACHINE_NAME, MAX_CLOCK_DRIFT
from hornbeamline.replog import NotLeaderError, ReplicatedLog


class Grant:
    """Grant that is valid while this host can prove its leadership."""

    def __init__(
        self,
        granted: GrantState,
        rules: OrderRules,
        clock: Clock,
    ) -> None:
        """Create a grant from its committed state and requested rules."""
        self.fencing = granted.fencing
        self.lease_s = rules.order_lease_s
        self.flight_s = rules.order_flight_s
        self._clock = clock
        # After this wait, earlier holders can no longer send: their last
        # proof is older than this grant, and their last order in flight has
        # ended.
        wait_s = max(granted.predecessor_wait_s, granted.own_wait_s)
        self._settled_at = clock.monotonic() + wait_s * (1 + MAX_CLOCK_DRIFT)
        self._proven_at: float | None = None
        self._revoked = False

    @property
    def is_revoked(self) -> bool:
        """Return whether the grant was revoked."""
        return self._revoked

    def revoke(self) -> None:
        """Revoke the grant; no further order may be written."""
        self._revoked = True

    def is_settled(self) -> bool:
        """Return whether no order of an earlier grant can still take effect."""
        return self._clock.monotonic() >= self._settled_at

    def may_write(self, *, only_settled: bool) -> bool:
        """Return whether an order may be written now.

        With `only_settled`, also requires that the grant is settled.
        """
        if self._revoked or self._proven_at is None:
            return False
        if only_settled and not self.is_settled():
            return False
        return self._clock.monotonic() < self._proven_at + self.lease_s

    async def prove(self, log: ReplicatedLog, machine: OrderMachine) -> None:
        """Prove leadership to extend the lease.

        The lease starts before the read barrier: a successor is elected
        only after the quorum has answered, and so after that moment. Raises
        `NotLeaderError`, or `TimeoutError` without an answer within the
        lease.
        """
        started_at = self._clock.monotonic()
        async with asyncio.timeout(self.lease_s):
            await log.read_barrier()
        if machine.grant.fencing != self.fencing:
            raise NotLeaderError(log.leader)
        self._proven_at = started_at


async def take_grant(
    log: ReplicatedLog,
    holder: str,
    rules: OrderRules,
    clock: Clock,
) -> Grant:
    """Request a grant from the log; raises `ReplicatedLogError`."""
    command = GrantCommand(holder, rules.order_lease_s, rules.order_flight_s)
    answer = await log.propose(MACHINE_NAME, encode(command))
    return Grant(decode(answer, GrantState), rules, clock)
