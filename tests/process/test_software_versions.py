"""A load on engines of two software versions that break their streams."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from hornbeamline.cli._caller import run_load
from hornbeamline.load import Ending, EndingKind, LoadSettings
from tests.process.fleet import (
    CREDENTIAL,
    base_document,
    eventually,
    hosts,
    running_fleet,
)

VERSIONS = ('1', '2')
ENGINES = 6


def load_on_two_versions(folder: Path, *, listed: bool) -> list[Ending]:
    """Run a load; the inventory tells versions only if `listed`."""
    document = base_document({'drafting': {'kind': 'generation'}})
    entry = document['targets_by_name'].pop('drafting-1')
    versions_by_name = {
        f'drafting-{number}': VERSIONS[number % len(VERSIONS)]
        for number in range(ENGINES)
    }
    for number, (name, version) in enumerate(versions_by_name.items(), 1):
        document['targets_by_name'][name] = {
            **entry,
            'address': f'127.0.0.1:{number}',
            'software_version': version if listed else '',
        }
    document['hosts_by_name'] = hosts(1, 1)
    document['rules'] = {'retry': {'budget': 0.5}}
    with running_fleet(folder, document) as fleet:
        for name, version in versions_by_name.items():
            fleet.override_settings(
                name,
                software_version=version,
                faults={'break_stream_after': 9, 'share': 0.25},
            )
        fleet.start()
        asyncio.run(eventually(fleet.all_ready, 40))
        callers = fleet.plan.addresses.callers_by_entry
        settings = LoadSettings(
            entries=list(callers.values()),
            rate_per_s=40,
            duration_s=5,
            seed=5,
            pipelines={'whole': 1},
            accounts={'cement': 1},
            credentials={'cement': CREDENTIAL},
            software_versions=VERSIONS,
        )
        endings = run_load(settings, progress=False)
        assert set(fleet.stop_all().values()) == {0}
    return endings


@pytest.mark.parametrize('listed', [True, False])
def test_no_answer_has_text_of_two_versions(
    tmp_path: Path,
    listed: bool,
) -> None:
    """Guards against resumptions at another version in the whole program."""
    endings = load_on_two_versions(tmp_path, listed=listed)
    kinds = [ending.kind for ending in endings]
    assert kinds.count(EndingKind.wrong_answer) == 0
    assert kinds.count(EndingKind.answered) > 0.9 * len(kinds)
    resumed = [
        ending
        for ending in endings
        if any(cost['attempts'] > 1 for cost in ending.costs)
    ]
    assert len(resumed) >= 10
