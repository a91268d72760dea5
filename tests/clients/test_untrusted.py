"""Processes under clients that send without end or hold bodies back.

Guards against processes that end for want of memory or file descriptors.
Only the memory, the open files and one ordinary answer are checked.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.clients import crowd
from tests.clients.fleet import (
    CONTROL,
    ENTRY,
    MAX_FDS,
    MEMORY_MB,
    limited_fleet,
)

# Streams with the number of clients and the pause between two pieces.
CASES = {
    'many_fields': (crowd.many_fields, crowd.SENDERS, 0),
    'one_field': (crowd.one_field, crowd.SENDERS, 0),
    'request_line': (crowd.request_line, crowd.SENDERS, 0),
    'empty_lines': (crowd.empty_lines, crowd.SENDERS, 0),
    'trailers': (crowd.trailers, crowd.SENDERS, 0),
    'extensions': (crowd.extensions, crowd.SENDERS, 0),
    'bodies_with_length': (crowd.body_with_length, crowd.BODIES, 0),
    'bodies_in_chunks': (crowd.body_in_chunks, crowd.BODIES, 0),
    'slow_bodies_with_length': (crowd.body_with_length, crowd.BODIES, 0.03),
    'slow_bodies_in_chunks': (crowd.body_in_chunks, crowd.BODIES, 0.03),
    'idle': (crowd.nothing, crowd.IDLE, 0),
}


@pytest.mark.parametrize('name', [ENTRY, CONTROL])
@pytest.mark.parametrize('case', CASES)
async def test_process_keeps_within_its_limits(
    tmp_path: Path, case: str, name: str
) -> None:
    """Fault: a crowd of clients that need more than the process has."""
    stream, count, pause_s = CASES[case]
    async with limited_fleet(tmp_path) as fleet:
        clients = crowd.crowd(
            fleet.address(name),
            stream,
            count,
            is_operator=name == CONTROL,
            pause_s=pause_s,
        )
        async with clients:
            open_files = fleet.open_files(name)
            await fleet.until_answered(name)
            peak_mb = fleet.peak_mb(name)
        assert not fleet.group.exited()
    assert peak_mb < MEMORY_MB
    assert open_files < MAX_FDS
