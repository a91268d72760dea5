"""Fixtures for the tests of origins."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.origins.group import OriginGroup

# Time in which a new leader is elected and sets the first defaults.
SETTLE_S = 4.0


@pytest.fixture
async def new_origins(tmp_path: Path) -> AsyncIterator[Callable[..., Any]]:
    """Return a function that starts control processes."""
    groups: list[OriginGroup] = []

    async def start(voters: int = 3, **options: Any) -> OriginGroup:
        group = OriginGroup(tmp_path, voters, **options)
        groups.append(group)
        await group.start()
        await group.leader()
        await asyncio.sleep(SETTLE_S)
        return group

    yield start
    for group in groups:
        await group.stop()
