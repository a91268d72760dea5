"""Due times of the pieces of stages."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from hornbeamline.batching import PieceTerms
from hornbeamline.gateway import StageRunner, VersionBinding
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._stages import ENGINE_START_S
from hornbeamline.helpers.clock import ManualClock
from tests.gateway.builders import (
    CHAIN,
    make_request,
    make_route,
    make_table,
    open_guard,
)


class RecordingBatching:
    """Batching service that finishes immediately and records the terms."""

    def __init__(self) -> None:
        self.terms: list[PieceTerms] = []

    async def compute(
        self,
        _service: str,
        pieces: list[Any],
        terms: PieceTerms,
        _on_fetched: Any,
    ) -> list[str]:
        """Return a handle for each piece."""
        self.terms.append(terms)
        return [f't/{number}' for number, _ in enumerate(pieces)]

    def release(self, service: str, handles: list[str]) -> None:
        """Ignore the release."""


@pytest.fixture
async def terms() -> list[PieceTerms]:
    """Return the terms of both stages of a new request."""
    batching: Any = RecordingBatching()
    placement: Any = SimpleNamespace(preferred_data_centre=lambda *_: '')
    clock = ManualClock()
    route = make_route(stages=CHAIN)
    job = Job(
        make_request(pieces_by_stage=(1, 4), received_at=clock.monotonic()),
        b'',
        route,
        'service',
        None,
        0,
        clock.monotonic() + 15.0,
        [],
        {},
        lambda: None,
        open_guard(),
        VersionBinding(),
    )
    runner = StageRunner(batching, lambda _rank: {}, placement, clock)
    await runner.run(job, make_table(route))
    return batching.terms


# Failure: under overload, each request met the due time of its last stage but
# reached its engine when its aim had passed, so that its response was late.
async def test_last_stage_is_due_before_the_engine_needs_its_time(
    terms: list[PieceTerms],
) -> None:
    """Load: with queues, each stage is computed only when it is due."""
    assert terms[1].due_s == pytest.approx(
        make_route().aim_s - ENGINE_START_S,
    )
    assert terms[0].due_s < terms[1].due_s
