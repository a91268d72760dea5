"""Choice of a target for a request; needs no network."""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Collection, Mapping, Sequence
from typing import Final, NamedTuple

from hornbeamline.gateway._types import (
    CallerRequest,
    Target,
    TargetLoad,
)
from hornbeamline.helpers.clock import Clock

# A reported load says little about the present after about a second.
LOAD_DECAY_S: Final = 1.0
# Failures in a row until a target is avoided, and for how long.
EJECT_AFTER: Final = 2
EJECT_S: Final = 2.0
# Cost of what a request meets at an engine, in seconds of waiting: a
# running request slows the steps of all others by 2 in 100; a token that is
# not cached is read while all others wait, twice the time that it takes
# (50 to 60 tokens/ms); inputs that cross data centres wait for the link.
_RUNNING_COST_S: Final = 0.005
_TOKEN_COST_S: Final = 1 / 20_000
_REMOTE_BYTE_COST_S: Final = 30e-9
# Length of the memory for where parts of prompts were read.
_REMEMBERED_PARTS: Final = 4096
_CACHE_TTL_S: Final = 30.0


class _Reported(NamedTuple):
    load: TargetLoad
    at: float


class _Failures(NamedTuple):
    in_a_row: int
    at: float


class Wish(NamedTuple):
    """What the choice of a target depends on."""

    request: CallerRequest
    # Input bytes by data centre that holds them.
    input_bytes_by_data_centre: Mapping[str, int]
    # Targets that were tried already.
    excluded: Collection[str]


