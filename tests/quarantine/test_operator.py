"""Routes and commands on which operators see and lift verdicts."""

from __future__ import annotations

import random

from falcon import asgi, testing

from hornbeamline.helpers.clock import SystemClock
from hornbeamline.quarantine import QuarantineRelay
from hornbeamline.quarantine.operator import add_quarantine_routes
from tests.local_network import LocalNetwork
from tests.quarantine.builders import make_mark


async def test_operator_sees_and_lifts_a_verdict() -> None:
    """Guards against a sound part that nobody can serve again."""
    clock = SystemClock()
    network = LocalNetwork(random.Random(1))
    relay = QuarantineRelay(network.endpoint('c'), clock, list)
    app = asgi.App()
    add_quarantine_routes(app, relay)
    for target in ('e1', 'e2'):
        relay.table.add_mark(make_mark('a/b', target, at=clock.monotonic()))
    async with testing.ASGIConductor(app) as conductor:
        shown = (await conductor.simulate_get('/v1/quarantine')).json
        assert [part['part'] for part in shown['parts']] == ['a/b']
        assert shown['parts'][0]['crashes'] == 2
        lifted = await conductor.simulate_delete(
            '/v1/quarantine', params={'part': 'a/b'}
        )
        assert lifted.status_code == 200
        shown = (await conductor.simulate_get('/v1/quarantine')).json
    assert shown == {'parts': []}
    await relay.stop()
