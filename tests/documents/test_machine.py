"""State machine of numbered documents against a simple oracle."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.documents import DocumentMachine
from hornbeamline.documents._machine import PutResult, compress
from hornbeamline.helpers.codec import decode, encode

PUTS = st.lists(st.tuples(st.integers(1, 9), st.binary(max_size=8)))


@given(PUTS)
def test_machine_holds_the_first_content_of_the_highest_number(puts) -> None:
    """Oracle: the number only rises, and its content never changes."""
    machine = DocumentMachine()
    highest, content = 0, b''
    for index, (number, text) in enumerate(puts):
        if number > highest:
            highest, content = number, text
        reply = machine.apply(index, encode(compress(number, text)))
        assert decode(reply, PutResult).number == highest
    assert machine.current.number == highest
    assert machine.current.content == content
    copy = DocumentMachine()
    copy.restore(machine.snapshot())
    assert copy.current == machine.current
