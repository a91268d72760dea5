"""Beliefs about which targets are cold; performs no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from hornbeamline.helpers.clock import Clock
from hornbeamline.limits._metrics import COLD, COLD_CHANGES
from hornbeamline.limits.const import (
    ANSWER_MARGIN_S,
    LIST_LAG_S,
    NEWER_LIST_S,
    REOPENING_SPREAD_S,
)
from hornbeamline.telemetry import log_event


class WarmupLimits(NamedTuple):
    """How long targets of a service are cold, and what they take then."""

    duration_s: float
    # Requests per second of all hosts together to one cold target.
    requests_per_s: float


class ListedTarget(Protocol):
    """Attributes of a listed target that the beliefs need."""

    @property
    def id(self) -> str:
        """Return the id, which differs for each start of the target."""

    @property
    def service(self) -> str:
        """Return the name of the service that the target belongs to."""

    @property
    def data_centre(self) -> str:
        """Return the name of the target's data centre."""

    @property
    def is_cold(self) -> bool:
        """Return whether the list says that the target is cold."""


class _Entry(NamedTuple):
    """What the last list says about a target."""

    service: str
    data_centre: str
    is_cold: bool


class _Belief(NamedTuple):
    """Evidence that a target is cold."""

    source: str
    until: float
    # A list read at this time or later that says warm ends the belief.
    list_valid_from: float
    # End of the belief as far as calls of this host, or reports of other
    # hosts about theirs, show it; the list shows the rest to every host.
    observed_until: float = -math.inf


