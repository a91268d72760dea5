"""Requests whose prompts have a part that crashes engines."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.gateway import (
    PromptPart,
    RefusedError,
    RouteKind,
    VersionBinding,
)
from hornbeamline.gateway._guarded import guarded
from hornbeamline.gateway._job import Job
from hornbeamline.gateway._reply import Reply
from hornbeamline.gateway.const import REASON_PROMPT_QUARANTINED
from hornbeamline.gateway.errors import AnswerBrokenError
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.quarantine import PartQuarantine, PartQuarantinedError
from tests.gateway.builders import make_forwarder, make_request, make_route
from tests.gateway.engines import EARLY_HEAD_S, EarlyHeadEngines, Engines
from tests.gateway.test_forwarder import Caller
from tests.quarantine.builders import make_crash

DEADLY = 'deadly'


class Host:
    """One entry host whose callers send prompts to engines."""

    def __init__(self, engines: Engines) -> None:
        self._clock = SystemClock()
        self._forwarder = make_forwarder(engines, engines.targets, self._clock)
        self._quarantine = PartQuarantine('host', self._clock)
        self._requests = 0

    async def is_served(self, *parts: str) -> bool:
        """Send a request with these shared parts and a part of its own."""
        self._requests += 1
        name = f'r{self._requests}'
        prompt = (*parts, f'own-{name}')
        header = ','.join(f'{part}:100' for part in prompt)
        now = self._clock.monotonic()
        request = make_request(
            id=name,
            received_at=now,
            headers=(('x-request-id', name), ('x-prompt-prefix', header)),
            prompt=tuple(PromptPart(part, 100) for part in prompt),
        )
        route = make_route(
            kind=RouteKind.STREAM, max_attempts=3, can_resume=True
        )
        caller = Caller()
        reply = Reply(caller.send, self._clock, closes=lambda: False)
        shared = [part.id for part in request.shared_parts]
        try:
            with self._quarantine.guard(name, shared) as guard:
                job = Job(
                    request,
                    b'',
                    route,
                    'service',
                    None,
                    0,
                    now + 5,
                    [],
                    {},
                    _nothing,
                    guard,
                    VersionBinding(),
                )
                await self._forwarder.forward(job, reply)
        except (RefusedError, AnswerBrokenError, PartQuarantinedError):
            return False
        return caller.is_complete


# A part that crashes engines, on requests that are no two alike, ended one
# engine after the other.
async def test_requests_with_a_crashing_part_end_two_engines_at_most() -> None:
    """Guards against retries and new requests that crash more engines."""
    engines = Engines(31, [DEADLY])
    host = Host(engines)
    for number in range(12):
        assert await host.is_served('common', f'topic-{number}')
        assert not await host.is_served('common', f'topic-{number}', DEADLY)
    assert len(engines.ended) <= 2


# Crashes went on until no engine was left, so that requests without the part
# failed with those that had it.
async def test_sound_requests_with_the_same_beginning_are_served() -> None:
    """Guards against sound requests lost beside a part that crashes engines."""
    engines = Engines(6, [DEADLY])
    host = Host(engines)
    for _ in range(8):
        await host.is_served('common', 'topic', DEADLY)
        assert await host.is_served('common', 'topic')
        assert await host.is_served('common')


async def test_two_crashing_parts_are_told_apart() -> None:
    """Guards against a verdict on what the requests of both parts share."""
    engines = Engines(31, [DEADLY, 'other'])
    host = Host(engines)
    for _ in range(12):
        await host.is_served('common', DEADLY)
        await host.is_served('common', 'other')
        assert await host.is_served('common', 'topic')
    assert len(engines.ended) <= 4


# Failure: a deadly request ended all engines at once, and the part that all
# prompts begin with was named, since sound answers had a head and no event at
# each of them (LOST, review/4).
async def test_what_all_prompts_share_is_not_named_when_all_engines_end() -> (
    None
):
    """Guards against the refusal of all requests for minutes."""
    engines = EarlyHeadEngines(3, [DEADLY])
    host = Host(engines)
    for _ in range(20):
        assert all(
            await asyncio.gather(*(host.is_served('common') for _ in range(6)))
        )
    for _ in range(3):
        sound = [
            asyncio.ensure_future(host.is_served('common')) for _ in range(9)
        ]
        await asyncio.sleep(EARLY_HEAD_S / 2)
        assert not await host.is_served('common', DEADLY)
        await asyncio.gather(*sound)
        engines.restart_all()
        served = await asyncio.gather(
            *(host.is_served('common') for _ in range(6))
        )
        assert all(served)


# Failure: a request that ended its engine before the head of its answer was
# sent to all others, so that it ended all engines of the service.
async def test_request_that_ended_an_engine_early_is_not_sent_on() -> None:
    """Guards against one request that ends all engines."""
    engines = EarlyHeadEngines(6, [DEADLY])
    host = Host(engines)
    for _ in range(20):
        assert all(
            await asyncio.gather(*(host.is_served('common') for _ in range(6)))
        )
    assert not await host.is_served('common', DEADLY)
    assert len(engines.ended) == 1


def _crash(quarantine: PartQuarantine, target: str) -> None:
    guard = quarantine.guard(f'r-{target}', [DEADLY])
    guard.engine_ended(make_crash(target))


@pytest.mark.parametrize(('is_sent', 'status'), [(False, 503), (True, 502)])
async def test_refusal_says_whether_the_request_may_have_run(
    is_sent, status
) -> None:
    """Guards against "not run" for a request that an engine had."""
    quarantine = PartQuarantine('host', SystemClock())
    _crash(quarantine, 'e1')
    request = make_request(
        prompt=(PromptPart(DEADLY, 100), PromptPart('own', 100))
    )
    asyncio.get_running_loop().call_later(0.01, _crash, quarantine, 'e2')
    with (
        pytest.raises(RefusedError) as caught,
        guarded(quarantine, request) as guard,
    ):
        guard.may_have_run = is_sent
        await asyncio.sleep(10)
    refusal = caught.value.refusal
    assert refusal.status == status
    assert refusal.reason == REASON_PROMPT_QUARANTINED
    assert (refusal.retry_after_s is None) == is_sent


async def test_requests_with_a_named_part_are_refused_at_once() -> None:
    """Guards against stages that run for a request that is then refused."""
    quarantine = PartQuarantine('host', SystemClock())
    _crash(quarantine, 'e1')
    _crash(quarantine, 'e2')
    request = make_request(
        prompt=(PromptPart(DEADLY, 100), PromptPart('own', 100))
    )
    with (
        pytest.raises(RefusedError) as caught,
        guarded(quarantine, request),
    ):
        pytest.fail('the request was admitted')
    assert caught.value.refusal.status == 503


def _nothing() -> None:
    """Release no inputs."""
