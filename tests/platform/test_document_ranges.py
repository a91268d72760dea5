"""Documents whose figures are at the ends of their ranges."""

from __future__ import annotations

import asyncio
import copy
import math
import random
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamline.batching import (
    BatchingService,
    EntryHost,
    PieceResult,
    TargetAccess,
)
from hornbeamline.documents import InvalidDocumentError
from hornbeamline.gateway import (
    BudgetSettings,
    Forwarder,
    GatewayApp,
    GatewayServices,
    Placement,
    RetryBudget,
    RoutingTable,
    StageRunner,
    StreamVersions,
    TargetDirectory,
    TargetPicker,
)
from hornbeamline.platform._document import read_routing_table
from hornbeamline.platform._wire import PlatformWire
from hornbeamline.quarantine import PartQuarantine
from tests.gateway.builders import KnownOrigins, make_gate, make_target
from tests.gateway.test_forwarder import Caller, FakeHttp, Script
from tests.local_network import LocalNetwork
from tests.platform.test_document import DOCUMENT
from tests.replog.group import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=0)

LARGEST_FLOAT = 1.7e308
LARGEST_INTEGER = 2**63 - 1
ENDS = (
    0,
    -1,
    1,
    0.5,
    5e-324,
    1e15,
    LARGEST_FLOAT,
    -LARGEST_FLOAT,
    LARGEST_INTEGER,
    -LARGEST_INTEGER,
)
DEADLINE_S = 10.0
PIECES = 3
EVENT = b'id: 0\ndata: x\n\n'


def complete_document() -> dict[str, Any]:
    """Return a document in which each figure is given."""
    document = copy.deepcopy(DOCUMENT)
    stages, plain = document['routes']
    plain.update(
        {
            'target-latency-ms': 400,
            'priority': 0,
            'max-attempts': 2,
            'gap-aim-ms': 500,
        }
    )
    stages['traffic-split'][1]['weight'] = 10
    for service in document['services']:
        service['max-connections'] = 50
        service.update({'warmup-s': 3.0, 'warmup-per-s': 9.3})
    document['services'][2]['pieces'].update(
        {'slots': 1, 'queue': 2, 'headroom-mb': 4.8, 'handle-s': 4.0}
    )
    return document


