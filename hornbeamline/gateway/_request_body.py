"""Reads request bodies and detects disconnects of callers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias

from hornbeamline.exceptions import GatewayError
from hornbeamline.gateway._types import Refusal
from hornbeamline.gateway.const import REASON_BODY_TOO_LARGE
from hornbeamline.gateway.errors import RefusedError

Receive: TypeAlias = Callable[[], Awaitable[Any]]

MAX_BODY_BYTES: Final = 4_194_304
_TOO_LARGE: Final = 413


class CallerLeftError(GatewayError):
    """The caller closed its connection before the answer was complete."""


async def read_body(receive: Receive, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return a request body.

    Raises `CallerLeftError` if the caller disconnects and `RefusedError` if
    the body is too large.
    """
    collected = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerLeftError
        part: bytes = message.get('body', b'')
        if len(collected) + len(part) > max_bytes:
            raise RefusedError(Refusal(_TOO_LARGE, REASON_BODY_TOO_LARGE))
        if not collected and not message.get('more_body', False):
            # The listener has read the whole body; it is not copied again.
            return part
        collected += part
        if not message.get('more_body', False):
            return bytes(collected)


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller closes its connection."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return
