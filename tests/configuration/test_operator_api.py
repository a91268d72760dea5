"""Operator interface of control hosts in an in-process cluster."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

from falcon.testing import ASGIConductor
from msgspec import convert

from hornbeamline.inventory import ControlSettings
from hornbeamline.operator_api import OperatorApi
from hornbeamline.operator_api import const as operator_const
from tests.common import digest_of
from tests.configuration.documents import document
from tests.configuration.test_service import Cluster

HEADERS = {'Authorization': 'Bearer operator-credential'}


@contextlib.asynccontextmanager
async def conductor(
    cluster: Cluster,
    name: str = 'control-1',
) -> AsyncIterator[ASGIConductor]:
    """Serve the operator interface of one control host."""
    settings = convert(
        {
            'host': {'name': name, 'data_centre': 'dc-a', 'fleet': 'test'},
            'peering': {'address': '127.0.0.1:1'},
            'operator': {
                'address': '127.0.0.1:2',
                'credential_sha256': digest_of('operator-credential'),
            },
            'storage': {'data_folder': 'unused'},
            'controls_by_name': {name: '127.0.0.1:1'},
            'operators_by_name': {'control-1': '127.0.0.1:2'},
        },
        ControlSettings,
    )
    api = OperatorApi(
        settings,
        cluster.services[name],
        cluster.log.voters_by_name[name],
        cluster.network.endpoints_by_name[name],
    )
    async with ASGIConductor(api.build(), headers=HEADERS) as client:
        yield client


async def start_cluster() -> Cluster:
    """Start a cluster without clients and propose the initial document."""
    cluster = Cluster(5)
    cluster.log.elect('control-1')
    for service in cluster.services.values():
        await service.start()
    leader = cluster.services['control-1']
    while cluster.revision == 0:
        await leader._propose_initial()
    return cluster


def change_body(base: int, **fields: Any) -> dict[str, Any]:
    """Return the request body of a change to one rule."""
    operation = {
        'action': 'put',
        'section': 'rules',
        'name': 'admission',
        'table': {'queue_length': 9},
    }
    return {
        'change_id': 'c1',
        'base_revision': base,
        'operations': [operation],
        **fields,
    }


async def test_change_is_accepted_once_and_listed() -> None:
    """Guards against an operator who cannot see what was changed."""
    cluster = await start_cluster()
    async with conductor(cluster) as client:
        path = '/v1/configuration/changes'
        for _ in range(2):
            answer = await client.simulate_post(path, json=change_body(1))
            assert answer.status_code == 200
            assert answer.json == {'status': 'accepted', 'revision': 2}
        other = change_body(1, change_id='c2')
        answer = await client.simulate_post(path, json=other)
        assert answer.status_code == 409
        assert answer.headers['content-type'] == operator_const.MEDIA_PROBLEM
        assert (answer.json['winner'], answer.json['revision']) == ('c1', 2)
        answer = await client.simulate_get('/v1/configuration/history')
        listed = [entry['change_id'] for entry in answer.json['changes']]
        assert listed == ['initial', 'c1']
        answer = await client.simulate_get('/v1/configuration')
        expected = {**document(), 'rules': {'admission': {'queue_length': 9}}}
        assert answer.json['document'] == expected


async def test_invalid_change_names_its_key_path() -> None:
    """Guards against a refusal that does not say what is wrong."""
    cluster = await start_cluster()
    operation = {
        'action': 'remove',
        'section': 'services_by_name',
        'name': 'desk',
    }
    async with conductor(cluster) as client:
        answer = await client.simulate_post(
            '/v1/configuration/changes',
            json=change_body(1, operations=[operation]),
        )
        assert answer.status_code == 422
        assert answer.json['key_path'] == 'targets_by_name.desk-1.service'
        for body in (change_body(1, spelling='x'), change_body(-1), {}):
            answer = await client.simulate_post(
                '/v1/configuration/changes',
                json=body,
            )
            assert answer.status_code == 400
            assert answer.json['reason'] == 'invalid_body'
    assert cluster.revision == 1


async def test_unknown_result_asks_for_a_repetition() -> None:
    """Guards against a lost answer that is reported as a refusal."""
    cluster = await start_cluster()
    cluster.log.unknown_share = 1
    async with conductor(cluster) as client:
        answer = await client.simulate_post(
            '/v1/configuration/changes',
            json=change_body(1),
        )
    assert answer.status_code == 503
    assert answer.json['reason'] == 'unknown'
    assert answer.headers['retry-after'] == '1'


async def test_follower_names_the_leader() -> None:
    """Guards against operators who cannot find the leader."""
    cluster = await start_cluster()
    async with conductor(cluster, 'control-2') as client:
        for path in ('/v1/configuration', '/v1/status'):
            answer = await client.simulate_get(path)
            assert answer.status_code == 421
            assert answer.json['leader'] == 'control-1'
            assert answer.json['leader_address'] == '127.0.0.1:2'
        assert (await client.simulate_get('/readyz')).status_code == 200
        cluster.log.elect(None)
        assert (await client.simulate_get('/readyz')).status_code == 503


async def test_credential_and_body_limits() -> None:
    """Guards against requests without credential or with oversized body."""
    cluster = await start_cluster()
    path = '/v1/configuration/changes'
    async with conductor(cluster) as client:
        for wrong in ('Bearer other', 'operator-credential', ''):
            answer = await client.simulate_post(
                path,
                json=change_body(1),
                headers={'Authorization': wrong},
            )
            assert answer.status_code == 401
        answer = await client.simulate_post(
            path,
            body=b' ' * (operator_const.MAX_BODY_BYTES + 1),
        )
        assert answer.status_code == 413
        for path in ('/healthz', '/metrics'):
            answer = await client.simulate_get(
                path,
                headers={'Authorization': ''},
            )
            assert answer.status_code == 200
    assert cluster.revision == 1


async def test_voters_of_a_fixed_log_cannot_be_changed() -> None:
    """Guards against a voter change that is silently ignored."""
    cluster = await start_cluster()
    async with conductor(cluster) as client:
        answer = await client.simulate_post(
            '/v1/voters',
            json={'action': 'remove', 'name': 'control-2'},
        )
    assert answer.status_code == 501


async def test_status_lists_hosts_that_never_renewed() -> None:
    """Guards against a host that is missing from the status."""
    cluster = await start_cluster()
    change = change_body(1)
    change['operations'] = [
        {
            'action': 'put',
            'section': 'hosts_by_name',
            'name': 'entry-9',
            'table': {'data_centre': 'dc-a'},
        },
    ]
    async with conductor(cluster) as client:
        await client.simulate_post('/v1/configuration/changes', json=change)
        answer = await client.simulate_get('/v1/status')
    (host,) = answer.json['hosts']
    assert (host['host'], host['revision']) == ('entry-9', None)
    assert answer.json['leader'] == 'control-1'
