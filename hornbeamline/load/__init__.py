"""Open-loop load generator with reports on attainment, refusals and cost."""

from __future__ import annotations

from hornbeamline.load._arrivals import Arrival, arrivals
from hornbeamline.load._balancer import Balancer
from hornbeamline.load._plot import write_plot
from hornbeamline.load._report import (
    LoadReport,
    PipelineReport,
    build_report,
    render_text,
)
from hornbeamline.load._runner import LoadRunner
from hornbeamline.load._settings import Burst, LoadSettings, SharedText
from hornbeamline.load._types import Ending, EndingKind

__all__ = (
    'Arrival',
    'Balancer',
    'Burst',
    'Ending',
    'EndingKind',
    'LoadReport',
    'LoadRunner',
    'LoadSettings',
    'PipelineReport',
    'SharedText',
    'arrivals',
    'build_report',
    'render_text',
    'write_plot',
)
