"""Continuous batching and prefix cache of a stand-in model engine."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import zlib
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any, Final

from hornbeamline.helpers.clock import MS_PER_S
from hornbeamline.standins._settings import EngineSettings
from hornbeamline.targets import prefix_digest

_MAX_EVENTS: Final = 1024
_CHARACTERS_PER_TOKEN: Final = 4


def prompt_seed(prompt: str, software_version: str = '') -> int:
    """Return the seed of the text that is generated for a prompt.

    Of the prompt, the seed depends on the first line only, which comes from
    the caller: it lets the caller check whether an answer belongs to its
    request.
    """
    seed = zlib.crc32(prompt.partition('\n')[0].encode())
    return zlib.crc32(software_version.encode(), seed)


def token_text(seed: int, index: int) -> str:
    """Return the token at an index; depends on seed and index only."""
    return f'{zlib.crc32(index.to_bytes(4), seed):08x} '


class PrefixCache:
    """Prefix cache of limited size whose events are delayed and lossy."""

    def __init__(
        self,
        settings: EngineSettings,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        """Initialize with settings, random source and a clock in seconds."""
        self._settings = settings
        self._rng = rng
        self._now = now
        self._tokens_by_prefix: OrderedDict[str, int] = OrderedDict()
        # Time of creation and content of each event.
        self._events: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=_MAX_EVENTS,
        )
        self._event_numbers = itertools.count(1)
        self.last_number = 0

    def use(self, prompt: str) -> int:
        """Cache the prefix of a prompt; return the uncached tokens."""
        prefix, characters = prefix_digest(prompt)
        total = -(-len(prompt) // _CHARACTERS_PER_TOKEN)
        cached = self._tokens_by_prefix.get(prefix)
        if cached is None:
            cached = 0
            self._publish(prefix, held=True)
        self._tokens_by_prefix[prefix] = characters // _CHARACTERS_PER_TOKEN
        self._tokens_by_prefix.move_to_end(prefix)
        if len(self._tokens_by_prefix) > self._settings.cached_prefixes:
            evicted, _ = self._tokens_by_prefix.popitem(last=False)
            self._publish(evicted, held=False)
        return max(0, total - cached)

    def events_after(self, number: int) -> list[dict[str, Any]]:
        """Return the visible events whose number is greater."""
        visible_until = self._now() - self._settings.event_delay_s
        return [
            event
            for created_at, event in self._events
            if created_at <= visible_until and event['number'] > number
        ]

    def _publish(self, prefix: str, *, held: bool) -> None:
        number = next(self._event_numbers)
        self.last_number = number
        if self._rng.random() >= self._settings.event_loss:
            event = {'number': number, 'prefix': prefix, 'held': held}
            self._events.append((self._now(), event))


class Sequence:
    """Token generation for one prompt."""

    def __init__(
        self,
        prompt: str,
        max_tokens: int,
        resume_from: int,
        software_version: str = '',
    ) -> None:
        """Initialize with the prompt, total length and first token's index."""
        self.seed = prompt_seed(prompt, software_version)
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.generated = resume_from
        # Time at which the prefill ends and the first token may follow.
        self.ready_at: float = 0
        self.cancelled = False
        self._changed = asyncio.Event()

    @property
    def ended(self) -> bool:
        """Return whether no more tokens will be generated."""
        return self.cancelled or self.generated >= self.max_tokens

    def advance(self) -> None:
        """Generate one token."""
        self.generated += 1
        self._changed.set()

    def cancel(self) -> None:
        """Stop the generation."""
        self.cancelled = True
        self._changed.set()

    async def wait_beyond(self, index: int) -> None:
        """Wait until more than `index` tokens exist or generation ends."""
        while self.generated <= index and not self.ended:
            self._changed.clear()
            await self._changed.wait()


class Batch:
    """Generates tokens for a limited number of concurrent sequences."""

    def __init__(
        self,
        settings: EngineSettings,
        rng: random.Random,
        slowdown: Callable[[], float],
    ) -> None:
        """Initialize with settings, random source and a factor on all times."""
        self._settings = settings
        self._slowdown = slowdown
        self._now = asyncio.get_running_loop().time
        self.cache = PrefixCache(settings, rng, self._now)
        self.running: list[Sequence] = []
        # Heap of negated priority, order of arrival and sequence.
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._arrivals = itertools.count()
        self._work_available = asyncio.Event()

    @property
    def queued(self) -> int:
        """Return the number of sequences that wait for a slot."""
        return len(self._waiting)

    def add(self, sequence: Sequence, priority: int) -> None:
        """Queue a sequence; those with a higher priority start first."""
        queue_entry = (-priority, next(self._arrivals), sequence)
        heapq.heappush(self._waiting, queue_entry)
        self._work_available.set()

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        while True:
            self._admit()
            if not self.running:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            await asyncio.sleep(self._step_s())
            now = self._now()
            for sequence in self.running:
                if now >= sequence.ready_at and not sequence.ended:
                    sequence.advance()
            self.running = [each for each in self.running if not each.ended]

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self._settings.max_batch:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.ended:
                continue
            uncached = self.cache.use(sequence.prompt)
            prefill_ms = (
                self._settings.first_token_ms
                + self._settings.prefill_ms_per_token * uncached
            )
            prefill_s = prefill_ms * self._slowdown() / MS_PER_S
            sequence.ready_at = self._now() + prefill_s
            self.running.append(sequence)

    def _step_s(self) -> float:
        step_ms = (
            self._settings.token_ms
            + self._settings.token_ms_per_sequence * len(self.running)
        )
        return step_ms * self._slowdown() / MS_PER_S
