"""Streaming of answers as server-sent events."""

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
    """Stream of token events, heartbeats and the final event of a request."""

    def __init__(
        self,
        request_id: str,
        running: asyncio.Task[Outcome],
        events: TokenEvents,
    ) -> None:
        """Store the running request and the source of its token events."""
        self._request_id = request_id
        self._running = running
        self._events = events
        # Whether nothing was sent since the last heartbeat tick. A heartbeat
        # counts as sent, so an idle stream gets one at every other tick.
        self._is_idle = True
        self._timer: asyncio.TimerHandle | None = None
        running.add_done_callback(lambda _: events.wake())

    async def wait_first_event(self) -> None:
        """Wait for the first tokens, the outcome or the first heartbeat."""
        if self._running.done():
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HEARTBEAT_INTERVAL_S, self._events.wake)
        await self._events.wait_ready()
        timer.cancel()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the stream.

        A cancelled request ends the stream without a final event.
        """
        self._heartbeat_tick()
        try:
            while not self._running.done():
                await self._events.wait_ready()
                events = self._events.take()
                if events:
                    self._is_idle = False
                    yield events
            yield self._events.take() + self._final_event()
        finally:
            self.close()

    def close(self) -> None:
        """Stop the heartbeats and cancel the request if it is running."""
        if self._timer is not None:
            self._timer.cancel()
        self._events.close()
        self._running.cancel()

    def _heartbeat_tick(self) -> None:
        if self._is_idle:
            self._events.offer(_HEARTBEAT)
        self._is_idle = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            HEARTBEAT_INTERVAL_S, self._heartbeat_tick
        )

    def _final_event(self) -> bytes:
        if self._running.cancelled():
            return b''
        if self._running.exception() is not None:
            # The status line has already been sent, so the error is
            # reported as an event. The request may have run.
            failure = Outcome(OutcomeKind.unknown, None, 'internal_error')
            return _event('problem', problem_body(self._request_id, failure))
        outcome = self._running.result()
        if outcome.kind is OutcomeKind.answered:
            return _event('answer', answer_body(self._request_id, outcome))
        return _event('problem', problem_body(self._request_id, outcome))


def _event(name: str, body: dict[str, Any]) -> bytes:
    return b'event: %b\ndata: %b\n\n' % (name.encode(), encode_json(body))
