"""Errors of orders, by what they prove."""

from __future__ import annotations

from hornbeamline.exceptions import OrderError


class EngineUnreadableError(OrderError):
    """The engine gave no readable report."""


class OrderNotSentError(OrderError):
    """Nothing reached the engine."""


class OrderRefusedError(OrderError):
    """The engine refused the order; it has no effect."""


class StaleFencingError(OrderRefusedError):
    """The engine has seen a higher fencing number."""


class OrderLostError(OrderError):
    """No answer came; the order may have an effect."""
