"""Requests in progress when a verdict on their prompt arrives."""

from __future__ import annotations

import asyncio

import pytest

from hornbeamline.helpers.clock import ManualClock
from hornbeamline.quarantine import (
    PartQuarantine,
    PartQuarantinedError,
)
from hornbeamline.quarantine.const import (
    MAX_PARTS_PER_REQUEST,
    VERDICT_GROWTH,
    VERDICT_S,
)
from tests.quarantine.builders import make_crash


@pytest.fixture
def clock() -> ManualClock:
    """Return the clock of the quarantine."""
    return ManualClock(1000)


@pytest.fixture
def quarantine(clock: ManualClock) -> PartQuarantine:
    """Return the quarantine of a host without evidence."""
    return PartQuarantine('host', clock)


def crash(quarantine: PartQuarantine, target: str, *parts: str) -> None:
    """Let an engine end under a request with these parts."""
    guard = quarantine.guard(f'r-{target}', parts)
    guard.engine_ended(make_crash(target))


def is_refused(quarantine: PartQuarantine, *parts: str) -> bool:
    """Return whether a new request with these parts is refused."""
    try:
        quarantine.guard('r', parts).check()
    except PartQuarantinedError:
        return True
    return False


async def test_verdict_ends_requests_in_progress(quarantine) -> None:
    """Guards against engines that end under requests sent before a verdict."""
    started = asyncio.Event()

    async def run() -> None:
        with quarantine.guard('r', ['common', 'deadly']):
            started.set()
            await asyncio.sleep(10)

    task = asyncio.ensure_future(run())
    await started.wait()
    crash(quarantine, 'e1', 'common', 'deadly')
    await asyncio.sleep(0)
    assert not task.done()
    crash(quarantine, 'e2', 'common', 'deadly')
    with pytest.raises(PartQuarantinedError):
        await asyncio.wait_for(task, 1)


async def test_request_whose_answer_began_goes_on(quarantine) -> None:
    """Guards against answers that a verdict cuts off."""
    released = asyncio.Event()

    async def run() -> str:
        with quarantine.guard('r', ['deadly']) as guard:
            guard.answer_begun()
            await released.wait()
            return 'whole'

    task = asyncio.ensure_future(run())
    await asyncio.sleep(0)
    crash(quarantine, 'e1', 'deadly')
    crash(quarantine, 'e2', 'deadly')
    await asyncio.sleep(0)
    released.set()
    assert await asyncio.wait_for(task, 1) == 'whole'


async def test_cancelled_request_stays_cancelled(quarantine) -> None:
    """Guards against a caller that left and is taken for a refusal."""

    async def run() -> None:
        with quarantine.guard('r', ['part']):
            await asyncio.sleep(10)

    task = asyncio.ensure_future(run())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


def test_begun_answer_ends_a_verdict(quarantine) -> None:
    """Guards against a sound part that is refused until the verdict ends."""
    crash(quarantine, 'e1', 'part')
    crash(quarantine, 'e2', 'part')
    assert is_refused(quarantine, 'part')
    quarantine.guard('r', ['part']).answer_begun()
    assert not is_refused(quarantine, 'part')


def test_verdict_ends_by_itself_and_then_lasts_longer(
    quarantine, clock
) -> None:
    """A repaired part is served again; one that is not stays refused."""
    crash(quarantine, 'e1', 'part')
    crash(quarantine, 'e2', 'part')
    clock.advance(VERDICT_S + 1)
    assert not is_refused(quarantine, 'part')
    crash(quarantine, 'e3', 'part')
    clock.advance(VERDICT_S * VERDICT_GROWTH - 1)
    assert is_refused(quarantine, 'part')
    clock.advance(2)
    quarantine.expire()
    assert not is_refused(quarantine, 'part')
    assert not quarantine.verdicts()


def test_the_last_of_many_parts_are_watched(quarantine) -> None:
    """Guards against a part that hides behind many others."""
    parts = [f'p{number}' for number in range(MAX_PARTS_PER_REQUEST + 4)]
    crash(quarantine, 'e1', *parts)
    crash(quarantine, 'e2', *parts)
    assert is_refused(quarantine, *parts)
    assert not is_refused(quarantine, parts[0])


def test_long_part_ids_are_told_apart(quarantine) -> None:
    """Guards against verdicts on all parts with the same beginning."""
    crash(quarantine, 'e1', 'x' * 5000 + 'a')
    crash(quarantine, 'e2', 'x' * 5000 + 'a')
    assert is_refused(quarantine, 'x' * 5000 + 'a')
    assert not is_refused(quarantine, 'x' * 5000 + 'b')
