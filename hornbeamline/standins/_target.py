"""Stand-in of encoders, retrievers, rerankers and plain services."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

import falcon
from falcon.asgi import App, Request, Response

from hornbeamline.helpers.codec import decode_json, encode_json
from hornbeamline.helpers.http_server import HttpServer
from hornbeamline.standins._settings import StandinSettings


class StandinTarget:
    """Serves the target interface and counts every execution."""

    def __init__(self, settings: StandinSettings) -> None:
        """Take the behaviour of the target."""
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.slots = asyncio.Semaphore(settings.concurrency)
        self.executions_by_key: dict[str, int] = {}
        app: App[Request, Response] = App()
        app.add_route('/v1/run', _Run(self))
        app.add_route('/v1/executions', _Executions(self))
        self._server = HttpServer(app, settings.address)

    async def start(self) -> None:
        """Listen on the settings' address."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def execute(self, request_key: str) -> float:
        """Work for the drawn service time and return it in ms."""
        async with self.slots:
            started_at = time.monotonic()
            if request_key:
                count = self.executions_by_key.get(request_key, 0)
                self.executions_by_key[request_key] = count + 1
            service_ms = self.settings.service_ms + self.rng.uniform(
                0,
                self.settings.service_jitter_ms,
            )
            await asyncio.sleep(service_ms / 1000)
            return (time.monotonic() - started_at) * 1000


class _Run:
    def __init__(self, target: StandinTarget) -> None:
        self._target = target

    async def on_post(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        payload = decode_json(await req.stream.read(), dict[str, Any])
        request_key = req.get_header('Idempotency-Key') or ''
        target_ms = await self._target.execute(request_key)
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json(
            {
                'request_id': req.get_header('X-Request-Id') or '',
                'output': {
                    'target': self._target.settings.name,
                    'stage': payload['stage'],
                    'echo': payload['input'],
                },
                'usage': {'target_ms': target_ms, 'tokens': 0},
            }
        )


class _Executions:
    def __init__(self, target: StandinTarget) -> None:
        self._target = target

    async def on_get(self, _req: Any, resp: Response) -> None:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = encode_json(self._target.executions_by_key)
