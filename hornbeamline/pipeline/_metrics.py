"""Prometheus counters of outcomes, attempts, retries and costs."""

from __future__ import annotations

from typing import Final

from prometheus_client import Counter

from hornbeamline.telemetry import registry

# Bounds the number of time series: with one per account of a large fleet,
# rendering the metrics would cost more than serving the requests. Accounts
# beyond the bound share one label.
_MAX_ACCOUNT_LABELS: Final = 500
_OTHER_ACCOUNTS: Final = 'other'

OUTCOMES: Final = Counter(
    'hornbeamline_pipeline_outcomes',
    'Final outcomes of requests.',
    ('pipeline', 'outcome', 'reason'),
    registry=registry,
)
ATTEMPTS: Final = Counter(
    'hornbeamline_pipeline_attempts',
    'Finished attempts at stages, by result.',
    ('pipeline', 'stage', 'result'),
    registry=registry,
)
RETRIES: Final = Counter(
    'hornbeamline_pipeline_retries',
    'Retried attempts, by the result of the previous attempt.',
    ('pipeline', 'stage', 'reason'),
    registry=registry,
)
STAGE_SECONDS: Final = Counter(
    'hornbeamline_pipeline_target_seconds',
    'Target time by stage; time with use `wasted` contributed to no answer.',
    ('pipeline', 'stage', 'use'),
    registry=registry,
)
STAGE_TOKENS: Final = Counter(
    'hornbeamline_pipeline_tokens',
    'Generated tokens by stage.',
    ('pipeline', 'stage'),
    registry=registry,
)
ACCOUNT_SECONDS: Final = Counter(
    'hornbeamline_account_target_seconds',
    'Target time by client account.',
    ('account', 'use'),
    registry=registry,
)
ACCOUNT_TOKENS: Final = Counter(
    'hornbeamline_account_tokens',
    'Generated tokens by client account.',
    ('account',),
    registry=registry,
)

_labelled_accounts: set[str] = set()


def account_label(account: str) -> str:
    """Return the account label; the number of labels is bounded."""
    if account in _labelled_accounts:
        return account
    if len(_labelled_accounts) >= _MAX_ACCOUNT_LABELS:
        return _OTHER_ACCOUNTS
    _labelled_accounts.add(account)
    return account
