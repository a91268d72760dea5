"""Entry point of `python -m hornbeamline.platform entry|control`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final, TypeAlias

from hornbeamline.daemons.gateway import GatewayDaemon
from hornbeamline.daemons.keeper import KeeperDaemon
from hornbeamline.exceptions import HornbeamlineError, InventoryError
from hornbeamline.platform._run import (
    control_daemon,
    entry_daemon,
    settings_path,
)
from hornbeamline.telemetry import NonBlockingSink, configure_logs, log_crashes

EXIT_USAGE: Final = 2
EXIT_FAILED: Final = 1

_Maker: TypeAlias = Callable[[Path], GatewayDaemon | KeeperDaemon]
_makers_by_role: Final[dict[str, _Maker]] = {
    'entry': entry_daemon,
    'control': control_daemon,
}


async def _serve(role: str) -> int:
    log_crashes()
    daemon = _makers_by_role[role](settings_path())
    sink = NonBlockingSink(sys.stdout.fileno())
    configure_logs(sink, host=daemon.host, role=role)
    return await daemon.run()


def main(arguments: list[str]) -> int:
    """Run a daemon until it is stopped; return the exit code."""
    if len(arguments) != 1 or arguments[0] not in _makers_by_role:
        sys.stderr.write('usage: hornbeamline.platform entry|control\n')
        return EXIT_USAGE
    try:
        return asyncio.run(_serve(arguments[0]))
    except InventoryError as error:
        sys.stderr.write(f'hornbeamline: {error}\n')
        return EXIT_USAGE
    except HornbeamlineError as error:
        sys.stderr.write(f'hornbeamline: {error}\n')
        return EXIT_FAILED


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
