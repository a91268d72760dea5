"""Comparison of outcomes reported to callers with executions by targets."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import aiohttp

from hornbeamline.load import Ending, EndingKind

_TIMEOUT_S: Final = 10


class PromiseReport(NamedTuple):
    """Number of request keys checked, and violations of one line each."""

    checked: int
    violations: tuple[str, ...]


async def executions_by_key(addresses: Iterable[str]) -> dict[str, int]:
    """Return how often stand-ins executed each idempotency key.

    Targets receive keys of the form `client account/request key/stage`.
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
    """Compare reported outcomes with executions of non-idempotent calls.

    No call of a request with a key may be executed more than once. When the
    request was reported as not run, none may be executed; when it was
    answered, at least one must be. An answer that belongs to another request
    is always a violation.
    """
    violations: list[str] = []
    checked = 0
    counts_by_prefix: defaultdict[str, list[int]] = defaultdict(list)
    for name, executed in executions.items():
        counts_by_prefix[f'{name.rpartition("/")[0]}/'].append(executed)
    for ending in endings:
        if ending.kind is EndingKind.wrong_answer:
            violations.append(
                f'{_request_name(ending)}: answer of another request'
            )
        if ending.request_key:
            checked += 1
            prefix = f'{ending.account}/{ending.request_key}/'
            count = max(counts_by_prefix.get(prefix, ()), default=0)
            violations.extend(_key_violations(ending, count))
    return PromiseReport(checked, tuple(violations))


def _key_violations(ending: Ending, count: int) -> Iterable[str]:
    if count > 1:
        yield f'{_request_name(ending)}: executed {count} times'
    if count and ending.kind is EndingKind.not_run:
        yield f'{_request_name(ending)}: told "not run" but executed'
    if not count and ending.kind is EndingKind.answered:
        yield f'{_request_name(ending)}: answered but never executed'


def _request_name(ending: Ending) -> str:
    return f'{ending.pipeline} {ending.request_key or ending.account}'
