"""HTTP interface for operators, served by each control host."""

from __future__ import annotations

from hornbeamline.operator_api._app import OperatorApi

__all__ = ('OperatorApi',)