class TargetPicker:
    """Own and reported load, recent failures and cached prompts."""

    def __init__(
        self,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Take the own data centre, time and random source."""
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._in_flight_by_target: dict[str, int] = {}
        self._remote_by_target: dict[str, int] = {}
        self._reported_by_target: dict[str, _Reported] = {}
        self._failures_by_target: dict[str, _Failures] = {}
        self._read_at_by_part: dict[tuple[str, str], float] = {}

    @property
    def in_flight_by_target(self) -> dict[str, int]:
        """Return the own requests in progress by target."""
        return {
            target: count
            for target, count in self._in_flight_by_target.items()
            if count
        }

    def take_remote(self, in_flight_by_target: Mapping[str, int]) -> None:
        """Note the requests in progress of all other entry hosts."""
        self._remote_by_target = dict(in_flight_by_target)

    def began(self, target: Target) -> None:
        """Count an attempt at a target."""
        in_flight = self._in_flight_by_target
        in_flight[target.id] = in_flight.get(target.id, 0) + 1

    def ended(self, target: Target) -> None:
        """Count the end of an attempt."""
        left = self._in_flight_by_target.get(target.id, 1) - 1
        if left > 0:
            self._in_flight_by_target[target.id] = left
        else:
            self._in_flight_by_target.pop(target.id, None)

    def reported(self, target: Target, load: TargetLoad) -> None:
        """Note the load that came with an answer."""
        self._reported_by_target[target.id] = _Reported(
            load,
            self._clock.monotonic(),
        )

    def failed(self, target: Target) -> bool:
        """Note a failed attempt; return whether the target is avoided."""
        known = self._failures_by_target.get(target.id)
        count = 1 if known is None else known.in_a_row + 1
        self._failures_by_target[target.id] = _Failures(
            count,
            self._clock.monotonic(),
        )
        return count >= EJECT_AFTER

    def avoid(self, target: Target) -> None:
        """Give a target that is not there no work for a while."""
        self._failures_by_target[target.id] = _Failures(
            EJECT_AFTER,
            self._clock.monotonic(),
        )

    def succeeded(self, target: Target) -> None:
        """Forget earlier failures of a target."""
        self._failures_by_target.pop(target.id, None)

    def note_prompt(self, target: Target, request: CallerRequest) -> None:
        """Remember that a target has read the parts of a prompt."""
        now = self._clock.monotonic()
        for part in request.prompt[:-1]:
            self._read_at_by_part[(part.id, target.id)] = now
        if len(self._read_at_by_part) > _REMEMBERED_PARTS:
            oldest = now - _CACHE_TTL_S
            self._read_at_by_part = {
                key: at
                for key, at in self._read_at_by_part.items()
                if at >= oldest
            }

    def pick(self, targets: Sequence[Target], wish: Wish) -> Target | None:
        """Return a target for a plain request, or None without any."""
        usable = self._usable(targets, wish.excluded)
        if not usable:
            return None
        pair = self._rng.sample(usable, min(2, len(usable)))
        return min(pair, key=self.load_share)

    def pick_engine(
        self,
        targets: Sequence[Target],
        wish: Wish,
    ) -> Target | None:
        """Return an engine for a prompt, or None without any."""
        usable = self._usable(targets, wish.excluded)
        if not usable:
            return None
        homes = _homes(usable, wish.request)
        return min(
            usable,
            key=lambda target: self._engine_cost_s(target, wish, homes),
        )

    def load_share(self, target: Target) -> float:
        """Return the expected load of a target per slot."""
        return self._expected_load(target) / max(target.slots, 1)

    def _expected_load(self, target: Target) -> float:
        own = self._in_flight_by_target.get(target.id, 0)
        known = own + self._remote_by_target.get(target.id, 0)
        reported = self._reported_by_target.get(target.id)
        if reported is None:
            return known
        age_s = self._clock.monotonic() - reported.at
        told = reported.load.running + reported.load.waiting
        weight = math.exp(-age_s / LOAD_DECAY_S)
        # A trace of an old report must not decide between idle targets.
        return max(known, round(told * weight, 1))

    def _engine_cost_s(
        self,
        target: Target,
        wish: Wish,
        homes: Mapping[str, str],
    ) -> float:
        unread = sum(
            part.tokens
            for part in wish.request.prompt[:-1]
            if not self._is_read(part.id, target.id, homes)
        )
        return (
            self._expected_load(target) * _RUNNING_COST_S
            + unread * _TOKEN_COST_S
            + remote_bytes(
                wish.input_bytes_by_data_centre,
                target.data_centre,
            )
            * _REMOTE_BYTE_COST_S
        )

    def _is_read(
        self,
        part_id: str,
        target_id: str,
        homes: Mapping[str, str],
    ) -> bool:
        if homes.get(part_id) == target_id:
            return True
        read_at = self._read_at_by_part.get((part_id, target_id))
        if read_at is None:
            return False
        return self._clock.monotonic() - read_at < _CACHE_TTL_S

    def _usable(
        self,
        targets: Sequence[Target],
        excluded: Collection[str],
    ) -> list[Target]:
        fresh = [target for target in targets if target.id not in excluded]
        healthy = [target for target in fresh if not self._is_avoided(target)]
        return healthy or fresh

    def _is_avoided(self, target: Target) -> bool:
        failures = self._failures_by_target.get(target.id)
        if failures is None or failures.in_a_row < EJECT_AFTER:
            return False
        return self._clock.monotonic() - failures.at < EJECT_S


def remote_bytes(
    bytes_by_data_centre: Mapping[str, int],
    data_centre: str,
) -> int:
    """Return the bytes that lie in other data centres."""
    return sum(
        size
        for place, size in bytes_by_data_centre.items()
        if place != data_centre
    )


def _homes(
    targets: Sequence[Target],
    request: CallerRequest,
) -> dict[str, str]:
    """Return the engine on which all hosts agree for each shared part."""
    return {part.id: _home(targets, part.id) for part in request.prompt[:-1]}


def _home(targets: Sequence[Target], part_id: str) -> str:
    best = max(targets, key=lambda target: _rank(part_id, target.id))
    return best.id


def _rank(part_id: str, target_id: str) -> bytes:
    return hashlib.blake2b(
        f'{part_id}/{target_id}'.encode(),
        digest_size=8,
    ).digest()
