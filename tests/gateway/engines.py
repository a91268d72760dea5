"""Engines that end when they begin to answer a prompt with a given part."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Collection

from hornbeamline.gateway import Target
from hornbeamline.gateway.errors import MayHaveRunError, TargetGoneError
from tests.gateway.builders import make_target

# Time from the head of an answer to its first event, if the head comes early.
EARLY_HEAD_S = 0.05


class EngineResponse:
    """Stream of an engine, which breaks off if the engine ends."""

    status = 200

    def __init__(self, request_id: str, events: int, *, breaks: bool) -> None:
        self.headers = [
            (b'X-Request-Id', request_id.encode()),
            (b'X-Server-Stamp', b's'),
        ]
        self._events = events
        self._breaks = breaks

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the events."""
        for number in range(self._events):
            yield b'id: %d\ndata: x\n\n' % number
        if self._breaks:
            raise MayHaveRunError('connection was lost')


class Engines:
    """HTTP client of engines in memory; an ended engine refuses connections."""

    def __init__(self, count: int, deadly_parts: Collection[str]) -> None:
        self.targets: list[Target] = [
            make_target(f'e{number}', address=f'10.0.0.{number}:1', slots=64)
            for number in range(count)
        ]
        self.deadly_parts = frozenset(deadly_parts)
        self.ended: list[str] = []

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        raw_target: str,
        headers: list[tuple[str, str]],
        body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> AsyncIterator[EngineResponse]:
        """Answer with two events, or end if the prompt has a deadly part."""
        if address in self.ended:
            raise TargetGoneError('connection refused')
        if on_sent is not None:
            on_sent()
        fields = dict(headers)
        parts = {
            entry.partition(':')[0]
            for entry in fields['x-prompt-prefix'].split(',')
        }
        is_deadly = bool(parts & self.deadly_parts)
        if is_deadly:
            self.ended.append(address)
        yield EngineResponse(
            fields['x-request-id'], 0 if is_deadly else 2, breaks=is_deadly
        )

    async def is_listening(self, address: str) -> bool:
        """Return whether an engine accepts connections."""
        return address not in self.ended


class EarlyHeadResponse(EngineResponse):
    """Stream whose head comes long before its first event."""

    def __init__(self, request_id: str, ended: asyncio.Event) -> None:
        super().__init__(request_id, 2, breaks=False)
        self._ended = ended

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the events, unless the engine ends before the first one."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EARLY_HEAD_S):
                await self._ended.wait()
        if self._ended.is_set():
            raise MayHaveRunError('connection was lost')
        async for chunk in super().chunks():
            yield chunk


class EarlyHeadEngines(Engines):
    """Engines that send heads at once, and end under a deadly part without."""

    def __init__(self, count: int, deadly_parts: Collection[str]) -> None:
        super().__init__(count, deadly_parts)
        self._ended_by_address: dict[str, asyncio.Event] = {}

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        raw_target: str,
        headers: list[tuple[str, str]],
        body: bytes | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> AsyncIterator[EngineResponse]:
        """Send the head at once, or end with all answers in progress."""
        async with super().send(
            address, method, raw_target, headers, body, on_sent
        ):
            ended = self._ended_by_address.setdefault(address, asyncio.Event())
            if address in self.ended:
                ended.set()
                raise MayHaveRunError('connection was lost')
            yield EarlyHeadResponse(dict(headers)['x-request-id'], ended)

    def restart_all(self) -> None:
        """Start all engines again."""
        self.ended.clear()
        self._ended_by_address.clear()
