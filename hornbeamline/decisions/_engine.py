"""Facade that executors and benches call."""

from __future__ import annotations

import random

from hornbeamline.decisions._types import (
    CallReport,
    Decided,
    DecisionSettings,
    Dispatch,
    LoadReport,
    Refusal,
    RequestInfo,
    StageCall,
)
from hornbeamline.helpers.clock import Clock
from hornbeamline.inventory import Fleet, TargetState


class DecisionEngine:
    """Decides for one entry host; keeps no task and no timer."""

    def __init__(
        self,
        settings: DecisionSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Take the host's place, its time source and random source."""
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._fleet: Fleet | None = None
        self._dispatch_id = 0
        self._in_flight_by_target: dict[str, int] = {}
        self._unavailable: frozenset[str] = frozenset()

    def update_fleet(self, fleet: Fleet) -> None:
        """Take a new revision of inventory and rules."""
        self._fleet = fleet

    def update_unavailable(self, targets: frozenset[str]) -> None:
        """Take the targets that get no new work, by membership."""
        self._unavailable = targets

    def admit(self, request: RequestInfo) -> Refusal | None:
        """Admit a request, or refuse it at once.

        Each admitted request is ended by `finish_request`.
        """
        if request.deadline_at <= self._clock.monotonic():
            return Refusal('deadline_exceeded', 1)
        return None

    def finish_request(self, request: RequestInfo) -> None:
        """End an admitted request."""

    def submit(self, call: StageCall, decided: Decided) -> None:
        """Ask for a dispatch; `decided` is called once, now or later.

        A later answer comes from inside `finished`, `tick`,
        `update_fleet` or `update_unavailable`.
        """
        target = self._choose(call)
        if target is None:
            decided(Refusal('no_target', 1))
            return
        self._dispatch_id += 1
        self._in_flight_by_target[target] = self.in_flight(target) + 1
        remaining_s = call.request.deadline_at - self._clock.monotonic()
        decided(Dispatch(self._dispatch_id, call, target, remaining_s))

    def withdraw(self, call: StageCall) -> None:
        """Forget a submitted call that has no decision yet."""

    def finished(self, dispatch: Dispatch, report: CallReport) -> None:
        """Record the end of a dispatched call; ends it exactly once."""
        self._in_flight_by_target[dispatch.target] -= 1

    def first_token(self, dispatch: Dispatch, duration_s: float) -> None:
        """Record the time to the first token of a stream."""

    def hedge_delay_s(self, dispatch: Dispatch) -> float | None:
        """Return when to ask for a hedge, or None for never."""
        return None

    def take_hedge(self, dispatch: Dispatch) -> bool:
        """Return whether the budget allows a hedge now, and spend it."""
        return False

    def retry_delay_s(
        self,
        dispatch: Dispatch,
        report: CallReport,
    ) -> float | Refusal:
        """Return the wait before another attempt, or why there is none.

        The budget is spent when a delay is returned.
        """
        return Refusal('retry_budget_exhausted', 1)

    def load_reported(self, target: str, report: LoadReport) -> None:
        """Take a load report of a target."""

    def prefix_cached(self, target: str, prefix: str, *, held: bool) -> None:
        """Take a cache event of an engine; events are late and lossy."""

    def tick(self) -> float | None:
        """Expire queued calls; return seconds until the next tick."""
        return None

    def in_flight(self, target: str) -> int:
        """Return this host's calls in progress at a target."""
        return self._in_flight_by_target.get(target, 0)

    def _choose(self, call: StageCall) -> str | None:
        if self._fleet is None:
            return None
        pipeline = self._fleet.pipelines_by_name[call.request.pipeline]
        service = pipeline.stages[call.stage_index].service
        usable = [
            name
            for name, target in self._fleet.targets_of(service).items()
            if target.state is TargetState.live
            and name not in self._unavailable
            and name not in call.excluded
        ]
        if not usable:
            return None
        sample = self._rng.sample(usable, min(2, len(usable)))
        return min(sample, key=self.in_flight)
