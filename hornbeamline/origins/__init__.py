"""Software versions that began streams, remembered by the control hosts.

The module `service` is used only by control processes.
"""

from __future__ import annotations

from hornbeamline.origins._machine import OriginMachine
from hornbeamline.origins._origins import StreamOrigins
from hornbeamline.origins._types import StreamKey
from hornbeamline.origins.errors import OriginUnavailableError

__all__ = (
    'OriginMachine',
    'OriginUnavailableError',
    'StreamKey',
    'StreamOrigins',
)
