"""State machine of origins against an oracle."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.helpers.codec import decode, encode
from hornbeamline.origins import OriginMachine, StreamKey
from hornbeamline.origins._machine import (
    DefaultChange,
    OriginCommand,
    OriginOutcome,
    OriginRecord,
)

DIGESTS = tuple(bytes([number]) * 16 for number in range(6))
VERSIONS = ('', 'v1', 'v2')
MAX_RECORDS = 4

RECORDS = st.builds(
    OriginRecord,
    st.sampled_from(DIGESTS),
    st.sampled_from(VERSIONS),
    st.integers(0, 5),
)
CHANGES = st.builds(
    DefaultChange,
    st.sampled_from(('a', 'b')),
    st.sampled_from((None, *VERSIONS)),
    st.sampled_from(VERSIONS),
)
COMMANDS = st.builds(
    OriginCommand,
    st.lists(RECORDS, max_size=3),
    st.lists(CHANGES, max_size=2),
    st.integers(-1, 4),
)


def apply(machine: OriginMachine, command: OriginCommand) -> OriginOutcome:
    """Apply a command and return its outcome."""
    return decode(machine.apply(1, encode(command)), OriginOutcome)


class Oracle:
    """Records as a list of (generation, record), in a plain way."""

    def __init__(self) -> None:
        self.generation = 0
        self.kept: dict[bytes, tuple[int, OriginRecord]] = {}
        self.defaults: dict[str, str] = {}

    def apply(self, command: OriginCommand) -> OriginOutcome:
        """Return the expected outcome."""
        dropped = 0
        if command.ended_generation == self.generation:
            old = [
                digest
                for digest, (generation, _) in self.kept.items()
                if generation < self.generation
            ]
            for digest in old:
                del self.kept[digest]
            dropped = len(old)
            self.generation += 1
        accepted = [self._store(record) for record in command.records]
        changed = []
        for change in command.defaults:
            is_valid = self.defaults.get(change.service) == change.previous
            changed.append(is_valid)
            if is_valid:
                self.defaults[change.service] = change.version
        return OriginOutcome(accepted, changed, dropped)

    def _store(self, record: OriginRecord) -> bool:
        held = self.kept.get(record.digest)
        if held is None and len(self.kept) >= MAX_RECORDS:
            return False
        if held is None or record.order >= held[1].order:
            self.kept[record.digest] = (self.generation, record)
        return True


# Guards against a wrong record, a lost one and copies that differ.
@given(st.lists(COMMANDS, max_size=30), st.integers(0, 30))
def test_machine_agrees_with_the_oracle(commands, copied_at) -> None:
    """Oracle: overwriting, the bound, generations, defaults, a snapshot."""
    machine, copy, oracle = OriginMachine(MAX_RECORDS), None, Oracle()
    for position, command in enumerate(commands):
        if position == copied_at:
            copy = OriginMachine(MAX_RECORDS)
            copy.restore(machine.snapshot())
        outcome = apply(machine, command)
        assert outcome == oracle.apply(command)
        if copy is not None:
            assert apply(copy, command) == outcome
        for digest in DIGESTS:
            held = oracle.kept.get(digest)
            expected = None if held is None else held[1].version
            assert machine.find(digest) == expected
        assert machine.defaults_by_service == oracle.defaults
        assert len(machine) == len(oracle.kept)
    if copy is not None:
        assert copy.snapshot() == machine.snapshot()


# Guards against a stream that silently counts as begun at the default.
def test_full_records_refuse_new_streams_only() -> None:
    """A known stream is overwritten; a rotation makes space again."""
    machine = OriginMachine(2)
    for digest in DIGESTS[:2]:
        stored = apply(machine, OriginCommand([OriginRecord(digest, 'v2', 1)]))
        assert stored.accepted == [True]
    new = OriginCommand([OriginRecord(DIGESTS[2], 'v2', 1)])
    assert apply(machine, new).accepted == [False]
    again = OriginCommand([OriginRecord(DIGESTS[0], 'v3', 2)])
    assert apply(machine, again).accepted == [True]
    assert machine.find(DIGESTS[0]) == 'v3'
    assert machine.find(DIGESTS[1]) == 'v2'
    for generation in range(2):
        apply(machine, OriginCommand(ended_generation=generation))
    assert apply(machine, new).accepted == [True]


# Guards against a delayed command that replaces the version which wrote.
def test_delayed_record_of_an_earlier_attempt_changes_nothing() -> None:
    """The first command of an attempt is committed after the second one."""
    machine = OriginMachine()
    apply(machine, OriginCommand([OriginRecord(DIGESTS[0], 'v1', 2)]))
    late = apply(machine, OriginCommand([OriginRecord(DIGESTS[0], 'v2', 1)]))
    assert late.accepted == [True]
    assert machine.find(DIGESTS[0]) == 'v1'


# Guards against records that are dropped by a command that came twice.
def test_repeated_rotation_counts_once() -> None:
    """A rotation names the generation that it ends."""
    machine = OriginMachine()
    apply(machine, OriginCommand([OriginRecord(DIGESTS[0], 'v2', 1)]))
    for _ in range(3):
        apply(machine, OriginCommand(ended_generation=0))
    assert machine.find(DIGESTS[0]) == 'v2'
    assert machine.generation == 1


# Guards against a caller that gets the version of another caller's stream.
@pytest.mark.parametrize(
    'other',
    [
        StreamKey('s', 'ab', 'r'),
        StreamKey('sa', 'b', 'r'),
        StreamKey('', 'sa', 'br'),
        StreamKey('s', '', 'abr'),
        StreamKey('s', 'a', 'br\0'),
    ],
)
def test_digests_of_streams_are_unambiguous(other) -> None:
    """The parts of a key are told apart, not only their concatenation."""
    stream = StreamKey('s', 'a', 'br')
    assert len(stream.digest) == 16
    assert stream.digest == StreamKey('s', 'a', 'br').digest
    assert stream.digest != other.digest
