"""Applies changes of the settings file while a process runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from hornbeamline.core import TaskSet
from hornbeamline.directory import DirectoryMember
from hornbeamline.exceptions import HornbeamlineError
from hornbeamline.telemetry import log_event

# The file is polled since it may change without a reload signal.
WATCH_INTERVAL_S: Final = 2.0


class SettingsWatch:
    """Adds control processes when they appear in the settings."""

    def __init__(
        self,
        read_controls: Callable[[], Mapping[str, str]],
        member: DirectoryMember,
    ) -> None:
        """Initialize with the settings reader and the member to update."""
        self._read_controls = read_controls
        self._member = member
        self._known_controls: Mapping[str, str] = {}
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Read the settings and start polling the file."""
        self._known_controls = self._read_controls()
        self._tasks.keep_running(self._watch, 'settings watch')

    async def stop(self) -> None:
        """Stop polling the file."""
        await self._tasks.cancel_all()

    def reload(self) -> None:
        """Read the file again; an unreadable file changes nothing."""
        try:
            controls = self._read_controls()
        except HornbeamlineError as error:
            log_event('settings.unreadable', error=str(error))
            return
        if controls == self._known_controls:
            return
        log_event('settings.changed', controls=','.join(controls))
        self._known_controls = controls
        self._member.add_controls(controls)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            self.reload()
