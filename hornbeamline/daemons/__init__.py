"""Wiring of services into the processes of hornbeamline."""

from __future__ import annotations

from hornbeamline.daemons._control import ControlDaemon
from hornbeamline.daemons._entry import EntryDaemon

__all__ = ('ControlDaemon', 'EntryDaemon')
