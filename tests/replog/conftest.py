"""Fixtures for the tests of the replicated log."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.replog.group import Group


@pytest.fixture
async def new_group(tmp_path: Path) -> AsyncIterator[Callable[..., Any]]:
    """Return a function that starts a group of voters."""
    groups: list[Group] = []

    async def start(voters: int, **options: Any) -> Group:
        group = Group(tmp_path, voters, **options)
        groups.append(group)
        await group.start()
        return group

    yield start
    for group in groups:
        await group.stop()
