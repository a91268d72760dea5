"""Shared fixtures and the list of known failing tests."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from tests.common import ROOT

KNOWN_RED = ROOT / 'KNOWN-RED.txt'
PREFIX = 'test: '


def known_red() -> frozenset[str]:
    """Return the ids of the tests listed as known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    )


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Deselect exactly the listed tests; an unknown id is an error."""
    listed = known_red()
    if config.args != config.getini('testpaths'):
        # Tests that are named on the command line run even if listed.
        return
    unknown = listed - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(f'KNOWN-RED.txt: no such test: {unknown}')
    kept = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(
        items=[item for item in items if item.nodeid in listed],
    )
    items[:] = kept


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests, so that every run shows them."""
    listed: Sequence[str] = sorted(known_red())
    if listed:
        terminalreporter.section('known failing tests, not run')
    for nodeid in listed:
        terminalreporter.line(nodeid)
