"""Invalid input results in one line on stderr and exit code 2."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.common import ROOT, digest_of, free_address, write_toml


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run `hornbeamline` until it exits."""
    return subprocess.run(
        [sys.executable, '-m', 'hornbeamline', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def control_file(folder: Path, **changes) -> Path:
    """Write control settings with the given tables replaced."""
    peering = free_address()
    tables = {
        'host': {'name': 'c1', 'data_centre': 'dc-a', 'fleet': 'test'},
        'peering': {'address': peering},
        'operator': {
            'address': free_address(),
            'credential_sha256': digest_of('operator'),
        },
        'storage': {'data_folder': str(folder / 'data')},
        'controls_by_name': {'c1': peering},
    }
    return write_toml(folder / 'control.toml', {**tables, **changes})


def assert_refused(
    result: subprocess.CompletedProcess[str],
    *parts: str,
) -> None:
    """Check the exit code and the parts of the one-line error."""
    lines = [
        line for line in result.stderr.splitlines() if 'event=' not in line
    ]
    assert (result.returncode, len(lines)) == (2, 1), result.stderr
    for part in parts:
        assert part in lines[0]


@pytest.mark.parametrize(
    ('changes', 'parts'),
    [
        ({'storage': {'data_folder': 'x', 'quota': 1}}, ['quota']),
        ({'peering': {'address': 'localhost:80'}}, ['peering.address']),
        ({'session_timeout_s': -1}, ['session_timeout_s']),
        ({'initial_documents': ['none.toml']}, ['none.toml']),
        ({'storage': {'data_folder': '/proc/none'}}, ['/proc/none']),
    ],
)
def test_bad_control_settings(tmp_path: Path, changes, parts) -> None:
    """Guards against a traceback or a process that starts partially."""
    path = control_file(tmp_path, **changes)
    assert_refused(run('control', 'run', '--settings', str(path)), *parts)
    assert not (tmp_path / 'data' / 'replog' / 'log').exists()


@pytest.mark.parametrize('table', ['peering', 'operator'])
def test_port_in_use(tmp_path: Path, table: str) -> None:
    """Guards against a second process on an address that is in use."""
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        address = f'127.0.0.1:{taken.getsockname()[1]}'
        content = {'address': address}
        if table == 'operator':
            content['credential_sha256'] = digest_of('operator')
        path = control_file(tmp_path, **{table: content})
        result = run('control', 'run', '--settings', str(path))
    assert_refused(result, address)


def test_check_names_file_key_and_reason(tmp_path: Path) -> None:
    """Guards against an error message that does not locate the fault."""
    path = write_toml(
        tmp_path / 'fleet.toml',
        {
            'fleet': {'name': 'x'},
            'targets_by_name': {
                't1': {
                    'service': 'none',
                    'data_centre': 'dc-a',
                    'address': '127.0.0.1:1',
                },
            },
        },
    )
    result = run('check', str(path))
    assert_refused(
        result,
        'fleet.toml',
        'targets_by_name.t1.service',
        'not in the inventory',
    )
    assert_refused(run('check', str(tmp_path / 'none.toml')), 'none.toml')
    valid = sorted(map(str, (ROOT / 'examples/tunja').glob('*.toml')))
    assert run('check', *valid).returncode == 0
