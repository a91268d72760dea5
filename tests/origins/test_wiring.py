"""How the daemons connect the origins of streams."""

from __future__ import annotations

import copy
import json
from pathlib import Path

from hornbeamline.documents._machine import compress
from hornbeamline.helpers.clock import BootClock
from hornbeamline.origins.service import OriginService
from hornbeamline.platform._control import control_daemon
from hornbeamline.platform._entry import entry_daemon
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


# Failure: a host that had been suspended took a default from before for the
# present one, since its clock had stood still (ORDER).
async def test_beliefs_age_while_the_host_is_suspended(tmp_path: Path) -> None:
    """Guards against `SystemClock`, which stops while a host is suspended."""
    daemon = entry_daemon(write_toml(tmp_path / 's.toml', SETTINGS_TABLE))
    assert isinstance(daemon._origins._clock, BootClock)
