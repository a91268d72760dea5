"""Test of the executor with the real ledger client and service."""

from __future__ import annotations

import random

from msgspec import convert

from hornbeamline.control_link import LeaderServer
from hornbeamline.inventory import EntrySettings
from hornbeamline.ledger import LedgerClient, LedgerService
from hornbeamline.pipeline import OutcomeKind, PipelineExecutor
from hornbeamline.standins import Faults
from tests.local_network import LocalNetwork
from tests.pipeline.support import CLOCK, bench_for, request
from tests.serving import fleet_with, serving
from tests.shared_log import SharedLog


async def test_filing_through_the_ledger() -> None:
    """Guards against an executor and a ledger client that do not match.

    The first request is answered, the answer of the second is lost and the
    third is refused by the target; each is sent twice.
    """
    network = LocalNetwork(random.Random(1))
    log = SharedLog(random.Random(1))
    voter = log.voter('control-1')
    server = LeaderServer(network.endpoint('control-1'), voter)
    service = LedgerService(voter, server, CLOCK)
    settings = convert(
        {
            'host': {'name': 'entry-1', 'data_centre': 'd', 'fleet': 'test'},
            'caller': {'address': '127.0.0.1:1'},
            'peering': {'address': '127.0.0.1:2'},
            'controls_by_name': {'control-1': '127.0.0.1:3'},
        },
        EntrySettings,
    )
    ledger = LedgerClient(settings, network.endpoint('entry-1'), CLOCK)
    log.elect('control-1')
    await service.start()
    await ledger.start()
    outcomes = []
    async with serving() as desk:
        fleet = fleet_with(
            {'desk': [desk]},
            {'file': ['desk']},
            non_repeatable=frozenset(('desk',)),
        )
        async with bench_for(fleet) as bench:
            executor = PipelineExecutor(
                bench.source,
                bench.decisions,
                bench.client,
                CLOCK,
                ledger,
            )
            for key, faults in (
                ('answered', Faults()),
                ('lost', Faults(reset_after_execution=True)),
                ('refused', Faults(refuse=True)),
            ):
                desk.set_faults(faults)
                for _ in range(2):
                    outcome = await executor.run(request('file', key=key))
                    assert await executor.wait_idle(2)
                    outcomes.append((outcome.kind, outcome.reason))
            found = await executor.lookup('cement', 'answered')
        assert desk.executions_by_key == {
            'cement/answered/desk': 1,
            'cement/lost/desk': 1,
        }
    await ledger.stop()
    await service.stop()
    assert outcomes == [
        (OutcomeKind.answered, ''),
        (OutcomeKind.answered, ''),
        (OutcomeKind.unknown, 'target_failed'),
        (OutcomeKind.unknown, 'target_failed'),
        (OutcomeKind.not_run, 'target_refused'),
        (OutcomeKind.not_run, 'target_refused'),
    ]
    assert found.output['target'] == 'target-1'
