"""Tests that only the adapter uses the platform's names."""

from __future__ import annotations

import re

from tests.common import ROOT

# Fields, headers, calls and terms of the platform's documentation.
NAMES = (
    'readiness-addr',
    'traffic-split',
    'kv-events',
    'stage-run',
    'stage-free',
    'X-Expect-Instance',
    'X-Server-Stamp',
    'X-Server-Load',
    'Server-Leaving',
    'Server-Limit',
    'X-Not-Executed',
    'X-Prompt-Prefix',
    'X-Token-Count',
    'X-Piece',
    'X-Tenant',
    'X-Api-Key',
    'config-apply-ms',
    'fault-tolerance',
    'cloud-api',
    'internal-ports',
    'path-prefix',
    'route-type',
    'target-latency',
    'warmup-left',
    'data-dir',
    'draining"',
    'tenant',
    'HORNBEAMLINE_SETTINGS',
)
# The word "tenant" may occur only in the list of synonyms of the design page.
PATTERN = re.compile('|'.join(map(re.escape, NAMES)), re.IGNORECASE)


def test_no_platform_name_outside_the_adapter() -> None:
    """The adapter translates names; other code uses the project's terms."""
    package = ROOT / 'hornbeamline'
    found = [
        f'{path.relative_to(ROOT)}: {match.group()}'
        for path in package.rglob('*.py')
        if 'platform' not in path.relative_to(package).parts[:1]
        for match in PATTERN.finditer(path.read_text(encoding='utf-8'))
    ]
    assert not found


def test_product_does_not_import_the_adapter() -> None:
    """The adapter depends on the other packages, never the reverse."""
    package = ROOT / 'hornbeamline'
    importing = [
        str(path.relative_to(ROOT))
        for path in package.rglob('*.py')
        if 'platform' not in path.relative_to(package).parts[:1]
        and 'hornbeamline.platform' in path.read_text(encoding='utf-8')
    ]
    assert not importing