class WarmupBeliefs:
    """Track the cold targets of the services that warm up.

    A belief ends when a sufficiently new list or a response says that the
    target is warm, or when nothing has repeated it for the duration of the
    warm-up plus a margin. State is kept for such services only.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without services that warm up.

        `clock` must also advance while the host is suspended.
        """
        self._clock = clock
        self.warmups_by_service: Mapping[str, WarmupLimits] = {}
        self._entries_by_id: dict[str, _Entry] = {}
        self.beliefs_by_id: dict[str, _Belief] = {}
        # When the newest list was read.
        self._read_at = -math.inf

    def update_services(
        self, warmups_by_service: Mapping[str, WarmupLimits]
    ) -> None:
        """Replace the services that warm up, from a newer document."""
        self.warmups_by_service = dict(warmups_by_service)

    def rate_of(self, target: str) -> float:
        """Return the requests per second of a target; infinite if warm."""
        belief = self.beliefs_by_id.get(target)
        if belief is None or belief.until <= self._clock.monotonic():
            return math.inf
        warmup = self._warmup_of(target)
        return math.inf if warmup is None else warmup.requests_per_s

    def cold_services(self) -> frozenset[str]:
        """Return the services with targets that are believed cold."""
        return frozenset(map(self.service_of, self.beliefs_by_id))

    def observed_left_s(self, target: str) -> float:
        """Return how long calls show that a target stays cold; 0 if not.

        Excludes what other hosts know without being told.
        """
        belief = self.beliefs_by_id.get(target)
        if belief is None or self.rate_of(target) == math.inf:
            return 0
        return max(belief.observed_until - self._clock.monotonic(), 0)

    def observed(self) -> dict[str, float]:
        """Return how long targets stay cold as calls have shown, in seconds.

        Drops the beliefs whose time is over, also without a list.
        """
        if self.beliefs_by_id:
            self._end_beliefs(-math.inf)
        left_by_target = {
            target: self.observed_left_s(target)
            for target in self.beliefs_by_id
        }
        return {
            target: left_s
            for target, left_s in left_by_target.items()
            if left_s
        }

    def service_of(self, target: str) -> str:
        """Return the service of a listed target; empty if not known."""
        entry = self._entries_by_id.get(target)
        return '' if entry is None else entry.service

    def note_listed(
        self, targets: Iterable[ListedTarget], read_at: float
    ) -> None:
        """Apply a list that was read at `read_at`."""
        if not self.warmups_by_service and not self._entries_by_id:
            return
        self._read_at = max(self._read_at, read_at)
        before = self._entries_by_id
        self._entries_by_id = {
            target.id: _Entry(
                target.service, target.data_centre, target.is_cold
            )
            for target in targets
            if target.service in self.warmups_by_service
        }
        for listed, entry in self._entries_by_id.items():
            if entry.is_cold:
                self._note_listed_cold(listed, read_at)
            elif listed not in before:
                self._believe(
                    listed,
                    'first_list',
                    self._longest_s(listed),
                    read_at + NEWER_LIST_S,
                )
        self._end_beliefs(read_at)

    def note_confirmed(self, read_at: float) -> None:
        """Apply that the list was unchanged when it was read at `read_at`."""
        self._read_at = max(self._read_at, read_at)
        for target in tuple(self.beliefs_by_id):
            entry = self._entries_by_id.get(target)
            if entry is not None and entry.is_cold:
                self._note_listed_cold(target, read_at)
        self._end_beliefs(read_at)

    def note_answer(
        self,
        target: str,
        left_s: float,
        *,
        was_permitted: bool,
    ) -> bool:
        """Record what a response says; return whether the belief is new.

        Zero ends the belief if the request had a permit; without one the
        request was sent before the target was believed cold.
        """
        warmup = self._warmup_of(target)
        if warmup is None or not left_s >= 0:
            return False
        if left_s:
            bounded_s = min(left_s, warmup.duration_s) + ANSWER_MARGIN_S
            return self._observe(
                target,
                'answer',
                bounded_s,
                self._clock.monotonic() + LIST_LAG_S,
            )
        if was_permitted:
            self._end(target, 'answer')
        return False

    def note_unreachable(self, target: str) -> bool:
        """Record a refused connection; return whether the belief is new."""
        if self._warmup_of(target) is None:
            return False
        return self._observe(
            target,
            'refused',
            self._longest_s(target),
            self._clock.monotonic() + LIST_LAG_S,
        )

    def note_reopened(self, data_centre: str) -> None:
        """Record the end of the evacuation of a data centre.

        Hosts learn of it and targets restart at slightly different times,
        so a list needs to be newer than after other evidence.
        """
        list_valid_from = (
            self._clock.monotonic() + LIST_LAG_S + REOPENING_SPREAD_S
        )
        for target, entry in self._entries_by_id.items():
            if entry.data_centre == data_centre:
                self._believe(
                    target,
                    'reopened',
                    self._longest_s(target),
                    list_valid_from,
                )

    def note_reported(self, target: str, left_s: float) -> None:
        """Record what a call of another host shows, as the granter."""
        if self._warmup_of(target) is not None and left_s > 0:
            longest_s = self._longest_s(target)
            self._observe(
                target,
                'report',
                min(left_s, longest_s),
                _list_valid_from(self._clock, left_s, longest_s),
            )

    def note_shared(self, left_by_target: Mapping[str, float]) -> None:
        """Record how long targets stay cold as their granter knows."""
        for target, left_s in left_by_target.items():
            if self._warmup_of(target) is not None and left_s > 0:
                longest_s = self._longest_s(target)
                self._believe(
                    target,
                    'granter',
                    min(left_s, longest_s),
                    _list_valid_from(self._clock, left_s, longest_s),
                )

    def _warmup_of(self, target: str) -> WarmupLimits | None:
        return self.warmups_by_service.get(self.service_of(target))

    def _longest_s(self, target: str) -> float:
        """Return how long a target may stay cold without a repetition."""
        warmup = self._warmup_of(target)
        return LIST_LAG_S if warmup is None else warmup.duration_s + LIST_LAG_S

    def _note_listed_cold(self, target: str, read_at: float) -> None:
        self._believe(
            target,
            'list',
            self._longest_s(target) - (self._clock.monotonic() - read_at),
            read_at + NEWER_LIST_S,
        )

    def _observe(
        self,
        target: str,
        source: str,
        left_s: float,
        list_valid_from: float,
    ) -> bool:
        now = self._clock.monotonic()
        is_new = self._believe(target, source, left_s, list_valid_from)
        belief = self.beliefs_by_id.get(target)
        if belief is None:
            return False
        is_unobserved = belief.observed_until <= now
        self.beliefs_by_id[target] = belief._replace(
            observed_until=max(belief.observed_until, now + left_s),
        )
        return is_new or is_unobserved

    def _believe(
        self,
        target: str,
        source: str,
        left_s: float,
        list_valid_from: float,
    ) -> bool:
        """Extend or begin a belief; return whether it has begun."""
        was_warm = self.rate_of(target) == math.inf
        is_contradicted = (
            not self._entries_by_id[target].is_cold
            and self._read_at >= list_valid_from
        )
        if was_warm and (left_s <= 0 or is_contradicted):
            # A list that was read long ago, or evidence older than the list.
            return False
        until = self._clock.monotonic() + left_s
        known = self.beliefs_by_id.get(target)
        if known is None or was_warm:
            self.beliefs_by_id[target] = _Belief(source, until, list_valid_from)
        else:
            self.beliefs_by_id[target] = known._replace(
                until=max(known.until, until),
                list_valid_from=max(known.list_valid_from, list_valid_from),
            )
        if was_warm:
            self._log_change('cold', target, source, left_s)
        return was_warm

    def _end_beliefs(self, read_at: float) -> None:
        """End the beliefs that a list read at `read_at` or time ends."""
        now = self._clock.monotonic()
        for target, belief in tuple(self.beliefs_by_id.items()):
            entry = self._entries_by_id.get(target)
            if entry is None or self._warmup_of(target) is None:
                self._end(target, 'unlisted')
            elif belief.until <= now:
                self._end(target, 'expired')
            elif not entry.is_cold and read_at >= belief.list_valid_from:
                self._end(target, 'list')

    def _end(self, target: str, source: str) -> None:
        belief = self.beliefs_by_id.pop(target, None)
        if belief is not None:
            left_s = belief.until - self._clock.monotonic()
            self._log_change('warm', target, source, left_s)

    def _log_change(
        self, state: str, target: str, source: str, left_s: float
    ) -> None:
        log_event(
            f'warmup.{state}',
            target=target,
            service=self.service_of(target),
            source=source,
            left_s=left_s,
        )
        COLD_CHANGES.labels(state, source).inc()
        COLD.set(len(self.beliefs_by_id))


def _list_valid_from(clock: Clock, left_s: float, longest_s: float) -> float:
    """Return from when a list shows what another host has observed.

    Without this, hosts that have not read the newest list repeat a belief to
    those in which the list has ended it.
    """
    observed_ago_s = max(longest_s - left_s, 0)
    return clock.monotonic() - observed_ago_s + LIST_LAG_S
