"""The grant of this host and the proof that it still holds."""

from __future__ import annotations

import asyncio

from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.inventory import OrderRules
from hornbeamline.orders._machine import GrantCommand, GrantState, OrderMachine
from hornbeamline.orders.const import CLOCK_DRIFT, MACHINE_NAME
from hornbeamline.replog import NotLeaderError, ReplicatedLog


class Grant:
    """One grant, from its commit until leadership cannot be proven."""

    def __init__(
        self,
        granted: GrantState,
        rules: OrderRules,
        clock: Clock,
    ) -> None:
        """Take the committed grant and the rules it was asked with."""
        self.fencing = granted.fencing
        self.lease_s = rules.order_lease_s
        self.flight_s = rules.order_flight_s
        self._clock = clock
        # Earlier order givers are out by then: their last proof is older
        # than this grant, and their last order in flight has ended.
        wait_s = max(granted.predecessor_wait_s, granted.own_wait_s)
        self._settled_at = clock.monotonic() + wait_s * (1 + CLOCK_DRIFT)
        self._proven_at: float | None = None
        self._revoked = False

    @property
    def is_revoked(self) -> bool:
        """Return whether the grant has ended."""
        return self._revoked

    def revoke(self) -> None:
        """End the grant."""
        self._revoked = True

    def is_settled(self) -> bool:
        """Return whether no earlier order can still take effect."""
        return self._clock.monotonic() >= self._settled_at

    def may_write(self, *, only_settled: bool) -> bool:
        """Return whether an order may be written now."""
        if self._revoked or self._proven_at is None:
            return False
        if only_settled and not self.is_settled():
            return False
        return self._clock.monotonic() < self._proven_at + self.lease_s

    async def prove(self, log: ReplicatedLog, machine: OrderMachine) -> None:
        """Prove leadership by a quorum; raises `NotLeaderError`.

        The lease counts from before the read barrier: a successor is
        elected after the quorum's answer, hence after that moment.
        """
        asked_at = self._clock.monotonic()
        async with asyncio.timeout(self.lease_s):
            await log.read_barrier()
        if machine.grant.fencing != self.fencing:
            raise NotLeaderError(log.leader)
        self._proven_at = asked_at


async def take_grant(
    log: ReplicatedLog,
    holder: str,
    rules: OrderRules,
    clock: Clock,
) -> Grant:
    """Take the grant through the log; raises `ReplicatedLogError`."""
    asked = GrantCommand(holder, rules.order_lease_s, rules.order_flight_s)
    answer = await log.propose(MACHINE_NAME, encode(asked))
    return Grant(decode(answer, GrantState), rules, clock)
