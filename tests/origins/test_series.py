"""Every version found is the one that began the stream, under faults."""

from __future__ import annotations

import pytest

from tests.origins.series import Series

pytestmark = pytest.mark.looptime(noop_cycles=0)


# Guards against a stream with events from two versions, after any fault.
@pytest.mark.parametrize('seed', [*range(1, 9), 122, 143])
async def test_found_version_began_the_stream(tmp_path, seed) -> None:
    """Releases, losses of leaders, hosts and power, cuts, lost messages."""
    series = Series(tmp_path, seed)
    await series.run()
    assert not series.wrong, '\n'.join(series.wrong)
    counts = series.counts
    assert counts['begun'] > 100
    # Most questions are answered in spite of the faults.
    assert counts['found'] > 3 * counts['not found']
