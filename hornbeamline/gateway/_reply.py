"""Response to a caller over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final

from hornbeamline.gateway._wire import Answer
from hornbeamline.helpers.clock import Clock

Send = Callable[[Any], Awaitable[None]]
_CLOSE: Final = ('Connection', 'close')


class Reply:
    """Send one response and track its progress."""

    def __init__(
        self,
        send: Send,
        clock: Clock,
        *,
        closes: Callable[[], bool],
    ) -> None:
        """Create a reply; `closes` tells whether to close the connection."""
        self._send = send
        self._clock = clock
        self._closes = closes
        self.status = 0
        # Time at which the head was sent.
        self.begun_at: float | None = None
        # Longest time between two parts of the body.
        self.longest_pause_s: float = 0
        self._last_part_at: float | None = None
        self.is_complete = False
        # For logs and metrics; unset until the route is known.
        self.route_name = ''
        self.aim_s: float | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the head has been sent."""
        return bool(self.status)

    async def begin(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
    ) -> None:
        """Send status and headers."""
        self.status = status
        self.begun_at = self._clock.monotonic()
        all_headers = [*headers, _CLOSE] if self._closes() else headers
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode('latin-1'), text.encode('latin-1'))
                    for name, text in all_headers
                ],
            },
        )

    async def add(self, chunk: bytes) -> None:
        """Send a part of the body."""
        now = self._clock.monotonic()
        if self._last_part_at is not None:
            pause_s = now - self._last_part_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_part_at = now
        await self._send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True},
        )

    async def end(self, chunk: bytes = b'') -> None:
        """Send the last part of the body."""
        await self._send({'type': 'http.response.body', 'body': chunk})
        self.is_complete = True

    async def send(self, answer: Answer) -> None:
        """Send a complete answer."""
        length = ('Content-Length', str(len(answer.body)))
        await self.begin(answer.status, [*answer.headers, length])
        await self.end(answer.body)
