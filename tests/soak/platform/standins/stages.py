"""Stand-in server that computes pieces of stages in batches."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from aiohttp import web

from tests.soak.platform.standins.server import StandinServer
from tests.soak.platform.world import World

_CALL_S = 0.03
_PIECE_S = 0.005


class StageServer(StandinServer):
    """Execute one call at a time and hold the results."""

    def __init__(self, world: World, service: str, rng: random.Random) -> None:
        super().__init__(world, service, rng)
        self._slot = asyncio.Semaphore(1)

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Compute the pieces of a call, or free results."""
        call = await request.json()
        if request.path == '/stage-free':
            for handle in call['handles']:
                self.world.results_by_handle.pop(handle, None)
            return web.json_response({})
        items: list[dict[str, Any]] = call['items']
        async with self._slot:
            gone = [not self._has_inputs(item) for item in items]
            await self.simulate_work(_CALL_S + _PIECE_S * len(items))
        outcomes = [
            {'reason': 'gone'} if is_gone else self._compute(item)
            for item, is_gone in zip(items, gone, strict=True)
        ]
        if self.is_affected(self.faults.lose) and request.transport is not None:
            request.transport.abort()
        if self.is_affected(self.faults.garble):
            return web.Response(body=b'{"items":[')
        return web.json_response({'items': outcomes})

    async def crash(self) -> None:
        """Crash and lose all results that this server holds."""
        await super().crash()
        own = f'{self.relay.address}/'
        for handle in [
            each
            for each in self.world.results_by_handle
            if each.startswith(own)
        ]:
            self.world.results_by_handle.pop(handle)

    def _has_inputs(self, item: dict[str, Any]) -> bool:
        sent = self.world.sent_by_id.get(item['id'])
        if sent is None or item['piece'] >= sent.pieces[item['stage']]:
            self.world.record_violation(f'UNASKED piece {item}')
            return False
        if not item['stage']:
            if item.get('key') != sent.piece_key:
                self.world.record_violation(f'UNASKED piece {item}: key')
            return True
        before = (item['stage'] - 1,)
        inputs = item.get('inputs', [])
        return self.world.check_inputs(item['id'], inputs, before)

    def _compute(self, item: dict[str, Any]) -> dict[str, str]:
        if self.is_affected(self.faults.error):
            return {'reason': 'error'}
        handle = f'{self.relay.address}/{self.rng.getrandbits(48):x}'
        result = (item['id'], item['stage'], item['piece'])
        self.world.results_by_handle[handle] = result
        return {'handle': handle}
