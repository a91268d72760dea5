"""Serving system for multi-stage model pipelines."""

from __future__ import annotations

from typing import Final

VERSION: Final = '0.1.0'
