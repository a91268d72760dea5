"""Sending of scheduled requests and recording of their outcomes."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Final

import aiohttp
import msgspec

from hornbeamline.core import TaskSet
from hornbeamline.load._arrivals import Arrival, arrivals
from hornbeamline.load._balancer import Balancer
from hornbeamline.load._settings import LoadSettings
from hornbeamline.load._types import Ending, EndingKind
from hornbeamline.standins import prompt_seed, token_text

# Time for which a caller waits for the outcome after its deadline.
GRACE_S: Final = 2.0
_HTTP_OK: Final = 200
_MS_PER_S: Final = 1000


class LoadRunner:
    """Runs one open-loop load: requests are sent without awaiting answers."""

    def __init__(
        self,
        settings: LoadSettings,
        on_ended: Callable[[Ending], None],
    ) -> None:
        """Initialize with settings and a callback for each ended request."""
        self._settings = settings
        self._on_ended = on_ended
        self._balancer = Balancer(settings.entries)
        self._tasks = TaskSet()
        self._in_progress = 0
        self._began_at = float(0)
        # Part of every request key: a second run with the same seed would
        # otherwise look like resends of the first.
        self._run_id = uuid.uuid4().hex[:12]
        self._rng = random.Random(settings.seed)

    async def run(self) -> None:
        """Send all scheduled requests and wait until each one has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._balancer.start(session)
            try:
                await self._send_all(session)
            finally:
                await self._tasks.cancel_all()
                await self._balancer.stop()

    async def _send_all(self, session: aiohttp.ClientSession) -> None:
        self._began_at = time.monotonic()
        sending: list[asyncio.Task[Any]] = []
        for arrival in arrivals(self._settings):
            wait_s = self._began_at + arrival.at_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if self._in_progress >= self._settings.max_in_progress:
                continue
            self._in_progress += 1
            sending.append(
                self._tasks.spawn(
                    self._send(session, arrival),
                    f'request {arrival.number}',
                ),
            )
        await asyncio.gather(*sending)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        arrival: Arrival,
    ) -> None:
        try:
            ending = await self._send_until_ended(session, arrival)
        finally:
            self._in_progress -= 1
        self._on_ended(ending)

    async def _send_until_ended(
        self,
        session: aiohttp.ClientSession,
        arrival: Arrival,
    ) -> Ending:
        key = ''
        if arrival.pipeline in self._settings.keyed_pipelines:
            key = f'{self._run_id}-{arrival.number}'
        began_at = time.monotonic()
        deadline_at = began_at + self._settings.deadline_ms / _MS_PER_S
        entry = ''
        sends = 0
        while True:
            sends += 1
            entry = self._balancer.pick(avoid=entry)
            attempt = await self._send_once(session, arrival, key, entry)
            delay_s = self._resend_delay_s(attempt, sends)
            if delay_s is None or time.monotonic() + delay_s >= deadline_at:
                break
            await asyncio.sleep(delay_s)
        ended_at = time.monotonic()
        return Ending(
            arrival.pipeline,
            arrival.account,
            key,
            attempt.kind,
            attempt.reason,
            began_at - self._began_at,
            ended_at - began_at,
            ended_at <= deadline_at,
            sends,
            attempt.costs,
        )

    def _resend_delay_s(self, attempt: _Attempt, sends: int) -> float | None:
        """Return the delay before a resend, None when there is none."""
        if attempt.kind is EndingKind.connection_lost:
            may_resend = sends <= self._settings.resends
            return self._rng.uniform(0, 0.1) if may_resend else None
        if attempt.kind is EndingKind.not_run:
            return attempt.retry_after_s if self._obeys_retry_after else None
        return None

    @property
    def _obeys_retry_after(self) -> bool:
        return self._settings.obey_retry_after

    async def _send_once(
        self,
        session: aiohttp.ClientSession,
        arrival: Arrival,
        key: str,
        entry: str,
    ) -> _Attempt:
        credential = self._settings.credentials[arrival.account]
        headers = {'Authorization': f'Bearer {credential}'}
        if key:
            headers['Idempotency-Key'] = key
        nonce = f'{arrival.shared_text} {self._run_id}.{arrival.number}'.strip()
        deadline_ms = self._settings.deadline_ms
        try:
            async with session.post(
                f'http://{entry}/v1/pipelines/{arrival.pipeline}/requests',
                json={
                    'input': {'nonce': nonce, 'prompt': nonce},
                    'deadline_ms': deadline_ms,
                },
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=deadline_ms / _MS_PER_S + GRACE_S,
                ),
            ) as response:
                body = await response.read()
                attempt = _parse_answer(response.status, body)
        except (aiohttp.ClientError, TimeoutError) as error:
            return _Attempt(
                kind=EndingKind.connection_lost,
                reason=type(error).__name__,
            )
        is_checked = self._settings.check_answers and attempt.output is not None
        if is_checked and not is_own_answer(
            attempt.output or {},
            nonce,
            self._settings.software_versions,
        ):
            return _Attempt(kind=EndingKind.wrong_answer)
        return attempt


class _Attempt(msgspec.Struct, frozen=True, kw_only=True):
    kind: EndingKind
    reason: str = ''
    retry_after_s: float = 0
    costs: tuple[dict[str, Any], ...] = ()
    # None unless answered.
    output: dict[str, Any] | None = None


def is_own_answer(
    output: dict[str, Any],
    nonce: str,
    software_versions: Iterable[str] = ('',),
) -> bool:
    """Return whether an output of a stand-in belongs to a prompt.

    Plain stand-ins echo the input; engines generate text that depends only on
    the prompt and the engine's software version, which must be one of
    `software_versions`.
    """
    text = output.get('text')
    if text is None:
        echo = output.get('echo')
        return isinstance(echo, dict) and echo.get('nonce') == nonce
    tokens = len(text.split())
    expected_texts = (
        _expected_text(prompt_seed(nonce, version), tokens)
        for version in software_versions
    )
    return tokens > 0 and text in expected_texts


def _expected_text(seed: int, tokens: int) -> str:
    return ''.join(token_text(seed, index) for index in range(tokens))


def _parse_answer(status: int, body: bytes) -> _Attempt:
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return _Attempt(kind=EndingKind.rejected, reason=f'status {status}')
    if status == _HTTP_OK:
        return _Attempt(
            kind=EndingKind.answered,
            costs=tuple(answer.get('costs', ())),
            output=answer.get('output') or {},
        )
    outcome = answer.get('outcome', '')
    if outcome not in {EndingKind.not_run.value, EndingKind.unknown.value}:
        return _Attempt(kind=EndingKind.rejected, reason=f'status {status}')
    return _Attempt(
        kind=EndingKind(outcome),
        reason=answer.get('reason', ''),
        retry_after_s=float(answer.get('retry_after_s', 0)),
    )
