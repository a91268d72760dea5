"""Stand-in targets and fleets that several test folders share."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

from hornbeamline.inventory import Fleet, ServiceKind, Target, validate
from hornbeamline.standins import (
    EngineSettings,
    Faults,
    StandinSettings,
    StandinTarget,
    prompt_seed,
    token_text,
)
from tests.common import digest_of, free_address

FAST_ENGINE = EngineSettings(
    first_token_ms=2,
    token_ms=1,
    token_ms_per_sequence=0,
    event_delay_s=0,
    event_loss=0,
    load_model_s=0.05,
    load_adapter_s=0.05,
)


@contextlib.asynccontextmanager
async def serving(
    kind: ServiceKind = ServiceKind.plain,
    *,
    name: str = 'target-1',
    faults: Faults | None = None,
    engine: EngineSettings = FAST_ENGINE,
    **options: Any,
) -> AsyncIterator[StandinTarget]:
    """Run a stand-in target in the event loop of the test."""
    settings = StandinSettings(
        name=name,
        address=free_address(),
        service='service',
        kind=kind,
        faults=faults or Faults(),
        engine=engine,
        **{'service_ms': 1, 'service_jitter_ms': 0, **options},
    )
    target = StandinTarget(settings)
    await target.start()
    try:
        yield target
    finally:
        await target.stop()


def inventory_target(standin: StandinTarget) -> Target:
    """Return the inventory entry of a stand-in target."""
    return Target(
        service='service',
        data_centre='dc-a',
        address=standin.settings.address,
    )


def expected_tokens(prompt: str, count: int, version: str = '') -> str:
    """Return the first tokens of the stand-in engine's answer to a prompt."""
    seed = prompt_seed(prompt, version)
    return ''.join(token_text(seed, index) for index in range(count))


def fleet_with(
    targets_by_service: dict[str, list[StandinTarget]],
    stages_by_pipeline: dict[str, list[str]],
    *,
    non_repeatable: frozenset[str] = frozenset(),
    max_tokens: int = 16,
) -> Fleet:
    """Return a fleet; each service has the kind of its first target."""
    return validate(
        {
            'fleet': {'name': 'test'},
            'data_centres_by_name': {'dc-a': {'region': 'r'}},
            'services_by_name': {
                service: {
                    'kind': targets[0].settings.kind.value,
                    'idempotent': service not in non_repeatable,
                }
                for service, targets in targets_by_service.items()
            },
            'targets_by_name': {
                target.settings.name: {
                    'service': service,
                    'data_centre': 'dc-a',
                    'address': target.settings.address,
                    'software_version': target.settings.software_version,
                }
                for service, targets in targets_by_service.items()
                for target in targets
            },
            'accounts_by_name': {
                'cement': {'credential_sha256': digest_of('cement-credential')},
                'paper': {'credential_sha256': digest_of('paper-credential')},
            },
            'pipelines_by_name': {
                pipeline: {
                    'stages': [
                        {
                            'name': service,
                            'service': service,
                            'max_tokens': max_tokens,
                        }
                        for service in stages
                    ],
                }
                for pipeline, stages in stages_by_pipeline.items()
            },
        },
    )


async def until(condition: Callable[[], Any], timeout_s: float = 10) -> None:
    """Wait until a condition holds; raise TimeoutError after the timeout."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - conditions are counters
            await asyncio.sleep(0.005)
