"""Checks of a run's records against the guarantees of the server."""

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
# Bounds the memory of the search: each visited state holds all accepted
# changes so far.
MAX_VISITED = 50_000


def check_keys(
    attempts: list[Attempt],
    executions: list[Execution],
    outcomes_by_key: Mapping[str, str],
) -> Iterator[str]:
    """Yield violations of the guarantees for idempotency keys.

    `outcomes_by_key` holds the outcomes that look-ups return after the run,
    with '' for an unknown key.
    """
    # Targets receive the key as `client account/request key/stage`.
    counts = Counter(each.key.split('/')[1] for each in executions)
    executed_ids = {each.request_id for each in executions}
    reported_outcomes: defaultdict[str, list[str]] = defaultdict(list)
    for attempt in attempts:
        reported_outcomes[attempt.key].append(attempt.outcome)
        executed = counts[attempt.key]
        if attempt.outcome == 'answered':
            if executed != 1:
                yield f'answered, but executed {executed} times: {attempt}'
            if attempt.output['echo'] != {'text': attempt.key}:
                yield f'answer belongs to another request: {attempt}'
        if attempt.outcome == 'not_run' and attempt.request_id in executed_ids:
            yield f'reported as not_run, but executed: {attempt}'
    for attempt in attempts:
        # The check of `not_run` relies on equal ids at caller and target.
        is_known = attempt.request_id in executed_ids
        if reported_outcomes[attempt.key] == ['answered'] and not is_known:
            yield f'executed under another request id: {attempt}'
    for key, count in counts.items():
        if count > 1:
            yield f'{key}: executed {count} times'
    for key, outcome in outcomes_by_key.items():
        if set(reported_outcomes[key]) == {'not_run'} and counts[key]:
            yield f'{key}: always reported as not_run, but executed'
        if counts[key] and outcome not in {'answered', 'unknown'}:
            yield f'{key}: executed, but look-up returns {outcome!r}'
        if not counts[key] and outcome == 'answered':
            yield f'{key}: never executed, but look-up returns answered'


def check_configuration(
    clients: Clients,
    history: Mapping[int, str],
) -> Iterator[str]:
    """Yield violations of the guarantees for the configuration.

    `history` holds the change id of each revision at the end of the run.
    """
    yield from clients.violations
    operations = clients.recorder.operations
    if not is_linearizable(operations, ConfigurationModel(1), MAX_VISITED):
        yield 'the configuration history is not linearizable'
    for revision, name in clients.changes_by_revision.items():
        if history.get(revision) != name:
            found = history.get(revision)
            yield f'revision {revision} was {name}, but history shows {found}'
    yield from check_monotonic_revisions(clients.served)
    for line in check_monotonic_revisions(clients.renewed):
        yield f'status: {line}'
    yield from check_takes_force(
        clients.served,
        clients.accepted_s_by_revision,
        LEASE_S,
    )
