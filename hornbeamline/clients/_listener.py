"""Terms that all connections of one listener share."""

from __future__ import annotations

import asyncio
from typing import Final

from hornbeamline.clients._budget import ClientBudget, Share
from hornbeamline.clients._interface import HeadChecks, HeadRefusal
from hornbeamline.clients._log import LimitedLog
from hornbeamline.clients._metrics import (
    CLOSED,
    CONNECTIONS,
    HELD_BYTES,
    REFUSED,
)
from hornbeamline.helpers.clock import SystemClock

# Time between two searches for connections whose time is over.
_SWEEP_S: Final = 0.5
# Limits for applications that have lower ones of their own.
_LENIENT_BODY_BYTES: Final = 8_388_608
_LENIENT_HEAD_BYTES: Final = 65_536


class ListenerTerms:
    """Budget, checks and reports of a listener."""

    def __init__(
        self,
        budget: ClientBudget,
        checks: HeadChecks,
        *,
        reads_whole: bool,
    ) -> None:
        """Initialize with what decides about requests.

        With `reads_whole`, the application gets a request only once its body
        has arrived, so that a refusal before that has run nothing. Without,
        the application limits bodies and their time itself.
        """
        self.budget = budget
        self.checks = checks
        self.reads_whole = reads_whole
        self._log = LimitedLog(SystemClock())
        self._timer: asyncio.TimerHandle | None = None

    @property
    def max_body_bytes(self) -> int:
        """Return the largest size of a body."""
        limit = self.budget.requests.max_body_bytes
        return limit if self.reads_whole else max(limit, _LENIENT_BODY_BYTES)

    @property
    def max_header_bytes(self) -> int:
        """Return the largest size of a head, and of what surrounds chunks."""
        limit = self.budget.requests.max_header_bytes
        return limit if self.reads_whole else max(limit, _LENIENT_HEAD_BYTES)

    def arm(self) -> None:
        """Look for connections whose time is over while there are any."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_SWEEP_S, self._sweep)

    def note_refused(self, refusal: HeadRefusal, share: Share) -> None:
        """Count and log a request that is refused while it arrives."""
        REFUSED.labels(str(refusal.status), refusal.reason).inc()
        self._log.write(
            'clients.refused',
            refusal.reason,
            status=refusal.status,
            client=share.client,
            address=share.address,
            held_bytes=self.budget.used,
            connections=self.budget.connections,
        )

    def note_closed(self, reason: str, share: Share) -> None:
        """Count a connection that is closed; log those closed for others."""
        CLOSED.labels(reason).inc()
        if reason != 'idle':
            self._log.write(
                'clients.closed',
                reason,
                address=share.address,
                unread_bytes=share.unread,
                held_bytes=self.budget.used,
                connections=self.budget.connections,
            )

    def _sweep(self) -> None:
        self._timer = None
        self.budget.drop_expired()
        CONNECTIONS.set(self.budget.connections)
        HELD_BYTES.set(self.budget.used)
        if self.budget.connections:
            self.arm()
