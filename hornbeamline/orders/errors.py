"""Order errors, distinguished by whether the order may have an effect."""

from __future__ import annotations

from hornbeamline.exceptions import OrderError


class EngineUnreadableError(OrderError):
    """The engine did not return a readable report."""


class OrderNotSentError(OrderError):
    """The order did not reach the engine, so it has no effect."""


class OrderRefusedError(OrderError):
    """The engine refused the order, so it has no effect."""


class StaleFencingError(OrderRefusedError):
    """The engine has seen a higher fencing number."""


class OrderLostError(OrderError):
    """The result is not known; the order may have an effect."""