def figures(node: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the paths of all figures of a document but its number."""
    if isinstance(node, dict):
        for key, child in node.items():
            if key not in {'version', 'unknown', 'after'}:
                yield from figures(child, (*path, key))
    elif isinstance(node, list):
        for index, child in enumerate(node):
            yield from figures(child, (*path, index))
    elif isinstance(node, (int, float)) and not isinstance(node, bool):
        yield path


PATHS = tuple(figures(complete_document()))


def with_figures(changes: dict[tuple[Any, ...], float]) -> RoutingTable | None:
    """Return the table of a changed document; None if it is refused."""
    document = complete_document()
    for path, figure in changes.items():
        node = document
        for key in path[:-1]:
            node = node[key]
        node[path[-1]] = figure
    try:
        return read_routing_table(msgspec.json.encode(document))
    except InvalidDocumentError:
        return None


class Host:
    """Entry host that owns its stage service."""

    def __init__(self) -> None:
        clock = LoopClock()
        rng = random.Random(1)
        self.targets = TargetDirectory(clock)
        budget = RetryBudget(BudgetSettings(0.2, 10, 64), clock)
        budget.note_hosts(1)
        hosts: dict[str, EntryHost] = {}
        self.batching = BatchingService(
            LocalNetwork(rng).endpoint('host'),
            clock,
            lambda: hosts,
            TargetAccess(
                self.targets.available_targets, self._compute, self._free
            ),
            budget,
        )
        wire = PlatformWire()
        picker = TargetPicker('dc-1', clock, rng)
        http: Any = FakeHttp(*[Script(parts=(EVENT,))] * 9)
        forwarder = Forwarder(
            http,
            wire,
            picker,
            self.targets,
            make_gate(self.targets),
            budget,
            clock,
        )
        stages = StageRunner(
            self.batching,
            lambda _rank: {},
            Placement(wire, self.targets, picker),
            clock,
        )
        services = GatewayServices(
            self.targets,
            forwarder,
            stages,
            budget,
            PartQuarantine('host', clock),
            StreamVersions(KnownOrigins(), self.targets),
        )
        self.app = GatewayApp(wire, services, clock, rng)

    def apply(self, table: RoutingTable) -> None:
        """Apply a table, and list a target of each of its services."""
        self.targets.replace_list(
            [
                make_target(f't-{name}', service=name)
                for name in table.services_by_name
            ]
        )
        self.batching.update(
            {
                name: service.batch
                for name, service in table.services_by_name.items()
                if service.batch is not None
            }
        )
        self.app.update_table(table)

    async def request(self, path: str) -> Caller:
        """Send a request; all its stages have pieces."""
        caller = Caller()
        sent = [{'type': 'http.request', 'body': b''}]

        async def receive() -> Any:
            if sent:
                return sent.pop()
            return await asyncio.Event().wait()

        scope = {
            'type': 'http',
            'method': 'POST',
            'raw_path': path.encode(),
            'query_string': b'',
            'headers': [
                (b'host', b'a.example'),
                (b'x-request-id', b'r1'),
                (b'x-api-key', b'k1'),
                (b'x-deadline-ms', b'%d' % (DEADLINE_S * 1000)),
                (b'x-pieces', b'%d,%d' % (PIECES, PIECES)),
                (b'x-piece-key', b'k'),
                (b'x-token-count', b'100,10'),
                (b'x-prompt-prefix', b'shared:50,own:50'),
            ],
        }
        async with asyncio.timeout(DEADLINE_S + 1):
            await self.app(scope, receive, caller.send)
        return caller

    async def _compute(
        self, target: Any, pieces: Any, _left_s: Any, on_sent: Any
    ) -> list[PieceResult]:
        on_sent()
        await asyncio.sleep(0.01)
        return [
            PieceResult(f'10.0.0.1:1/{piece.stage}-{piece.number}')
            for piece in pieces
        ]

    async def _free(self, *_: Any) -> None:
        """Free results."""


async def check(changes: dict[tuple[Any, ...], float]) -> None:
    """Serve each kind of request, under a document and under the next one."""
    table = with_figures(changes)
    if table is None:
        return
    host = Host()
    await host.batching.start()
    usual = with_figures({})
    assert usual is not None
    for applied in (usual, table, usual):
        host.apply(applied)
        for path in ('/a/1', '/a/b/1'):
            caller = await host.request(path)
            assert caller.is_complete
            # Not an error of the gateway itself.
            assert caller.status in {200, 502, 503, 504}
        for rate in host.batching.rate_by_service().values():
            assert 0 <= rate < math.inf
        for waits in host.batching.waits_by_service().values():
            assert all(0 <= wait_s < math.inf for wait_s in waits.values())
        if applied is usual:
            assert caller.status == 200
    await host.batching.stop()


# Failure: a valid document with a figure of 0 made hosts deaf to later ones
# (CONFIG, review/3).
@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize(
    'path', PATHS, ids=lambda path: '.'.join(map(str, path))
)
async def test_document_with_a_figure_at_the_end_of_its_range(
    path, end
) -> None:
    """Guards against figures that no calculation can bear."""
    await check({path: end})


CALL = ('services', 2, 'pieces', 'call-ms')
PIECE = ('services', 2, 'pieces', 'item-ms')
WEIGHTS = [
    ('routes', 0, 'traffic-split', number, 'weight') for number in (0, 1)
]


@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize(
    'paths', [[CALL, PIECE], WEIGHTS], ids=['call', 'weights']
)
async def test_related_figures_at_the_end_of_their_ranges(paths, end) -> None:
    """Guards against sums and differences that no calculation can bear."""
    await check(dict.fromkeys(paths, end))


@settings(deadline=None, max_examples=40)
@given(st.dictionaries(st.sampled_from(PATHS), st.sampled_from(ENDS)))
async def test_documents_with_several_such_figures(changes) -> None:
    """Guards against combinations of figures."""
    await check(changes)
