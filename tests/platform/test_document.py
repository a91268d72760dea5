"""Tests of decoding the operator's configuration documents."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from hornbeamline.documents import InvalidDocumentError
from hornbeamline.gateway import RouteKind
from hornbeamline.platform._document import read_routing_table

DOCUMENT: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'path-prefix': '/a/',
            'route-type': 'streaming',
            'timeout-ms': 20000,
            'target-latency-ms': 2700,
            'priority': 1,
            'traffic-split': [
                {'service': 'llm', 'weight': 90},
                {'service': 'old', 'weight': 0},
            ],
            'max-attempts': 2,
            'stages': [
                {'service': 'st', 'after': [], 'bytes': 800000},
                {'service': 'st', 'after': [0], 'bytes': 8000},
            ],
            'allow-anonymous': False,
            'stream-resume': True,
            'gap-aim-ms': 500,
        },
        {
            'name': 'r-2',
            'host': 'a.example',
            'path-prefix': '/a/b/',
            'route-type': 'idempotent',
            'timeout-ms': 800,
            'service': 'old',
        },
    ],
    'services': [
        {'name': 'llm', 'engine': {'slots': 64, 'kv-capacity': 1000}},
        {'name': 'old'},
        {'name': 'st', 'pieces': {'batch': 4, 'call-ms': 240, 'item-ms': 52}},
    ],
    'tenants': [{'name': 't', 'api-keys': ['k1', 'k2'], 'priority': 3}],
    'unknown': 1,
}


def read(document: Any) -> Any:
    """Return the routing table of a document."""
    return read_routing_table(json.dumps(document).encode())


def test_document_is_decoded_into_project_terms() -> None:
    """Times become seconds; services with zero weight are left out."""
    table = read(DOCUMENT)
    route = table.find_route('a.example', '/a/x')
    assert table.number == 7
    assert route.kind is RouteKind.STREAM
    assert route.may_repeat
    assert route.timeout_s == 20
    assert route.weight_by_service == {'llm': 90}
    assert route.stages[1].after == (0,)
    assert table.services_by_name['st'].batch.call_s == 0.24
    assert table.accounts_by_credential['k2'].rank == 3


def test_longest_prefix_wins() -> None:
    """A request goes to the most specific matching route."""
    table = read(DOCUMENT)
    assert table.find_route('a.example', '/a/b/c').name == 'r-2'
    assert table.find_route('a.example', '/x/') is None
    assert table.find_route('b.example', '/a/') is None


def _unknown_service(document: Any) -> None:
    document['routes'][0]['traffic-split'][0]['service'] = 'none'


def _unknown_stage_service(document: Any) -> None:
    document['routes'][0]['stages'][0]['service'] = 'none'


def _duplicate_prefix(document: Any) -> None:
    document['routes'][1]['path-prefix'] = '/a/'


def _no_weight(document: Any) -> None:
    document['routes'][0]['traffic-split'][0]['weight'] = 0


def _no_timeout(document: Any) -> None:
    document['routes'][1]['timeout-ms'] = 0


def _shared_key(document: Any) -> None:
    document['tenants'].append({'name': 'u', 'api-keys': ['k1']})


def _wrong_type(document: Any) -> None:
    document['version'] = 'seven'


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, None),
        ({'warmup-s': 3.0}, None),
        ({'warmup-per-s': 9.3}, None),
        ({'warmup-s': 0, 'warmup-per-s': 9.3}, None),
        ({'warmup-s': None, 'warmup-per-s': None}, None),
        ({'warmup-s': 3, 'warmup-per-s': 1e15}, None),
        ({'warmup-s': 3.0, 'warmup-per-s': 9.3}, (3.0, 9.3)),
        ({'warmup-s': 3.0, 'warmup-per-s': 0}, (3.0, 0)),
        ({'warmup-s': 1e300, 'warmup-per-s': 11}, (60.0, 11)),
    ],
)
def test_warm_up_of_a_service_is_bounded(fields, expected) -> None:
    """Guards against targets that are cold for ever."""
    document = copy.deepcopy(DOCUMENT)
    document['services'][0].update(fields)
    assert read(document).services_by_name['llm'].warmup == expected


@pytest.mark.parametrize('name', ['warmup-s', 'warmup-per-s'])
@pytest.mark.parametrize('figure', [-1, 'x', True, [3], {}])
def test_warm_up_that_is_no_figure_is_refused(name, figure) -> None:
    """The operator is told of a mistake at once."""
    document = copy.deepcopy(DOCUMENT)
    document['services'][0][name] = figure
    with pytest.raises(InvalidDocumentError):
        read(document)


@pytest.mark.parametrize(
    'spoil',
    [
        _unknown_service,
        _unknown_stage_service,
        _duplicate_prefix,
        _no_weight,
        _no_timeout,
        _shared_key,
        _wrong_type,
    ],
)
def test_invalid_document_is_refused(spoil) -> None:
    """An invalid part makes the whole document invalid."""
    document = copy.deepcopy(DOCUMENT)
    spoil(document)
    with pytest.raises(InvalidDocumentError):
        read(document)


def test_document_that_is_cut_short_is_refused() -> None:
    """Guards against a document that is truncated in transit."""
    with pytest.raises(InvalidDocumentError):
        read_routing_table(json.dumps(DOCUMENT).encode()[:-20])
