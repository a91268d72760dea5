"""Targets of the platform's list, with what was seen of them."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Iterable

from hornbeamline.gateway._metrics import KEPT_AWAY
from hornbeamline.gateway._types import AnswerHead, Target
from hornbeamline.gateway.errors import TargetGoneError
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import encode
from hornbeamline.membership import TargetStandings
from hornbeamline.telemetry import log_event


class TargetDirectory:
    """The last readable list of targets.

    A target that is leaving, by the list or its own word, or gone from the
    list gets no new work. One that asked for a pause gets none until its
    end.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a list."""
        self._clock = clock
        self.read_at: float | None = None
        self.on_first_list: Callable[[], None] | None = None
        # Equal on all hosts with the same list; empty without one.
        self.digest = b''
        self.standings = TargetStandings(clock)
        # Limits that targets named in their last answer to this host.
        self._limits_by_target: dict[str, float] = {}
        self._targets_by_service: dict[str, list[Target]] = {}
        self._targets_by_id: dict[str, Target] = {}
        self._targets_by_address: dict[str, Target] = {}

    @property
    def is_known(self) -> bool:
        """Return whether a list has been read."""
        return self.read_at is not None

    @property
    def age_s(self) -> float:
        """Return the age of the list in seconds."""
        if self.read_at is None:
            return 0
        return self._clock.monotonic() - self.read_at

    def now(self) -> float:
        """Return the clock that `read_at` is told by, in seconds."""
        return self._clock.monotonic()

    def targets(self) -> list[Target]:
        """Return all targets of the list, those that leave included."""
        return list(self._targets_by_id.values())

    def confirm(self, digest: bytes, read_at: float) -> bool:
        """Note that the list was still the same at a later time.

        Returns whether a list with this digest is held.
        """
        if digest != self.digest or self.read_at is None:
            return False
        self.read_at = max(self.read_at, read_at)
        self.standings.take_listed(self._targets_by_id.keys())
        return True

    def check_before_send(self, target: Target) -> None:
        """Raise `TargetGoneError` if a target takes no work any more.

        The news may come while the connection is being opened.
        """
        if not self.standings.accepts_work(target.id):
            KEPT_AWAY.inc()
            raise TargetGoneError(f'{target.id}: leaves or rests')

    def note_answer(self, target: Target, head: AnswerHead) -> None:
        """Take what a target says of itself in an answer."""
        if head.is_leaving:
            self.standings.note_leaving(target.id)
        if head.rest_s is not None:
            self.standings.note_rest(target.id, head.rest_s)
        if head.limit_per_s is not None:
            self._note_limit(target, head.limit_per_s)

    def take_list(
        self,
        targets: Iterable[Target],
        read_at: float | None = None,
    ) -> None:
        """Replace the list, unless it is older than the one that is held.

        `read_at` is when the list was read, now by default.
        """
        at = self.now() if read_at is None else read_at
        if self.read_at is not None and at < self.read_at:
            return
        known = {target.id: target for target in targets}
        is_first = not self.is_known
        if is_first:
            log_event('targets.first_list', entries=len(known))
        else:
            self._log_changes(known)
        self.read_at = at
        self.digest = _digest(known.values())
        self.standings.take_listed(known.keys())
        by_service: dict[str, list[Target]] = {}
        for listed in known.values():
            if not listed.is_leaving:
                by_service.setdefault(listed.service, []).append(listed)
        for group in by_service.values():
            group.sort()
        for gone in self._limits_by_target.keys() - known.keys():
            self._limits_by_target.pop(gone)
        self._targets_by_id = known
        self._targets_by_service = by_service
        self._targets_by_address = {
            target.address: target for target in known.values()
        }
        if is_first and self.on_first_list is not None:
            self.on_first_list()

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that take new work."""
        accepts_work = self.standings.accepts_work
        return [
            target
            for target in self._targets_by_service.get(service, [])
            if accepts_work(target.id)
        ]

    def rest_left_s(self, service: str) -> float | None:
        """Return in how many seconds a target of a service takes work.

        0 when one does now, None when all are leaving or gone.
        """
        left_s = min(
            (
                self.standings.rest_left_s(target.id)
                for target in self._targets_by_service.get(service, [])
            ),
            default=math.inf,
        )
        return None if left_s == math.inf else left_s

    def at_address(self, address: str) -> Target | None:
        """Return the listed target at an address."""
        return self._targets_by_address.get(address)

    def _note_limit(self, target: Target, limit_per_s: float) -> None:
        before = self._limits_by_target.get(target.id, math.inf)
        if limit_per_s == before:
            return
        if limit_per_s == math.inf:
            self._limits_by_target.pop(target.id)
        else:
            self._limits_by_target[target.id] = limit_per_s
        log_event(
            'targets.limit_named',
            target=target.id,
            service=target.service,
            limit_per_s=limit_per_s,
            previous_per_s=before,
        )

    def _log_changes(self, known: dict[str, Target]) -> None:
        before = self._targets_by_id
        for target_id, target in known.items():
            old = before.get(target_id)
            if old is None or old.is_leaving != target.is_leaving:
                log_event(
                    'targets.changed',
                    target=target_id,
                    service=target.service,
                    leaving=target.is_leaving,
                    list_age_s=self.age_s,
                )
        for gone in before.keys() - known.keys():
            log_event('targets.gone', target=gone, list_age_s=self.age_s)


def _digest(targets: Iterable[Target]) -> bytes:
    return hashlib.blake2b(encode(sorted(targets)), digest_size=8).digest()
