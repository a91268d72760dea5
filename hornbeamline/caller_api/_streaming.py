"""Answers as server-sent events."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from hornbeamline.caller_api._problems import answer_body, problem_body
from hornbeamline.caller_api.const import HEARTBEAT_INTERVAL_S
from hornbeamline.helpers.codec import encode_json
from hornbeamline.pipeline import Outcome, OutcomeKind, TokenEvents

_HEARTBEAT: Final = b': heartbeat\n\n'


class EventStream:
    """Token events, heartbeats and the final event of one request."""

    def __init__(
        self,
        request_id: str,
        running: asyncio.Task[Outcome],
        events: TokenEvents,
    ) -> None:
        """Take the request in progress and its token events."""
        self._request_id = request_id
        self._running = running
        self._events = events
        self._is_idle = True
        self._timer: asyncio.TimerHandle | None = None
        running.add_done_callback(lambda _: events.wake())

    async def wait_begin(self) -> None:
        """Wait for tokens, the outcome or the time of a heartbeat."""
        if self._running.done():
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HEARTBEAT_INTERVAL_S, self._events.wake)
        await self._events.wait_ready()
        timer.cancel()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the stream; ends early when the request was cancelled."""
        self._beat()
        try:
            while not self._running.done():
                await self._events.wait_ready()
                events = self._events.take()
                if events:
                    self._is_idle = False
                    yield events
            yield self._events.take() + self._final()
        finally:
            self.close()

    def close(self) -> None:
        """End the heartbeats and, if it still runs, the request."""
        if self._timer is not None:
            self._timer.cancel()
        self._events.close()
        self._running.cancel()

    def _beat(self) -> None:
        if self._is_idle:
            self._events.offer(_HEARTBEAT)
        self._is_idle = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)

    def _final(self) -> bytes:
        if self._running.cancelled():
            return b''
        if self._running.exception() is not None:
            # The status line is out; the request may have run.
            fault = Outcome(OutcomeKind.unknown, None, 'internal_error')
            return _event('problem', problem_body(self._request_id, fault))
        outcome = self._running.result()
        if outcome.kind is OutcomeKind.answered:
            return _event('answer', answer_body(self._request_id, outcome))
        return _event('problem', problem_body(self._request_id, outcome))


def _event(name: str, body: dict[str, Any]) -> bytes:
    return b'event: %b\ndata: %b\n\n' % (name.encode(), encode_json(body))
