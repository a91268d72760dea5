"""Splitting of streams into complete events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.gateway._events import EventSplitter

STREAM = b''.join(b'id: %d\ndata: x%d\n\n' % (n, n) for n in range(5))


@given(st.sets(st.integers(1, len(STREAM) - 1)))
def test_events_are_whole_however_the_bytes_arrive(cuts) -> None:
    """A chunk may end anywhere, even within an event terminator."""
    splitter = EventSplitter()
    places = [0, *sorted(cuts), len(STREAM)]
    events = [
        event
        for start, end in zip(places, places[1:], strict=False)
        for event in splitter.feed(STREAM[start:end])
    ]
    assert [event.id for event in events] == list(range(5))
    assert b''.join(event.raw for event in events) == STREAM
    assert not splitter.has_partial


@given(st.text('a:\r\n', max_size=40), st.sets(st.integers(1, 39)))
def test_no_byte_is_lost_or_added(text, cuts) -> None:
    """Comments and empty lines are grouped by how the bytes arrive."""
    raw = text.encode()
    splitter = EventSplitter()
    places = [0, *sorted(cut for cut in cuts if cut < len(raw)), len(raw)]
    events = [
        event
        for start, end in zip(places, places[1:], strict=False)
        for event in splitter.feed(raw[start:end])
    ]
    returned = b''.join(event.raw for event in events)
    assert raw.startswith(returned)
    assert splitter.has_partial == (returned != raw)
    whole = EventSplitter().feed(raw)
    assert [
        event.raw.strip(b'\n') for event in whole if not event.is_comment
    ] == [event.raw.strip(b'\n') for event in events if not event.is_comment]


def test_event_that_breaks_off_is_not_returned() -> None:
    """Guards against partial events in a complete response."""
    splitter = EventSplitter()
    assert len(splitter.feed(STREAM[:-1])) == 4
    assert splitter.has_partial


@pytest.mark.parametrize(
    ('raw', 'is_comment'),
    [
        (b': beat\n\n', True),
        (b':\n\n', True),
        (b': a\r\n: b\r\n\n\n', True),
        (b': a\nid: 3\ndata: x\n\n', False),
        (b'data: x\n\n', False),
        (b'text\n\n', False),
    ],
)
def test_comment_has_comment_lines_only(raw, is_comment) -> None:
    """Guards against events that are taken for heartbeats."""
    (event,) = EventSplitter().feed(raw)[:1]
    assert event.is_comment == is_comment
