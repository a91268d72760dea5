"""Tests of the caller interface over real connections."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import falcon.inspect
import pytest

from hornbeamline.caller_api import CallerApi
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.helpers.listeners import split_address
from hornbeamline.inventory import CallerSettings, ServiceKind
from hornbeamline.standins import Faults
from hornbeamline.telemetry import configure_logs
from tests.common import ROOT, free_address
from tests.pipeline.support import CLOCK, Bench, bench_for
from tests.serving import expected_tokens, fleet_with, serving, until

HEADERS = {'Authorization': 'Bearer cement-credential'}


class Site:
    """Caller interface of an entry host with three targets."""

    def __init__(self, bench: Bench, api: CallerApi, targets: Any) -> None:
        """Store the parts that tests inspect and open a client session."""
        self.bench = bench
        self.api = api
        self.desk, self.service, self.engine = targets
        self.address = api.settings.address
        self.session = aiohttp.ClientSession(f'http://{self.address}')

    async def post(
        self,
        pipeline: str,
        body: Any,
        **headers: str,
    ) -> tuple[int, dict[str, Any], Any]:
        """Send a request; return status, JSON and headers."""
        async with self.session.post(
            f'/v1/pipelines/{pipeline}/requests',
            json=body,
            headers={**HEADERS, **headers},
        ) as response:
            return response.status, await response.json(), response.headers

    async def events(self, body: Any) -> list[tuple[str, dict[str, Any]]]:
        """Send a streaming request; return its events."""
        async with self.session.post(
            '/v1/pipelines/draft/requests',
            json={**body, 'stream': True},
            headers=HEADERS,
        ) as response:
            assert response.content_type == 'text/event-stream'
            return parse_events(await response.text())


def parse_events(text: str) -> list[tuple[str, dict[str, Any]]]:
    """Return name and JSON of each event; comments have the name ':'."""
    events = []
    for block in text.split('\n\n')[:-1]:
        if block.startswith(':'):
            events.append((':', {}))
            continue
        fields = dict(line.split(': ', 1) for line in block.split('\n'))
        body = json.loads(fields['data'])
        if 'id' in fields:
            body['id'] = int(fields['id'])
        events.append((fields['event'], body))
    return events


@contextlib.asynccontextmanager
async def open_site(**limits: Any) -> AsyncIterator[Site]:
    """Serve the caller interface in this event loop."""
    settings = CallerSettings(address=free_address(), **limits)
    async with (
        serving(name='desk') as desk,
        serving(name='service') as service,
        serving(ServiceKind.generation, name='engine') as engine,
    ):
        fleet = fleet_with(
            {'desk': [desk], 'service': [service], 'draft': [engine]},
            {'file': ['desk'], 'read': ['service'], 'draft': ['draft']},
            non_repeatable=frozenset(('desk',)),
            max_tokens=30,
        )
        async with bench_for(fleet) as bench:
            api = CallerApi(
                settings,
                lambda: fleet,
                bench.executor,
                lambda: True,
                CLOCK,
            )
            server = HttpServer(api.build(), settings.address, stop_timeout_s=2)
            await server.start()
            site = Site(bench, api, (desk, service, engine))
            try:
                yield site
            finally:
                await site.session.close()
                await server.stop()


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    """Return a site with default limits."""
    async with open_site() as opened:
        yield opened


def openapi() -> dict[str, Any]:
    """Return the published OpenAPI description."""
    path = Path(ROOT, 'docs', 'openapi.json')
    return json.loads(path.read_text(encoding='utf-8'))


async def test_stream_has_tokens_then_the_answer(site: Site) -> None:
    """Guards against lost tokens and an answer before the last token."""
    events = await site.events({'input': {'prompt': 'levy'}})
    events = [event for event in events if event[0] != ':']
    tokens = [body for name, body in events if name == 'token']
    assert [body['id'] for body in tokens] == list(range(30))
    text = ''.join(body['text'] for body in tokens)
    assert text == expected_tokens('levy', 30)
    assert events[-1][0] == 'answer'
    assert events[-1][1]['output']['text'] == text
    assert events[-1][1]['costs'][0]['tokens'] == 30


async def test_each_second_has_a_heartbeat(site: Site) -> None:
    """Guards against a stream that looks dead while the engine is slow."""
    site.engine.set_faults(Faults(slow=100))
    body = {'input': {'prompt': 'levy'}, 'deadline_ms': 2500}
    events = await site.events(body)
    assert [name for name, _ in events].count(':') >= 1
    assert events[-1][0] == 'problem'
    assert events[-1][1]['outcome'] == 'not_run'


async def test_refused_stream_has_a_plain_status(site: Site) -> None:
    """Guards against status 200 for a stream that never began."""
    site.engine.set_faults(Faults(refuse=True))
    body = {'input': {}, 'stream': True}
    status, problem, headers = await site.post('draft', body)
    assert status == 503
    assert problem['reason'] == 'target_refused'
    assert int(headers['Retry-After']) >= 1


async def test_concurrent_callers_get_their_own_answers(site: Site) -> None:
    """Guards against mixed answers under concurrent callers."""
    answers = await asyncio.gather(
        *(site.post('read', {'input': {'n': number}}) for number in range(60)),
    )
    for number, (status, answer, _) in enumerate(answers):
        assert (status, answer['output']['echo']) == (200, {'n': number})


async def test_outcomes_of_a_filing_are_found_by_key(site: Site) -> None:
    """Guards against lost outcomes and against showing them to others."""
    key = {'Idempotency-Key': 'k-1'}
    status, answer, _ = await site.post('file', {'input': {}}, **key)
    assert status == 200
    await site.bench.executor.wait_idle(1)
    site.desk.set_faults(Faults(reset_after_execution=True))
    status, problem, _ = await site.post(
        'file',
        {'input': {}},
        **{'Idempotency-Key': 'k-2'},
    )
    assert (status, problem['outcome']) == (504, 'unknown')
    await site.bench.executor.wait_idle(1)
    status, problem, _ = await site.post('file', {'input': {'n': 1}}, **key)
    assert (status, problem['reason']) == (409, 'key_reused')
    found = {}
    for path, credential in (
        ('k-1', 'cement-credential'),
        ('k-2', 'cement-credential'),
        ('k-1', 'paper-credential'),
    ):
        async with site.session.get(
            f'/v1/requests/{path}',
            headers={'Authorization': f'Bearer {credential}'},
        ) as response:
            found[path, credential] = (response.status, await response.json())
    status, body = found['k-1', 'cement-credential']
    assert (status, body['output']) == (200, answer['output'])
    status, body = found['k-2', 'cement-credential']
    assert (status, body['outcome']) == (200, 'unknown')
    status, body = found['k-1', 'paper-credential']
    assert (status, body['reason']) == (404, 'unknown_key')
    assert site.desk.executions_by_key == {
        'cement/k-1/desk': 1,
        'cement/k-2/desk': 1,
    }


@pytest.mark.parametrize(
    ('path', 'content', 'headers', 'status', 'reason'),
    [
        ('read', b'{}', {'Authorization': 'x'}, 401, 'unknown_credential'),
        ('read', b'{}', {'Authorization': 'Bearer'}, 401, 'unknown_credential'),
        ('none', b'{}', HEADERS, 404, 'unknown_pipeline'),
        ('read', b'{"input"', HEADERS, 400, 'invalid_body'),
        ('read', b'{"input": 1}', HEADERS, 400, 'invalid_body'),
        (
            'read',
            b'{"input": {}, "deadline_ms": 0}',
            HEADERS,
            400,
            'invalid_body',
        ),
        ('file', b'{"input": {}}', HEADERS, 400, 'request_key_missing'),
        (
            'read',
            b'{"input": {}}',
            {**HEADERS, 'Idempotency-Key': 'k' * 129},
            400,
            'request_key_too_long',
        ),
        ('read', b' ' * 5000, HEADERS, 413, 'body_too_large'),
        (
            'read',
            b'{}',
            {**HEADERS, **{f'X-{n}': 'x' * 8000 for n in range(3)}},
            431,
            'headers_too_large',
        ),
    ],
)
async def test_every_error_is_a_problem(
    path: str,
    content: bytes,
    headers: dict[str, str],
    status: int,
    reason: str,
) -> None:
    """Guards against crashes and errors that callers cannot parse."""
    async with (
        open_site(max_body_bytes=4096) as site,
        site.session.post(
            f'/v1/pipelines/{path}/requests',
            data=content,
            headers=headers,
        ) as response,
    ):
        problem = await response.json()
        assert response.status == status
        assert response.content_type == 'application/problem+json'
        assert problem['reason'] == reason
        # An earlier request with the same key may have run. Headers that
        # are too large are not parsed, so they may hold a key.
        may_have_key = status == 431 or 'Idempotency-Key' in headers
        assert problem.get('outcome') == (None if may_have_key else 'not_run')


async def test_unknown_routes_are_problems(site: Site) -> None:
    """Guards against the framework's own error bodies."""
    for method, path, status, reason in (
        ('GET', '/v1/none', 404, 'not_found'),
        ('PUT', '/v1/pipelines/read/requests', 405, 'method_not_allowed'),
    ):
        async with site.session.request(method, path) as response:
            assert response.status == status
            problem = await response.json()
            assert problem['reason'] == reason
            assert 'outcome' not in problem


