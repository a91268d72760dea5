"""Log lines and metrics."""

from __future__ import annotations

from hornbeamline.telemetry._crashes import log_crashes
from hornbeamline.telemetry._logs import configure_logs, log_event
from hornbeamline.telemetry._metrics import metrics_app, metrics_page, registry
from hornbeamline.telemetry._reading import LogLine, read_line, read_lines
from hornbeamline.telemetry._sinks import NonBlockingSink

__all__ = (
    'LogLine',
    'NonBlockingSink',
    'configure_logs',
    'log_crashes',
    'log_event',
    'metrics_app',
    'metrics_page',
    'read_line',
    'read_lines',
    'registry',
)
