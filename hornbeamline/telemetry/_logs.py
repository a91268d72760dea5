"""Logs each event as a line of key=value pairs through eliot."""

from __future__ import annotations

import datetime
import functools
import json
import logging
import re
import sys
from collections.abc import Callable
from typing import Any, Final, Protocol

import eliot

_HIDDEN_FIELDS: Final = frozenset(
    (
        'timestamp',
        'task_uuid',
        'task_level',
        'message_type',
    )
)
_NEEDS_QUOTES: Final = re.compile(r'[\s"=]')
_SECRET_WORDS: Final = ('credential', 'secret', 'token_value', 'password')


class LogSink(Protocol):
    """Destination of log lines."""

    def write(self, line: str) -> Any:
        """Accept a line, which may be buffered."""

    def flush(self) -> None:
        """Write out the buffered lines."""


_configured: list[Callable[[dict[str, Any]], None]] = []


def configure_logs(stream: LogSink | None = None, **common: Any) -> None:
    """Send log lines to a stream (stderr by default).

    `common` fields, such as the host name, are added to every line. A
    further call replaces the previous destination.
    """
    while _configured:
        eliot.remove_destination(_configured.pop())
    sink = sys.stderr if stream is None else stream

    def write_line(message: dict[str, Any]) -> None:
        sink.write(format_line({**message, **common}))
        sink.flush()

    # asyncio warns without limit about each write to a connection that the
    # peer has closed; the event of the request already reports it.
    logging.getLogger('asyncio').setLevel(logging.ERROR)
    eliot.add_destinations(write_line)
    _configured.append(write_line)


def log_event(name: str, **fields: Any) -> None:
    """Log one event with its fields."""
    eliot.log_message(message_type=name, **fields)


def format_line(message: dict[str, Any]) -> str:
    """Format an eliot message as a line, with secrets masked."""
    moment = datetime.datetime.fromtimestamp(
        message['timestamp'],
        tz=datetime.UTC,
    )
    parts = [
        f'time={moment.isoformat(timespec="milliseconds")}',
        f'event={message.get("message_type", "eliot")}',
    ]
    for key, field in message.items():
        if key not in _HIDDEN_FIELDS:
            parts.append(f'{key}={_format_value(key, field)}')
    return f'{" ".join(parts)}\n'


def _format_value(key: str, field: Any) -> str:
    if _is_secret(key):
        return '***'
    text = f'{field:.6g}' if isinstance(field, float) else str(field)
    if text and _NEEDS_QUOTES.search(text) is None:
        return text
    return json.dumps(text)


# The cache needs no bound: keys are literals in the code, so there are few.
@functools.cache
def _is_secret(key: str) -> bool:
    return any(word in key for word in _SECRET_WORDS)
