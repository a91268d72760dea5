"""Longest time limit of the streams, as the control processes read it."""

from __future__ import annotations

from hornbeamline.daemons._control_origins import LongestStream
from hornbeamline.documents import DocumentMachine, InvalidDocumentError
from hornbeamline.documents._machine import compress
from hornbeamline.helpers.codec import encode


def read_limit(content: bytes) -> float:
    """Return the number in a document."""
    try:
        return float(content)
    except ValueError as error:
        raise InvalidDocumentError('not a number') from error


def put(machine: DocumentMachine, number: int, content: bytes) -> None:
    """Store a document."""
    machine.apply(number, encode(compress(number, content)))


# Guards against records that end before the streams of an earlier document.
def test_limit_of_earlier_documents_stays() -> None:
    """A document with shorter limits comes into force."""
    machine = DocumentMachine()
    longest = LongestStream(machine, read_limit)
    assert longest() == 0
    put(machine, 1, b'40')
    assert longest() == 40
    put(machine, 2, b'5')
    assert longest() == 40
    put(machine, 3, b'90')
    assert longest() == 90


# Guards against a control process that fails at a document it can't read.
def test_unreadable_document_has_the_assumed_limit() -> None:
    """Fault: a process of another version accepted the document."""
    machine = DocumentMachine()
    longest = LongestStream(machine, read_limit)
    put(machine, 1, b'?')
    assert longest() == 120
    assert LongestStream(machine, None)() == 120
