"""Behaviour of the stand-ins at the target interface."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest

from hornbeamline.inventory import ServiceKind
from hornbeamline.standins import EngineSettings, StandinTarget
from hornbeamline.standins._batch import Sequence
from tests.serving import expected_tokens, serving, until


async def ask(
    standin: StandinTarget,
    method: str,
    path: str,
    body: Any = None,
    **headers: str,
) -> tuple[int, Any]:
    """Send one request to a stand-in; return status and JSON."""
    url = f'http://{standin.settings.address}/v1/{path}'
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, json=body, headers=headers) as response,
    ):
        return response.status, await response.json(content_type=None)


def order(number: int, action: str, **fields: Any) -> dict[str, Any]:
    """Return the body of an order with a fencing number."""
    return {
        'order_id': f'{number}-{action}',
        'action': action,
        'fencing': number,
        **fields,
    }


async def test_service_deduplicates_only_when_set() -> None:
    """Guards against execution counts that are too low or too high."""
    for deduplicates, count in ((False, 2), (True, 1)):
        async with serving(deduplicates=deduplicates) as standin:
            body = {'stage': 's', 'input': {}, 'outputs_by_stage': {}}
            for _ in range(2):
                await ask(
                    standin, 'POST', 'run', body, **{'Idempotency-Key': 'k'}
                )
            assert await ask(standin, 'GET', 'executions') == (
                200,
                {'k': count},
            )


async def test_first_token_depends_on_uncached_prompt() -> None:
    """Guards against a prefix cache without an effect or a size limit."""
    engine = EngineSettings(cached_prefixes=1, event_delay_s=0, event_loss=0)
    async with serving(ServiceKind.generation, engine=engine) as standin:
        cache = standin.batch.cache
        prompt = 'a' * 4000
        assert cache.use(prompt) == 1000
        assert cache.use(prompt) == 1000 - 1024 // 4
        cache.use('b' * 4000)
        assert cache.use(prompt) == 1000
        _, body = await ask(standin, 'GET', 'cache_events?after=1')
        assert [event['held'] for event in body['events']] == [
            True,
            False,
            True,
            False,
        ]


async def test_cache_events_are_late_and_lossy() -> None:
    """Guards against events that are more reliable than a real engine's."""
    engine = EngineSettings(event_delay_s=0.2, event_loss=0.5)
    async with serving(ServiceKind.generation, engine=engine) as standin:
        for number in range(40):
            standin.batch.cache.use(f'prompt {number}')
        assert standin.batch.cache.events_after(0) == []
        await asyncio.sleep(0.25)
        assert 5 < len(standin.batch.cache.events_after(0)) < 35


async def test_batch_is_limited_and_priority_goes_first() -> None:
    """Guards against an unlimited batch and a queue without priorities."""
    engine = EngineSettings(max_batch=1, first_token_ms=1, token_ms=1)
    async with serving(ServiceKind.generation, engine=engine) as standin:
        ended: list[str] = []

        async def wait(sequence: Sequence) -> None:
            await sequence.wait_beyond(19)
            ended.append(sequence.prompt)

        waits = []
        for name, priority in (('low', 0), ('first', 9), ('high', 5)):
            sequence = Sequence(name, 20, 0)
            standin.batch.add(sequence, priority)
            waits.append(wait(sequence))
        await asyncio.gather(*waits)
    assert ended == ['first', 'high', 'low']


async def test_whole_answer_has_the_text_of_the_prompt() -> None:
    """Guards against generated text that a client cannot verify."""
    async with serving(ServiceKind.generation) as standin:
        body = {'prompt': 'levy', 'max_tokens': 20}
        _, answer = await ask(standin, 'POST', 'completions', body)
    assert answer['output']['text'] == expected_tokens('levy', 20)


async def test_tokens_depend_on_the_software_version() -> None:
    """Guards against joined text of two versions that no test can detect."""
    body = {'prompt': 'levy', 'max_tokens': 20}
    texts = []
    for version in ('', '1', '2'):
        async with serving(
            ServiceKind.generation,
            software_version=version,
        ) as standin:
            _, answer = await ask(standin, 'POST', 'completions', body)
        texts.append(answer['output']['text'])
        assert texts[-1] == expected_tokens('levy', 20, version)
    words = [text.split() for text in texts]
    assert all(len(set(column)) == 3 for column in zip(*words, strict=True))


@pytest.mark.parametrize('checks', [True, False])
async def test_fencing_check_is_a_setting(checks: bool) -> None:
    """Guards against an engine that applies orders of a former leader."""
    engine = EngineSettings(checks_fencing=checks, load_model_s=0.05)
    async with serving(ServiceKind.generation, engine=engine) as standin:
        load = order(7, 'load_model', model='m')
        assert (await ask(standin, 'POST', 'orders', load))[0] == 202
        _, view = await ask(standin, 'GET', 'engine')
        assert (view['models'], view['loading']) == ({}, ['m'])
        stale = order(6, 'unload_model', model='m')
        status, _ = await ask(standin, 'POST', 'orders', stale)
        assert status == (409 if checks else 202)
        await asyncio.sleep(0.1)
        _, view = await ask(standin, 'GET', 'engine')
        assert ('m' in view['models']) is checks
        assert view['fencing'] == 7


async def test_repeated_order_runs_once() -> None:
    """Guards against a second load when an order is resent."""
    engine = EngineSettings(load_model_s=0.05)
    async with serving(ServiceKind.generation, engine=engine) as standin:
        load = order(1, 'load_model', model='m')
        await ask(standin, 'POST', 'orders', load)
        await asyncio.sleep(0.1)
        await ask(standin, 'POST', 'orders', load)
        _, view = await ask(standin, 'GET', 'engine')
        assert view['models'] == {'m': ''}


async def test_dead_target_refuses_connections_and_returns() -> None:
    """Guards against a dead target that still accepts connections."""
    async with serving() as standin:
        assert (await ask(standin, 'POST', 'faults', {'dead_s': 1}))[0] == 200
        await until(lambda: not standin.is_listening)
        with pytest.raises(aiohttp.ClientConnectorError):
            await ask(standin, 'GET', 'load')
        await until(lambda: standin.is_listening)
        assert (await ask(standin, 'GET', 'load'))[0] == 200


async def test_engine_ends_under_a_text_and_returns() -> None:
    """Guards against a stand-in that cannot play a crashing prompt."""
    async with serving(kind=ServiceKind.generation) as standin:
        faults = {'crash_on_text': 'dead', 'crash_s': 0.2}
        assert (await ask(standin, 'POST', 'faults', faults))[0] == 200
        sound = {'prompt': 'alive', 'max_tokens': 2}
        assert (await ask(standin, 'POST', 'completions', sound))[0] == 200
        with pytest.raises(aiohttp.ClientError):
            await ask(
                standin,
                'POST',
                'completions',
                {'prompt': 'dead', 'max_tokens': 2},
            )
        await until(lambda: not standin.is_listening)
        with pytest.raises(aiohttp.ClientError):
            await ask(standin, 'POST', 'completions', sound)
        await until(lambda: standin.is_listening)
        assert (await ask(standin, 'POST', 'completions', sound))[0] == 200
