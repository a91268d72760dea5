"""Stand-in for targets of all kinds, from model engines to plain services.

The server uses aiohttp instead of falcon, because the faults need access to
the transport of a connection to reset or silence it.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import Any, Final

from aiohttp import web

from hornbeamline.core import TaskSet
from hornbeamline.helpers.clock import MS_PER_S
from hornbeamline.helpers.codec import decode_json, encode_json
from hornbeamline.helpers.listeners import bind_listener
from hornbeamline.inventory import ServiceKind
from hornbeamline.standins._batch import Batch, Sequence, token_text
from hornbeamline.standins._faults import FAULTS_KEY, FaultInjector, abort
from hornbeamline.standins._orders import EngineState, OrderBody
from hornbeamline.standins._settings import Faults, StandinSettings

_LOAD_SAMPLE_INTERVAL_S: Final = 0.05
_MAX_LOAD_SAMPLES: Final = 200
_CLIENT_CLOSED: Final = 499
_BACKLOG: Final = 2048
_MAX_BODY_BYTES: Final = 16_777_216


class StandinTarget:
    """Serves the target interface and counts executions by request key."""

    def __init__(self, settings: StandinSettings) -> None:
        """Initialize with the settings of the target."""
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.fault_injector = FaultInjector(settings.faults, self.rng)
        self.tasks = TaskSet()
        self.slots = asyncio.Semaphore(settings.concurrency)
        self.executions_by_key: dict[str, int] = {}
        self.cancelled: list[str] = []
        # Work in progress by request id, for `POST /v1/cancel`.
        self.work_by_id: dict[str, asyncio.Task[Any] | Sequence] = {}
        self._answers_by_key: dict[str, dict[str, Any]] = {}
        # Time, running requests and queued requests of each sample.
        self._load_samples: deque[tuple[float, int, int]] = deque(
            maxlen=_MAX_LOAD_SAMPLES,
        )
        self._runner: web.AppRunner | None = None
        self.is_listening = False
        self.batch: Batch | None = None
        self.engine_state = EngineState(settings.engine, self.tasks)

    async def start(self) -> None:
        """Start the background tasks and listen on the configured address."""
        if self.settings.kind is ServiceKind.generation:
            self.batch = Batch(
                self.settings.engine,
                self.rng,
                lambda: self.fault_injector.faults.slow,
            )
            self.tasks.spawn(self.batch.run(), 'batch')
        self.tasks.spawn(self._sample_load(), 'load samples')
        await self.listen()

    async def stop(self) -> None:
        """Cancel all tasks and stop listening."""
        await self.tasks.cancel_all()
        await self.close_listener()

    async def listen(self) -> None:
        """Accept connections; raises `AddressInUseError`."""
        app = web.Application(
            middlewares=[self.fault_injector.middleware],
            client_max_size=_MAX_BODY_BYTES,
        )
        app.add_routes(Routes(self).table())
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        listener = bind_listener(self.settings.address)
        await web.SockSite(self._runner, listener, backlog=_BACKLOG).start()
        self.is_listening = True

    async def close_listener(self) -> None:
        """Close the listener and all open connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        self.is_listening = False

    def set_faults(self, faults: Faults, keep: Any = None) -> None:
        """Replace the faults; `keep` is a connection not to be silenced."""
        self.fault_injector.replace(faults, keep)
        if faults.dead_s:
            self.tasks.spawn(self._simulate_outage(faults.dead_s), 'dead')

    def is_deadly(self, sequence: Sequence) -> bool:
        """Return whether the engine ends when it answers a prompt."""
        text = self.fault_injector.faults.crash_on_text
        return bool(text) and text in sequence.prompt

    def crash(self) -> None:
        """Reset all connections and stop listening for `crash_s`."""
        crash_s = self.fault_injector.faults.crash_s
        self.fault_injector.abort_connections()
        self.tasks.spawn(self._simulate_outage(crash_s), 'crash')

    async def execute(self, request_key: str, output: Any) -> dict[str, Any]:
        """Occupy a slot for a random service time; return output and usage.

        With `deduplicates`, a repeated request key gets the recorded answer.
        """
        previous_answer = self._answers_by_key.get(request_key)
        if previous_answer is not None and self.settings.deduplicates:
            return previous_answer
        async with self.slots:
            if request_key:
                count = self.executions_by_key.get(request_key, 0)
                self.executions_by_key[request_key] = count + 1
            jitter_ms = self.rng.uniform(0, self.settings.service_jitter_ms)
            service_ms = self.settings.service_ms + jitter_ms
            service_ms *= self.fault_injector.faults.slow
            await asyncio.sleep(service_ms / MS_PER_S)
        usage = {'target_ms': service_ms, 'tokens': 0}
        answer = {'output': output, 'usage': usage}
        if request_key:
            self._answers_by_key[request_key] = answer
        return answer

    def cancel(self, request_id: str) -> bool:
        """Cancel the work of a request; return whether there was any."""
        work = self.work_by_id.get(request_id)
        if work is None:
            return False
        self.cancelled.append(request_id)
        work.cancel()
        return True

    def load(self) -> dict[str, Any]:
        """Return the body for `GET /v1/load`, delayed by `load_delay_s`."""
        now = asyncio.get_running_loop().time()
        visible_until = now - self.settings.load_delay_s
        reported = (now, 0, 0)
        for sample in self._load_samples:
            if sample[0] <= visible_until:
                reported = sample
        return {
            'in_progress': reported[1],
            'queued': reported[2],
            'age_s': now - reported[0],
        }

    async def _sample_load(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            if self.batch is None:
                running = min(len(self.work_by_id), self.settings.concurrency)
                queued = len(self.work_by_id) - running
            else:
                running, queued = len(self.batch.running), self.batch.queued
            self._load_samples.append((now, running, queued))
            await asyncio.sleep(_LOAD_SAMPLE_INTERVAL_S)

    async def _simulate_outage(self, dead_s: float) -> None:
        self.fault_injector.abort_connections()
        await self.close_listener()
        await asyncio.sleep(dead_s)
        await self.listen()


class Routes:
    """Handlers of the target interface."""

    def __init__(self, target: StandinTarget) -> None:
        """Initialize with the target to which the handlers belong."""
        self._target = target

    def table(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post('/v1/run', self.run),
            web.post('/v1/completions', self.complete),
            web.post('/v1/cancel/{request_id}', self.cancel),
            web.get('/v1/load', self.load),
            web.get('/v1/cache_events', self.cache_events),
            web.get('/v1/engine', self.engine),
            web.post('/v1/orders', self.order),
            web.get('/v1/executions', self.executions),
            web.post('/v1/faults', self.faults),
        ]

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Execute a stage other than generation."""
        payload = decode_json(await request.read(), dict[str, Any])
        output = {
            'target': self._target.settings.name,
            'stage': payload['stage'],
            'echo': payload['input'],
        }
        key = request.headers.get('Idempotency-Key', '')
        request_id = request.headers.get('X-Request-Id', '')
        work = asyncio.ensure_future(self._target.execute(key, output))
        self._target.work_by_id[request_id] = work
        try:
            answer = await work
        except asyncio.CancelledError:
            return web.Response(status=_CLIENT_CLOSED)
        finally:
            self._target.work_by_id.pop(request_id, None)
        return _json({'request_id': _reported_request_id(request), **answer})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Generate tokens, streamed as server-sent events or in one body."""
        batch = self._target.batch
        if batch is None:
            return web.Response(status=404)
        payload = decode_json(await request.read(), dict[str, Any])
        sequence = Sequence(
            payload['prompt'],
            payload['max_tokens'],
            payload.get('resume_from', 0),
            self._target.settings.software_version,
        )
        request_id = request.headers.get('X-Request-Id', '')
        self._target.work_by_id[request_id] = sequence
        batch.add(sequence, int(request.headers.get('X-Priority', '0')))
        try:
            if self._target.is_deadly(sequence):
                await sequence.wait_beyond(sequence.generated)
                self._target.crash()
                return web.Response(status=_CLIENT_CLOSED)
            if payload.get('stream'):
                return await self._stream(request, sequence)
            return await self._unstreamed(request, sequence)
        except ConnectionResetError:
            return web.Response(status=_CLIENT_CLOSED)
        finally:
            sequence.cancel()
            self._target.work_by_id.pop(request_id, None)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request in progress."""
        found = self._target.cancel(request.match_info['request_id'])
        return _json({'cancelled': found})

    async def load(self, _request: web.Request) -> web.Response:
        """Report the delayed load."""
        return _json(self._target.load())

    async def cache_events(self, request: web.Request) -> web.Response:
        """Report the cache events after an event number."""
        after = int(request.query.get('after', '0'))
        batch = self._target.batch
        if batch is None:
            return _json({'events': [], 'last': 0})
        return _json(
            {
                'events': batch.cache.events_after(after),
                'last': batch.cache.last_number,
            },
        )

    async def engine(self, _request: web.Request) -> web.Response:
        """Report models, adapters and role."""
        return _json(self._target.engine_state.view())

    async def order(self, request: web.Request) -> web.Response:
        """Apply an order."""
        order = decode_json(await request.read(), OrderBody)
        status, answer = self._target.engine_state.handle_order(order)
        return _json(answer, status)

    async def executions(self, _request: web.Request) -> web.Response:
        """Report the number of executions by request key."""
        return _json(self._target.executions_by_key)

    async def faults(self, request: web.Request) -> web.Response:
        """Replace the faults."""
        faults = decode_json(await request.read(), Faults)
        self._target.set_faults(faults, request.transport)
        return _json({})

    async def _unstreamed(
        self,
        request: web.Request,
        sequence: Sequence,
    ) -> web.Response:
        first = sequence.generated
        await sequence.wait_beyond(sequence.max_tokens - 1)
        text = ''.join(
            token_text(sequence.seed, index)
            for index in range(first, sequence.generated)
        )
        usage = _usage(sequence, first, 0)
        answer = {'output': {'text': text}, 'usage': usage}
        return _json({'request_id': _reported_request_id(request), **answer})

    async def _stream(
        self,
        request: web.Request,
        sequence: Sequence,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'X-Request-Id': _reported_request_id(request),
            },
        )
        if self._target.settings.software_version:
            response.headers['X-Software-Version'] = (
                self._target.settings.software_version
            )
        started_at = asyncio.get_running_loop().time()
        first = sequence.generated
        await response.prepare(request)
        await self._write_tokens(request, response, sequence)
        if sequence.cancelled:
            return response
        elapsed_s = asyncio.get_running_loop().time() - started_at
        usage = encode_json(_usage(sequence, first, elapsed_s)).decode()
        await response.write(f'event: done\ndata: {usage}\n\n'.encode())
        return response

    async def _write_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        sequence: Sequence,
    ) -> None:
        faults = request.get(FAULTS_KEY, Faults())
        written = sequence.generated
        while not (sequence.ended and written == sequence.generated):
            await sequence.wait_beyond(written)
            if self._target.fault_injector.is_silent(request):
                await asyncio.Event().wait()
            tokens = b''.join(
                token_event(sequence.seed, index)
                for index in range(written, sequence.generated)
            )
            await response.write(tokens)
            written = sequence.generated
            if 0 < faults.break_stream_after <= written:
                abort(request)
                return
            if 0 < faults.stall_stream_after <= written:
                await asyncio.Event().wait()


def token_event(seed: int, index: int) -> bytes:
    """Return the server-sent event of one token."""
    text = token_text(seed, index)
    return f'event: token\nid: {index}\ndata: {{"text":"{text}"}}\n\n'.encode()


def _usage(
    sequence: Sequence,
    first: int,
    elapsed_s: float,
) -> dict[str, Any]:
    return {
        'target_ms': elapsed_s * MS_PER_S,
        'tokens': sequence.generated - first,
    }


def _reported_request_id(request: web.Request) -> str:
    faults = request.get(FAULTS_KEY, Faults())
    if faults.wrong_request_id:
        return 'another-request'
    return request.headers.get('X-Request-Id', '')


def _json(content: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=encode_json(content),
        status=status,
        content_type='application/json',
    )
