"""Data centres whose targets receive no requests, by order of an operator.

The modules `service` and `operator` are used only by control processes.
"""

from __future__ import annotations

from hornbeamline.evacuations._belief import EvacuationBelief
from hornbeamline.evacuations._machine import (
    NO_EVACUATIONS,
    EvacuationMachine,
    EvacuationState,
)
from hornbeamline.evacuations.errors import (
    EvacuationUnavailableError,
    UnknownDataCentreError,
)

__all__ = (
    'NO_EVACUATIONS',
    'EvacuationBelief',
    'EvacuationMachine',
    'EvacuationState',
    'EvacuationUnavailableError',
    'UnknownDataCentreError',
)
