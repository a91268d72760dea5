"""Checks of the records of a run against the guarantees."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping

from hornbeamline.history import (
    ConfigurationModel,
    check_monotonic_revisions,
    check_takes_force,
    is_linearizable,
)
from tests.soak.clients import Attempt, Clients
from tests.soak.fleet import Execution

LEASE_S = 4.0
# A search point holds the accepted changes so far: bounds the memory.
MAX_VISITED = 50_000


def check_keys(
    attempts: list[Attempt],
    executions: list[Execution],
    outcomes_by_key: Mapping[str, str],
) -> Iterator[str]:
    """Yield violations of the promises about request keys.

    `outcomes_by_key` is what the look-up says after the run; a key that is
    not known has the outcome ''.
    """
    # Targets get `client account/request key/stage`.
    counts = Counter(each.key.split('/')[1] for each in executions)
    executed_ids = {each.request_id for each in executions}
    told: defaultdict[str, list[str]] = defaultdict(list)
    for attempt in attempts:
        told[attempt.key].append(attempt.outcome)
        executed = counts[attempt.key]
        if attempt.outcome == 'answered':
            if executed != 1:
                yield f'answered, executed {executed} times: {attempt}'
            if attempt.output['echo'] != {'text': attempt.key}:
                yield f'answer of another request: {attempt}'
        if attempt.outcome == 'not_run' and attempt.request_id in executed_ids:
            yield f'told not_run, executed: {attempt}'
    for attempt in attempts:
        # Without equal identities the check of `not_run` sees nothing.
        is_known = attempt.request_id in executed_ids
        if told[attempt.key] == ['answered'] and not is_known:
            yield f'executed under another identity: {attempt}'
    for key, count in counts.items():
        if count > 1:
            yield f'{key}: executed {count} times'
    for key, outcome in outcomes_by_key.items():
        if set(told[key]) == {'not_run'} and counts[key]:
            yield f'{key}: always told not_run, executed'
        if counts[key] and outcome not in {'answered', 'unknown'}:
            yield f'{key}: executed, look-up says {outcome!r}'
        if not counts[key] and outcome == 'answered':
            yield f'{key}: never executed, look-up says answered'


def check_configuration(
    clients: Clients,
    history: Mapping[int, str],
) -> Iterator[str]:
    """Yield violations of the promises about the configuration.

    `history` is the change id of each revision after the run.
    """
    yield from clients.violations
    operations = clients.recorder.operations
    if not is_linearizable(operations, ConfigurationModel(1), MAX_VISITED):
        yield 'the configuration history is not linearizable'
    for revision, name in clients.changes_by_revision.items():
        if history.get(revision) != name:
            found = history.get(revision)
            yield f'revision {revision} was {name}, at the end {found}'
    yield from check_monotonic_revisions(clients.served)
    for line in check_monotonic_revisions(clients.renewed):
        yield f'status: {line}'
    yield from check_takes_force(
        clients.served,
        clients.accepted_s_by_revision,
        LEASE_S,
    )