async def test_body_without_length_is_bounded() -> None:
    """Guards against unbounded memory use by a chunked body."""

    async def endless() -> AsyncIterator[bytes]:
        for _ in range(64):
            yield b' ' * 1024

    async with (
        open_site(max_body_bytes=4096) as site,
        site.session.post(
            '/v1/pipelines/read/requests',
            data=endless(),
            headers=HEADERS,
        ) as response,
    ):
        assert response.status == 413


async def test_slow_body_ends() -> None:
    """Guards against requests held open by an incomplete body."""
    async with open_site(body_timeout_s=0.2) as site:
        reader, writer = await asyncio.open_connection(
            *split_address(site.address),
        )
        writer.write(
            b'POST /v1/pipelines/read/requests HTTP/1.1\r\nHost: h\r\n'
            b'Authorization: Bearer cement-credential\r\n'
            b'Content-Length: 100\r\n\r\n{"input"',
        )
        async with asyncio.timeout(3):
            answer = await reader.read()
        writer.close()
        assert answer.startswith(b'HTTP/1.1 408')
        assert b'body_timeout' in answer
        assert site.api.in_progress == 0


@pytest.mark.parametrize('stream', [False, True])
async def test_disconnected_caller_cancels_repeatable_work(
    stream: bool,
) -> None:
    """Guards against engines that work for disconnected callers."""
    async with open_site() as site:
        # Slow enough that no token is written before the cancellation
        # arrives, since a failed write would also end the work.
        site.engine.set_faults(Faults(slow=2000))
        body = {'input': {'prompt': 'levy'}, 'stream': stream}
        caller = asyncio.create_task(site.post('draft', body))
        await until(lambda: site.engine.work_by_id)
        caller.cancel()
        await until(lambda: site.engine.cancelled)
        await until(lambda: not site.api.in_progress)


