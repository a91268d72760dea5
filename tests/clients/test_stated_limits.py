"""Tests of limits that settings and documents state."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from hornbeamline.clients import ProcessLimits, RequestLimits
from hornbeamline.documents import InvalidDocumentError
from hornbeamline.platform._document import read_routing_table
from hornbeamline.platform._settings import read_settings
from tests.clients.fleet import DOCUMENT_LIMITS
from tests.common import write_toml
from tests.platform.test_settings import SETTINGS_TABLE
from tests.soak.platform.fleet import document


@pytest.mark.parametrize(
    ('table', 'expected'),
    [
        (DOCUMENT_LIMITS, RequestLimits()),
        ({}, RequestLimits()),
        (
            {'max-header-bytes': -1, 'max-body-bytes': 1e300},
            RequestLimits(1_024, 67_108_864),
        ),
        (
            {'header-timeout-ms': 0, 'idle-timeout-ms': 10**30, 'new': []},
            RequestLimits(header_timeout_s=0.1, idle_timeout_s=3_600),
        ),
    ],
)
def test_limits_of_a_document_are_bounded(table, expected) -> None:
    """Failure: a figure of the document that no request can meet."""
    content = msgspec.json.encode({**document(1), 'limits': table})
    assert read_routing_table(content).limits == expected


def test_limits_that_are_no_numbers_are_refused() -> None:
    """Failure: a document that is accepted and not followed."""
    table = {'max-body-bytes': 'large'}
    content = msgspec.json.encode({**document(1), 'limits': table})
    with pytest.raises(InvalidDocumentError, match='max-body-bytes'):
        read_routing_table(content)


@pytest.mark.parametrize(
    ('table', 'memory_mb', 'max_fds'),
    [
        ({'memory-mb': 160, 'max-fds': 1638}, 160, 1638),
        ({'memory-mb': -5, 'max-fds': -5}, 0, 0),
        ({'memory-mb': float('inf')}, 0, 0),
        ({'memory-mb': float('nan')}, 0, 0),
        ({}, 0, 0),
    ],
)
def test_limits_of_the_settings_are_read(
    tmp_path: Path, table, memory_mb, max_fds
) -> None:
    """Failure: a process that does not know the size of its host."""
    path = write_toml(tmp_path / 's.toml', {**SETTINGS_TABLE, 'limits': table})
    settings = read_settings(path)
    assert (settings.memory_mb, settings.max_fds) == (memory_mb, max_fds)


def test_smallest_host_keeps_memory_and_descriptors() -> None:
    """Load: all connections and bytes of the smallest host are in use."""
    limits = ProcessLimits(160, 1638)
    assert 2 * limits.max_connections <= 1638 - 200
    assert limits.client_bytes <= 0.3 * 160 * 1024 * 1024
    assert ProcessLimits(1, 10).max_connections == 16
