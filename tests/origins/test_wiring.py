"""How the daemons connect the origins of streams."""

from __future__ import annotations

import copy
import json
from pathlib import Path

from hornbeamline.documents._machine import compress
from hornbeamline.origins.service import OriginService
from hornbeamline.platform._control import control_daemon
from tests.common import write_toml
from tests.platform.test_document import DOCUMENT
from tests.platform.test_settings import SETTINGS_TABLE


# Failure: records and defaults were dropped while streams of a route with a
# long time limit still went on, since no one read the limits (ORDER).
async def test_retention_follows_the_limits_of_the_routes(
    tmp_path: Path,
) -> None:
    """Load: a route whose streams may take ten minutes."""
    table = {**SETTINGS_TABLE, 'data-dir': str(tmp_path)}
    daemon = control_daemon(write_toml(tmp_path / 's.toml', table))
    origins = daemon.kernel.service('origins', OriginService)
    document = copy.deepcopy(DOCUMENT)
    document['routes'][0]['timeout-ms'] = 600_000
    machine = origins._longest_stream_s._machine  # type: ignore[attr-defined]
    machine.current = compress(1, json.dumps(document).encode())
    assert origins.retention_s >= 600
