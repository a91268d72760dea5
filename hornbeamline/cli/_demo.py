"""Demonstration of a local fleet with a burst of load and a killed host."""

from __future__ import annotations

import asyncio
import tempfile
import threading
import time
from pathlib import Path
from typing import Annotated, Final

import aiohttp
import typer

from hornbeamline.cli._caller import run_load
from hornbeamline.exceptions import HornbeamlineError
from hornbeamline.inventory import load_document
from hornbeamline.load import (
    Balancer,
    Burst,
    Ending,
    LoadSettings,
    build_report,
    render_text,
)
from hornbeamline.local_fleet import (
    FleetPlan,
    ProcessGroup,
    executions_by_key,
    find_violations,
    plan_fleet,
    write_settings,
)

CONTROLS: Final = 3
READY_TIMEOUT_S: Final = 45
DEFAULT_SECONDS: Final = 12
# Share of the load's duration after which an entry host is killed.
KILL_AT_SHARE: Final = 0.5
BURST_FACTOR: Final = 3
BURST_S: Final = 2
EXAMPLES: Final = ('tunja', 'nasrallah')
EXAMPLES_FOLDER: Final = Path('examples')


class DemoFailedError(HornbeamlineError):
    """The fleet didn't start or stop properly, or broke a promise to callers.

    `find_violations` checks the promises: a call that must not be repeated is
    executed at most once, and the outcome that the caller is told is true.
    """


def demo(
    examples: Annotated[
        Path,
        typer.Option('--examples', help='Folder of the example fleets.'),
    ] = EXAMPLES_FOLDER,
    fleet: Annotated[
        str,
        typer.Option('--fleet', help='Example fleet that is run.'),
    ] = 'tunja',
    entries: Annotated[
        int,
        typer.Option('--entries', min=2, help='Number of entry processes.'),
    ] = 4,
    seconds: Annotated[
        int,
        typer.Option('--seconds', min=4, help='Length of the load in s.'),
    ] = DEFAULT_SECONDS,
    rate: Annotated[
        float,
        typer.Option('--rate', min=1, help='Requests per second.'),
    ] = 30,
    seed: Annotated[
        int,
        typer.Option('--seed', help='Seed of the load.'),
    ] = 1,
) -> None:
    """Run an example fleet on loopback with a burst and a killed host.

    Exit code 0 when every promise to callers held, 1 otherwise.
    """
    for name in EXAMPLES:
        files = sorted((examples / name).glob('*.toml'))
        plan = plan_fleet(load_document(files), CONTROLS, entries)
        typer.echo(
            f'{name}: valid, {len(plan.fleet.hosts_by_name)} hosts, '
            f'{len(plan.fleet.targets_by_name)} targets',
        )
    files = sorted((examples / fleet).glob('*.toml'))
    plan = plan_fleet(load_document(files), CONTROLS, entries)
    with tempfile.TemporaryDirectory(prefix='hornbeamline-') as folder:
        violations = _run(
            plan, Path(folder), _load_settings(plan, rate, seconds, seed)
        )
    if violations:
        raise DemoFailedError('\n'.join(violations))
    typer.echo('every promise held')


def _run(
    plan: FleetPlan,
    folder: Path,
    load_plan: LoadSettings,
) -> tuple[str, ...]:
    commands = write_settings(plan, folder)
    with ProcessGroup(folder) as group:
        started_at = time.monotonic()
        for name, arguments in commands.items():
            group.start(name, arguments)
        _wait_ready(plan, group)
        typer.echo(
            f'{len(commands)} processes ready after '
            f'{time.monotonic() - started_at:.1f} s',
        )
        endings = _load_with_kill(plan, group, load_plan)
        typer.echo(render_text(build_report(endings, load_plan.duration_s)))
        violations = _check_promises(plan, endings)
        stopped = group.stop(commands.keys() - group.exited().keys())
    failed = tuple(
        f'{process}: exit code {code} after SIGTERM'
        for process, code in stopped.items()
        if code
    )
    return violations + failed


def _check_promises(
    plan: FleetPlan,
    endings: list[Ending],
) -> tuple[str, ...]:
    executions = asyncio.run(
        executions_by_key(plan.addresses.targets_by_name.values()),
    )
    report = find_violations(endings, executions)
    typer.echo(f'{report.checked} request keys checked at the targets')
    return report.violations


def _wait_ready(plan: FleetPlan, group: ProcessGroup) -> None:
    async def wait() -> None:
        callers = tuple(plan.addresses.callers_by_entry.values())
        balancer = Balancer(callers)
        async with aiohttp.ClientSession() as session:
            await balancer.start(session)
            try:
                await balancer.wait_ready(len(callers), READY_TIMEOUT_S)
            finally:
                await balancer.stop()

    try:
        asyncio.run(wait())
    except TimeoutError as error:
        logs = ''.join(
            f'\n{name} ended with {code}:\n{group.log_of(name)}'
            for name, code in group.exited().items()
        )
        raise DemoFailedError(f'fleet is not ready{logs}') from error


def _load_with_kill(
    plan: FleetPlan,
    group: ProcessGroup,
    load_plan: LoadSettings,
) -> list[Ending]:
    victim = tuple(plan.addresses.callers_by_entry)[-1]

    def kill() -> None:
        group.kill(victim)
        typer.echo(f'{victim} killed')

    timer = threading.Timer(load_plan.duration_s * KILL_AT_SHARE, kill)
    timer.start()
    try:
        return run_load(load_plan, progress=False)
    finally:
        timer.cancel()
        timer.join()


def _load_settings(
    plan: FleetPlan,
    rate: float,
    seconds: int,
    seed: int,
) -> LoadSettings:
    accounts = plan.fleet.accounts_by_name
    pipelines = plan.fleet.pipelines_by_name
    return LoadSettings(
        entries=list(plan.addresses.callers_by_entry.values()),
        rate_per_s=rate,
        duration_s=seconds,
        seed=seed,
        bursts=[
            Burst(
                at_s=seconds * KILL_AT_SHARE - 1,
                for_s=BURST_S,
                factor=BURST_FACTOR,
            ),
        ],
        pipelines=dict.fromkeys(pipelines, 1),
        accounts={name: account.share for name, account in accounts.items()},
        # The example fleets use these texts as credentials.
        credentials={name: f'{name}-example-credential' for name in accounts},
        keyed_pipelines=[
            name for name in pipelines if not plan.fleet.may_repeat(name)
        ],
        software_versions=tuple(
            {
                target.software_version
                for target in plan.fleet.targets_by_name.values()
            },
        ),
    )
