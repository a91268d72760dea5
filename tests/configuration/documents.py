"""Small documents for tests of the configuration."""

from __future__ import annotations

from typing import Any

from hornbeamline.inventory import Operation


def document() -> dict[str, dict[str, Any]]:
    """Return a valid document with one service and one target."""
    return {
        'fleet': {'name': 'test'},
        'data_centres_by_name': {'dc-a': {'region': 'r'}},
        'services_by_name': {'desk': {'kind': 'plain', 'idempotent': False}},
        'targets_by_name': {
            'desk-1': {
                'service': 'desk',
                'data_centre': 'dc-a',
                'address': '127.0.0.1:1000',
            },
        },
        'pipelines_by_name': {
            'filing': {'stages': [{'name': 'file', 'service': 'desk'}]},
        },
    }


def put_rule(queue_length: int) -> Operation:
    """Return an operation that is valid on every test document."""
    return Operation(
        'put', 'rules', 'admission', {'queue_length': queue_length}
    )


def put_account(name: str, credential: int) -> Operation:
    """Return an operation that adds a client account."""
    table = {'credential_sha256': f'{credential:064x}'}
    return Operation('put', 'accounts_by_name', name, table)
