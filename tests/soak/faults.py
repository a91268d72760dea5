"""Seeded schedules of faults, and their injection."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tests.soak.fleet import SoakFleet


class Fault(NamedTuple):
    """One fault; `victim` is an index into the processes of its role."""

    kind: str
    victim: int
    hold_s: float


class Round(NamedTuple):
    """Faults that start together, and the pause after their recovery."""

    faults: tuple[Fault, ...]
    pause_s: float


Injector = Callable[[SoakFleet, Fault], Awaitable[None]]


async def _kill(soak: SoakFleet, name: str, hold_s: float) -> None:
    await soak.kill(name)
    await asyncio.sleep(hold_s)
    await soak.start(name)


async def _freeze(soak: SoakFleet, name: str, hold_s: float) -> None:
    soak.group.freeze(name)
    await asyncio.sleep(hold_s)
    soak.group.thaw(name)


def _entry(soak: SoakFleet, fault: Fault) -> str:
    return soak.entries[fault.victim % len(soak.entries)]


def _control(soak: SoakFleet, fault: Fault) -> str:
    return soak.controls[fault.victim % len(soak.controls)]


async def _kill_entry(soak: SoakFleet, fault: Fault) -> None:
    await _kill(soak, _entry(soak, fault), fault.hold_s)


async def _kill_control(soak: SoakFleet, fault: Fault) -> None:
    await _kill(soak, _control(soak, fault), fault.hold_s)


async def _kill_leader(soak: SoakFleet, fault: Fault) -> None:
    await _kill(soak, await soak.leader(), fault.hold_s)


async def _freeze_entry(soak: SoakFleet, fault: Fault) -> None:
    await _freeze(soak, _entry(soak, fault), fault.hold_s)


async def _freeze_control(soak: SoakFleet, fault: Fault) -> None:
    await _freeze(soak, _control(soak, fault), fault.hold_s)


async def _freeze_leader(soak: SoakFleet, fault: Fault) -> None:
    await _freeze(soak, await soak.leader(), fault.hold_s)


async def _cut_control(soak: SoakFleet, fault: Fault) -> None:
    relay = soak.relays_by_control[_control(soak, fault)]
    relay.cut()
    await asyncio.sleep(fault.hold_s)
    relay.heal()


async def _silence_control(soak: SoakFleet, fault: Fault) -> None:
    soak.relays_by_control[_control(soak, fault)].silence()
    await asyncio.sleep(fault.hold_s)


async def _lose_folder(soak: SoakFleet, fault: Fault) -> None:
    """Delete a data folder, replace its voter, kill another control process."""
    lost = _control(soak, fault)
    await soak.kill(lost)
    await soak.replace_control(lost)
    second = soak.controls[(fault.victim + 1) % len(soak.controls)]
    await _kill(soak, second, fault.hold_s)


async def _restart_all(soak: SoakFleet, fault: Fault) -> None:
    names = (*soak.controls, *soak.entries)
    await soak.kill(*names)
    await asyncio.sleep(fault.hold_s / 4)
    await soak.start(*names)


async def _lose_answers(soak: SoakFleet, fault: Fault) -> None:
    targets = list(soak.targets_by_name.values())
    for target in targets:
        target.reset_share, target.refuse_share = 0.4, 0.3
    await asyncio.sleep(fault.hold_s)
    for target in targets:
        target.reset_share = target.refuse_share = 0


# A round never combines two faults of one group: both could hit the same
# process or, with `lose_folder`, leave fewer copies than a quorum of three
# needs.
ENTRY_FAULTS: dict[str, Injector] = {
    'kill_entry': _kill_entry,
    'freeze_entry': _freeze_entry,
    'lose_answers': _lose_answers,
}
CONTROL_FAULTS: dict[str, Injector] = {
    'kill_control': _kill_control,
    'kill_leader': _kill_leader,
    'freeze_control': _freeze_control,
    'freeze_leader': _freeze_leader,
    'lose_folder': _lose_folder,
}
LINK_FAULTS: dict[str, Injector] = {
    'cut_control': _cut_control,
    'silence_control': _silence_control,
}
EXCLUSIVE_FAULTS: dict[str, Injector] = {'restart_all': _restart_all}
INJECTORS = {
    **ENTRY_FAULTS,
    **CONTROL_FAULTS,
    **LINK_FAULTS,
    **EXCLUSIVE_FAULTS,
}
GROUPS = (ENTRY_FAULTS, CONTROL_FAULTS, LINK_FAULTS)


def _fault(kind: str, rng: random.Random) -> Fault:
    low_s, high_s = (2, 8) if kind.startswith('freeze') else (0.3, 4)
    hold_s = round(rng.uniform(low_s, high_s), 2)
    return Fault(kind, rng.randrange(12), hold_s)


def plan_rounds(rng: random.Random, count: int) -> list[Round]:
    """Return rounds in which every kind of fault occurs.

    A round has one fault or two of different groups; some rounds are
    repeated right after their recovery.
    """
    rounds: list[Round] = []
    while len(rounds) < count:
        for kind in rng.sample(sorted(INJECTORS), len(INJECTORS)):
            faults = [_fault(kind, rng)]
            others = [
                other
                for group in GROUPS
                if kind not in group and kind not in EXCLUSIVE_FAULTS
                for other in sorted(group)
            ]
            if others and rng.random() < 0.6:
                faults.append(_fault(rng.choice(others), rng))
            repeats = 2 if rng.random() < 0.3 else 1
            pause_s = round(rng.uniform(0, 1.5), 2)
            rounds += [Round(tuple(faults), pause_s)] * repeats
    return rounds[:count]


async def run_rounds(
    soak: SoakFleet,
    rounds: list[Round],
    seconds: float,
    log: list[str],
) -> None:
    """Run rounds for `seconds`; the last one runs to its recovery."""
    began_s = time.monotonic()
    for current in rounds:
        at_s = time.monotonic() - began_s
        if at_s > seconds:
            return
        log.append(f'{at_s:7.2f} s {" + ".join(map(str, current.faults))}')
        await asyncio.gather(
            *(INJECTORS[fault.kind](soak, fault) for fault in current.faults),
        )
        await asyncio.sleep(current.pause_s)
