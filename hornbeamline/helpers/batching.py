"""Combines concurrent calls into batches."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

_EntryT = TypeVar('_EntryT')
_AnswerT = TypeVar('_AnswerT')


class Batcher(Generic[_EntryT, _AnswerT]):
    """Runs one batch at a time and collects entries for the next one.

    The batch of an entry always starts after the entry is submitted, so a
    read barrier that a batch shares is valid for each of its callers.
    """

    def __init__(
        self,
        run: Callable[[list[_EntryT]], Awaitable[Sequence[_AnswerT]]],
        max_entries: int,
    ) -> None:
        """Initialize with the batch function and the maximum batch size.

        `run` must return one answer per entry, in order.
        """
        self._run = run
        self._max_entries = max_entries
        self._waiting: list[tuple[_EntryT, asyncio.Future[_AnswerT]]] = []
        self._task: asyncio.Task[None] | None = None

    async def submit(self, entry: _EntryT) -> _AnswerT:
        """Return the answer to an entry; raises what `run` raises."""
        answer_future: asyncio.Future[_AnswerT]
        answer_future = asyncio.get_running_loop().create_future()
        self._waiting.append((entry, answer_future))
        if self._task is None:
            self._task = asyncio.create_task(self._drain(), name='batcher')
        return await answer_future

    async def _drain(self) -> None:
        try:
            while self._waiting:
                batch = self._waiting[: self._max_entries]
                del self._waiting[: self._max_entries]
                await self._run_batch(batch)
        finally:
            self._task = None

    async def _run_batch(
        self,
        batch: list[tuple[_EntryT, asyncio.Future[_AnswerT]]],
    ) -> None:
        try:
            answers = await self._run([entry for entry, _ in batch])
        except Exception as error:
            for _, future in batch:
                if not future.done():
                    future.set_exception(error)
            return
        for (_, future), answer in zip(batch, answers, strict=True):
            if not future.done():
                future.set_result(answer)
