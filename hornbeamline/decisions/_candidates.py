"""Set of targets with sampling in constant time."""

from __future__ import annotations

import random
from typing import Final

from hornbeamline.decisions._targets import TargetRecord

_SAMPLE_TRIES: Final = 4


class Candidates:
    """Targets with free capacity, in no particular order."""

    def __init__(self) -> None:
        """Initialize without targets."""
        self.records: list[TargetRecord] = []
        self._index_by_name: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self.records)

    def __contains__(self, record: TargetRecord) -> bool:
        """Return whether a target is in the set."""
        return record.name in self._index_by_name

    def add(self, record: TargetRecord) -> None:
        """Add a target; idempotent."""
        if record.name not in self._index_by_name:
            self._index_by_name[record.name] = len(self.records)
            self.records.append(record)

    def discard(self, record: TargetRecord) -> None:
        """Remove a target if present, in constant time."""
        index = self._index_by_name.pop(record.name, None)
        if index is None:
            return
        last = self.records.pop()
        if last is not record:
            self.records[index] = last
            self._index_by_name[last.name] = index

    def clear(self) -> None:
        """Remove all targets."""
        self.records.clear()
        self._index_by_name.clear()

    def allowed(self, excluded: frozenset[str]) -> list[TargetRecord]:
        """Return all targets except the excluded ones."""
        return [
            record for record in self.records if record.name not in excluded
        ]

    def sample_two(
        self,
        excluded: frozenset[str],
        rng: random.Random,
    ) -> list[TargetRecord]:
        """Return up to two different targets that are not excluded."""
        count = len(self.records)
        if count <= _SAMPLE_TRIES or len(excluded) * 2 >= count:
            allowed = self.allowed(excluded)
            return allowed if len(allowed) < 3 else rng.sample(allowed, 2)
        chosen: list[TargetRecord] = []
        for _ in range(2 * _SAMPLE_TRIES):
            record = self.records[int(rng.random() * count)]
            if record.name not in excluded and record not in chosen:
                chosen.append(record)
                if len(chosen) == 2:
                    break
        return chosen
