"""Micro-kernel: services, their names, and their start and stop order."""

from __future__ import annotations

from hornbeamline.core._kernel import Kernel, Service
from hornbeamline.core._tasks import TaskSet

__all__ = ('Kernel', 'Service', 'TaskSet')
