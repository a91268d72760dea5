"""Parser of the log lines that `_logs` writes."""

from __future__ import annotations

import datetime
import json
import re
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

# A key, followed by a JSON string or a word. Text before the first key is
# from the tool that collected the line.
_FIELD: Final = re.compile(r'(?:^|\s)([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
_TIME: Final = 'time'
_EVENT: Final = 'event'


class LogLine(NamedTuple):
    """Logged event."""

    at: datetime.datetime
    event: str
    # All other fields, as text.
    text_by_field: dict[str, str]


def read_line(line: str) -> LogLine | None:
    """Parse a line; return None if it is not a log line."""
    fields = {key: _parse_value(text) for key, text in _FIELD.findall(line)}
    try:
        at = datetime.datetime.fromisoformat(fields.pop(_TIME, ''))
    except ValueError:
        return None
    event = fields.pop(_EVENT, '')
    return LogLine(at, event, fields) if event else None


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of log lines; other lines are skipped."""
    for line in lines:
        parsed = read_line(line)
        if parsed is not None:
            yield parsed


def _parse_value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        # The line is truncated.
        return text.strip('"')
