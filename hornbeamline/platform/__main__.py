"""Entry point of `python -m hornbeamline.platform entry|control`.

Binds the caller address before it imports the rest of the package, so
that callers can connect early: the imports take seconds of simulated time
on the smallest hosts.
"""

from __future__ import annotations

import gc
import importlib
import os
import signal
import sys
from types import FrameType
from typing import Final

from hornbeamline.exceptions import HornbeamlineError, InventoryError
from hornbeamline.helpers.listeners import bind_early
from hornbeamline.platform._settings import read_settings, settings_path

EXIT_USAGE: Final = 2
EXIT_FAILED: Final = 1

_ENTRY: Final = 'entry'
_ROLES: Final = (_ENTRY, 'control')


def main(arguments: list[str]) -> int:
    """Run a daemon until it is stopped; return the exit code."""
    _handle_early_signals()
    # The platform uses plain HTTP only. Without this setting, the HTTP
    # client loads all CA certificates on import, which takes a sixth of the
    # start time.
    os.environ['SSL_CERT_FILE'] = os.devnull
    # Garbage collection finds nothing to free during imports; the daemons
    # enable it after all services have started.
    gc.disable()
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write('usage: hornbeamline.platform entry|control\n')
        return EXIT_USAGE
    role = arguments[0]
    try:
        if role == _ENTRY:
            bind_early(read_settings(settings_path()).caller_address)
        daemon = importlib.import_module('hornbeamline.platform._serve')
        code: int = daemon.run(role)
    except InventoryError as error:
        sys.stderr.write(f'hornbeamline: {error}\n')
        return EXIT_USAGE
    except HornbeamlineError as error:
        sys.stderr.write(f'hornbeamline: {error}\n')
        return EXIT_FAILED
    return code


def _handle_early_signals() -> None:
    """Handle signals until the daemon does: its imports take seconds."""
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _exit(_signal_number: int, _frame: FrameType | None) -> None:
    """Exit as after a stop: no request has been read yet."""
    sys.exit()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
