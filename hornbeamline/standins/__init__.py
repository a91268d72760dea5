"""Small stand-ins of the systems that hornbeamline serves."""

from __future__ import annotations

from hornbeamline.standins._settings import StandinSettings
from hornbeamline.standins._target import StandinTarget

__all__ = ('StandinSettings', 'StandinTarget')