async def test_disconnected_caller_does_not_stop_a_filing(site: Site) -> None:
    """Guards against a filing that ends when its caller disconnects."""
    site.desk.set_faults(Faults(slow=300))
    caller = asyncio.create_task(
        site.post('file', {'input': {}}, **{'Idempotency-Key': 'k'}),
    )
    await until(lambda: site.desk.executions_by_key)
    caller.cancel()
    await until(lambda: not site.api.in_progress)
    assert await site.api.wait_idle(2)
    found = await site.bench.executor.lookup('cement', 'k')
    assert found.kind.value == 'answered'
    assert site.desk.cancelled == []


async def test_caller_that_does_not_read_is_dropped(monkeypatch) -> None:
    """Guards against a stream held open by a caller that reads nothing."""
    monkeypatch.setattr('hornbeamline.caller_api._app.WRITE_TIMEOUT_S', 0.2)
    async with open_site() as site:
        offered = asyncio.Event()

        async def flood(request: Any, events: Any) -> Any:
            # Exceeds all socket buffers, so the next heartbeat blocks.
            events.offer(b': x\n\n' * 2_000_000)
            offered.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(site.bench.executor, 'run', flood)
        _, writer = await asyncio.open_connection(
            *split_address(site.address),
            limit=1024,
        )
        body = b'{"input": {}, "stream": true}'
        writer.write(
            b'POST /v1/pipelines/draft/requests HTTP/1.1\r\nHost: h\r\n'
            b'Authorization: Bearer cement-credential\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body),
        )
        await asyncio.wait_for(offered.wait(), 5)
        await until(lambda: not site.api.in_progress, 5)
        writer.transport.abort()


