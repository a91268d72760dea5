"""Tests of polling load and cache events."""

from __future__ import annotations

import asyncio
import random

from hornbeamline.decisions import LoadReport
from hornbeamline.inventory import ServiceKind
from hornbeamline.targets import TargetClient, prefix_digest
from hornbeamline.targets.pollers import TargetPoller
from tests.serving import fleet_with, serving, until


class Recorder:
    """Records what the poller reports to the decision engine."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.loads: dict[str, LoadReport] = {}
        self.prefixes: list[tuple[str, str, bool]] = []

    def load_reported(self, target: str, report: LoadReport) -> None:
        """Record a load report."""
        self.loads[target] = report

    def prefix_cached(self, target: str, prefix: str, *, held: bool) -> None:
        """Record a cache event."""
        self.prefixes.append((target, prefix, held))


async def test_reports_reach_the_decisions_once() -> None:
    """Guards against lost reports and cache events reported twice.

    One target is unreachable throughout, which must not stop the polling of
    the other one.
    """
    async with (
        serving(ServiceKind.generation, name='engine') as engine,
        serving(name='desk') as desk,
    ):
        fleet = fleet_with(
            {'drafting': [engine], 'desk': [desk]},
            {'report': ['drafting', 'desk']},
        )
        await desk.close_listener()
        engine.batch.cache.use('prompt')
        client = TargetClient()
        await client.start()
        recorder = Recorder()
        poller = TargetPoller(
            lambda: fleet,
            client,
            recorder,
            random.Random(1),
        )
        await poller.start()
        await until(lambda: recorder.loads and recorder.prefixes)
        # Time for about three more polls, which must not report the event
        # again.
        await asyncio.sleep(0.9)
        await poller.stop()
        await client.stop()
    assert set(recorder.loads) == {'engine'}
    assert recorder.loads['engine'].age_s >= 0
    assert recorder.prefixes == [('engine', prefix_digest('prompt')[0], True)]
