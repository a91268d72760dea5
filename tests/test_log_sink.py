"""Writing log lines never blocks the process."""

from __future__ import annotations

import os

from hornbeamline.telemetry import NonBlockingSink


def test_lines_are_dropped_and_counted_while_nobody_reads() -> None:
    """Guards against blocking while the reader of the log reads nothing."""
    reading, writing = os.pipe()
    sink = NonBlockingSink(writing)
    line = 'x' * 1000 + '\n'
    for _ in range(500):
        sink.write(line)
        sink.flush()
    assert sink.dropped > 0
    received = os.read(reading, 10_000_000)
    for _ in range(200):
        sink.write('next\n')
        sink.flush()
        received += os.read(reading, 10_000_000)
    lines = received.decode().splitlines()
    assert {len(text) for text in lines if text.startswith('x')} == {1000}
    assert any(text.startswith('event=log.dropped') for text in lines)


def test_closed_log_does_not_stop_the_process() -> None:
    """Guards against an error once the reader has closed the pipe."""
    reading, writing = os.pipe()
    sink = NonBlockingSink(writing)
    os.close(reading)
    sink.write('line\n')
    sink.flush()
    assert sink.dropped == 0