async def test_requests_in_progress_are_bounded() -> None:
    """Guards against more concurrent requests than the host can hold."""
    async with open_site(max_requests_in_progress=1) as site:
        site.service.set_faults(Faults(slow=300))
        first = asyncio.create_task(site.post('read', {'input': {}}))
        await until(lambda: site.api.in_progress)
        status, problem, _ = await site.post('read', {'input': {}})
        assert (status, problem['reason']) == (503, 'too_many_requests')
        assert (await first)[0] == 200


async def test_drain_finishes_and_refuses(site: Site) -> None:
    """Guards against a stop that cuts off requests or accepts late ones."""
    site.service.set_faults(Faults(slow=300))
    first = asyncio.create_task(site.post('read', {'input': {}}))
    await until(lambda: site.api.in_progress)
    site.api.begin_drain(accepts_requests=True)
    async with site.session.get('/readyz') as response:
        assert response.status == 503
    late = asyncio.create_task(site.post('read', {'input': {}}))
    await until(lambda: site.api.in_progress == 2)
    site.api.begin_drain()
    status, problem, headers = await site.post('read', {'input': {}})
    assert (status, problem['reason']) == (503, 'stopping')
    assert headers['Connection'] == 'close'
    assert not await site.api.wait_idle(0.01)
    assert await site.api.wait_idle(2)
    assert [(await first)[0], (await late)[0]] == [200, 200]


async def test_credentials_are_not_logged(site: Site) -> None:
    """Guards against credentials in log lines."""
    log = io.StringIO()
    configure_logs(log)
    await site.post('read', {'input': {}})
    await site.post('read', {'input': {}}, Authorization='Bearer secret-word')
    await site.post('none', {'input': {}})
    assert 'event=request.ended' in log.getvalue()
    assert 'cement-credential' not in log.getvalue()
    assert 'secret-word' not in log.getvalue()


async def test_new_revision_changes_the_credentials() -> None:
    """Guards against a removed account that is still served."""
    async with open_site() as site:
        fleet = site.bench.source.fleet
        assert (await site.post('read', {'input': {}}))[0] == 200
        kept = {'paper': fleet.accounts_by_name['paper']}
        newer = type(fleet)(
            **{
                name: getattr(fleet, name)
                for name in fleet.__struct_fields__
                if name != 'accounts_by_name'
            },
            accounts_by_name=kept,
        )
        site.api.current_fleet = lambda: newer
        assert (await site.post('read', {'input': {}}))[0] == 401


async def test_openapi_file_matches_the_routes(site: Site) -> None:
    """Guards against a description that differs from the routes."""
    described = openapi()
    routes = falcon.inspect.inspect_routes(site.api.build().app)
    assert {
        (route.path, method.method.lower())
        for route in routes
        for method in route.methods
        if not method.internal
    } == {
        (path, method)
        for path, methods in described['paths'].items()
        for method in methods
        if method != 'parameters'
    }
    submit = described['components']['schemas']['Submission']['properties']
    assert set(submit) == {'input', 'deadline_ms', 'stream', 'priority'}
