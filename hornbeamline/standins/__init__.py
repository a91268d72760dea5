"""Small stand-ins for the targets that hornbeamline calls."""

from __future__ import annotations

from hornbeamline.standins._batch import prompt_seed, token_text
from hornbeamline.standins._settings import (
    EngineSettings,
    Faults,
    StandinSettings,
)
from hornbeamline.standins._target import StandinTarget

__all__ = (
    'EngineSettings',
    'Faults',
    'StandinSettings',
    'StandinTarget',
    'prompt_seed',
    'token_text',
)
