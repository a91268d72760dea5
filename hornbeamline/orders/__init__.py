"""Orders to model engines, sent by the leader of the replicated log."""

from __future__ import annotations

from hornbeamline.orders._bucket import WeightBudget
from hornbeamline.orders._client import EngineClient, HttpEngineClient
from hornbeamline.orders._machine import GrantState, OrderMachine
from hornbeamline.orders._messages import EngineReport, Order, OrderBody
from hornbeamline.orders._plan import EngineView, plan_orders
from hornbeamline.orders._service import OrderService
from hornbeamline.orders.errors import (
    EngineUnreadableError,
    OrderLostError,
    OrderNotSentError,
    OrderRefusedError,
    StaleFencingError,
)

__all__ = (
    'EngineClient',
    'EngineReport',
    'EngineUnreadableError',
    'EngineView',
    'GrantState',
    'HttpEngineClient',
    'Order',
    'OrderBody',
    'OrderLostError',
    'OrderMachine',
    'OrderNotSentError',
    'OrderRefusedError',
    'OrderService',
    'StaleFencingError',
    'WeightBudget',
    'plan_orders',
)
