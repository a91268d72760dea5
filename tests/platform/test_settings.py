"""Tests of reading the platform's settings file."""

from __future__ import annotations

from pathlib import Path

import pytest

from hornbeamline.exceptions import InventoryError
from hornbeamline.platform._settings import read_settings
from tests.common import write_toml

SETTINGS_TABLE = {
    'node': 'edge-a-1',
    'ip': '10.1.0.33',
    'zone': 'a',
    'internal-ports': [7740, 7755],
    'seeds': ['10.1.0.33:8628', '10.2.0.12:8628'],
    'bootstrap': True,
    'data-dir': '/data/x',
    'new-field': {'x': 1},
    'listen': {'front': '10.1.0.33:8625', 'readiness-addr': '10.1.0.33:1'},
    'fault-tolerance': {'machines': 2},
    'bounds': {'drain-ms': 3000, 'grace-s': 8},
    'cloud-api': {'address': '10.200.0.69:8624'},
}


def test_file_is_read_into_project_terms(tmp_path: Path) -> None:
    """Unknown fields are ignored; absent listeners become empty."""
    settings = read_settings(write_toml(tmp_path / 's.toml', SETTINGS_TABLE))
    assert settings.control_ips == ['10.1.0.33', '10.2.0.12']
    assert settings.stop_timeout_s == 8
    assert settings.tolerated_losses == 2
    assert settings.operator_address == ''
    assert settings.is_first_start
    assert not settings.region_by_data_centre


def test_data_centres_are_read(tmp_path: Path) -> None:
    """Guards against orders for data centres that are taken for unknown."""
    regions = {'a/b': 'west', '100%': 'east'}
    path = write_toml(tmp_path / 's.toml', {**SETTINGS_TABLE, 'zones': regions})
    assert read_settings(path).region_by_data_centre == regions


@pytest.mark.parametrize(
    ('given', 'expected_s'), [({}, 3.0), ({'max-lag-ms': 800}, 0.8)]
)
def test_lag_of_the_list_is_read(tmp_path: Path, given, expected_s) -> None:
    """Without a figure the lag is taken to be long."""
    api = {**SETTINGS_TABLE['cloud-api'], **given}
    path = write_toml(tmp_path / 's.toml', {**SETTINGS_TABLE, 'cloud-api': api})
    assert read_settings(path).list_lag_s == expected_s


@pytest.mark.parametrize(
    ('changes', 'key'),
    [
        ({'zones': {'a': 1}}, 'zones'),
        ({'ip': 7}, 'ip'),
        ({'internal-ports': 'x'}, 'internal-ports'),
        ({'cloud-api': {}}, 'address'),
        ({'bounds': {'grace-s': 'long'}}, 'grace-s'),
    ],
)
def test_unusable_file_names_file_and_key(tmp_path, changes, key) -> None:
    """The error tells an operator in one line what to correct."""
    path = write_toml(tmp_path / 's.toml', {**SETTINGS_TABLE, **changes})
    with pytest.raises(InventoryError) as caught:
        read_settings(path)
    assert str(path) in str(caught.value)
    assert key in str(caught.value)
    assert '\n' not in str(caught.value)


def test_missing_file_is_named(tmp_path: Path) -> None:
    """A missing file stops the start with an error that names it."""
    with pytest.raises(InventoryError, match='absent'):
        read_settings(tmp_path / 'absent.toml')
