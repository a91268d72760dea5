"""Comparison of what callers were told with what targets executed."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import aiohttp

from hornbeamline.load import Ending, EndingKind

_TIMEOUT_S: Final = 10


class PromiseReport(NamedTuple):
    """Violations, one line each, and the number of keys checked."""

    checked: int
    violations: tuple[str, ...]


async def executions_by_key(addresses: Iterable[str]) -> dict[str, int]:
    """Return how often stand-ins executed each request.

    Names are `client account/request key/stage`, as in the key that targets
    get.
    """
    totals: Counter[str] = Counter()
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for address in addresses:
            url = f'http://{address}/v1/executions'
            async with session.get(url) as response:
                totals.update(await response.json())
    return dict(totals)


def find_violations(
    endings: Iterable[Ending],
    executions: Mapping[str, int],
) -> PromiseReport:
    """Check endings against executions of non-repeatable calls."""
    violations: list[str] = []
    checked = 0
    counts_by_prefix: defaultdict[str, list[int]] = defaultdict(list)
    for name, executed in executions.items():
        counts_by_prefix[f'{name.rpartition("/")[0]}/'].append(executed)
    for ending in endings:
        if ending.kind is EndingKind.wrong_answer:
            violations.append(f'{_name(ending)}: answer of another request')
        if ending.request_key:
            checked += 1
            prefix = f'{ending.account}/{ending.request_key}/'
            count = max(counts_by_prefix.get(prefix, ()), default=0)
            violations.extend(_key_violations(ending, count))
    return PromiseReport(checked, tuple(violations))


def _key_violations(ending: Ending, count: int) -> Iterable[str]:
    if count > 1:
        yield f'{_name(ending)}: executed {count} times'
    if count and ending.kind is EndingKind.not_run:
        yield f'{_name(ending)}: told "not run" but executed'
    if not count and ending.kind is EndingKind.answered:
        yield f'{_name(ending)}: answered but never executed'


def _name(ending: Ending) -> str:
    return f'{ending.pipeline} {ending.request_key or ending.account}'
