"""Batched release of results at targets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from hornbeamline.batching.const import RELEASE_GATHER_S, RELEASE_IDLE_S
from hornbeamline.batching.errors import ResultsKeptError
from hornbeamline.core import TaskSet

# Frees results at the target with this address. Raises `ResultsKeptError`.
FreeResults = Callable[[str, Sequence[str]], Awaitable[None]]


class ResultReleases:
    """Collect handles by target and free them in few calls."""

    def __init__(
        self,
        free: FreeResults,
        is_waiting: Callable[[], bool],
        on_freed: Callable[[Sequence[str]], None],
    ) -> None:
        """Start with no handles.

        `free` calls a target, `is_waiting` tells whether pieces wait for
        space, and `on_freed` is called with the freed handles.
        """
        self._free = free
        self._is_waiting = is_waiting
        self._on_freed = on_freed
        self._handles_by_address: dict[str, list[str]] = {}
        self._added = asyncio.Event()
        self._tasks = TaskSet()

    def start(self) -> None:
        """Start to free results in the background."""
        self._tasks.keep_running(self._run, 'result releases')

    async def stop(self) -> None:
        """Stop; the remaining results expire at their targets."""
        await self._tasks.cancel_all()

    def add(self, handles: Sequence[str]) -> None:
        """Schedule the release of results."""
        for handle in handles:
            address = handle.partition('/')[0]
            self._handles_by_address.setdefault(address, []).append(handle)
        self._added.set()

    async def _run(self) -> None:
        while True:
            await self._added.wait()
            urgent = self._is_waiting()
            await asyncio.sleep(RELEASE_GATHER_S if urgent else RELEASE_IDLE_S)
            self._added.clear()
            collected = self._handles_by_address
            self._handles_by_address = {}
            for address, handles in collected.items():
                self._tasks.spawn(
                    self._free_at(address, handles),
                    f'release at {address}',
                )

    async def _free_at(self, address: str, handles: list[str]) -> None:
        try:
            await self._free(address, handles)
        except ResultsKeptError:
            # The results count as held until they expire. `free` has logged
            # the reason.
            return
        self._on_freed(handles)
