"""What clients sent and what servers ran, in one place for the checks."""

from __future__ import annotations

import hashlib
import time
from collections import Counter, defaultdict
from typing import NamedTuple

NOT_RUN = frozenset((408, 421, 429, 503))


class Sent(NamedTuple):
    """A request of a client attempt."""

    method: str
    path: str
    body: bytes
    tenant: str
    may_repeat: bool
    pieces: tuple[int, ...] = ()
    piece_key: str = ''


class World:
    """Judges executions and answers as they happen."""

    def __init__(self) -> None:
        self.sent_by_id: dict[str, Sent] = {}
        self.runs_by_id: Counter[str] = Counter()
        self.statuses_by_id: defaultdict[str, set[int]] = defaultdict(set)
        self.refused: set[str] = set()
        self.served: Counter[str] = Counter()
        self.violations: list[str] = []
        # Stage and piece of each result that a server holds, by handle.
        self.results: dict[str, tuple[str, int, int]] = {}
        # Acknowledged versions with the time of the acknowledgement.
        self.acknowledged: list[tuple[float, int]] = []

    def violate(self, text: str) -> None:
        """Note a broken rule."""
        self.violations.append(f'{time.monotonic():.2f} {text}')

    def note_run(self, request_id: str) -> None:
        """Note that a server began to work on a request."""
        self.runs_by_id[request_id] += 1
        sent = self.sent_by_id.get(request_id)
        if sent is None:
            return
        if self.runs_by_id[request_id] > 1 and not sent.may_repeat:
            self.violate(f'TWICE {request_id}')
        if request_id in self.refused and not sent.may_repeat:
            self.violate(f'REFUSED {request_id} runs after its refusal')

    def note_answer(
        self,
        request_id: str,
        status: int,
        *,
        is_signed: bool,
    ) -> None:
        """Note the status that a client got."""
        sent = self.sent_by_id[request_id]
        if is_signed and status not in self.statuses_by_id[request_id]:
            self.violate(f'MIXED {request_id}: signed {status}')
        if status in {401, 403, 404}:
            self.violate(f'DENIED {request_id}: {status}')
        if status not in NOT_RUN:
            return
        self.refused.add(request_id)
        if self.runs_by_id[request_id] and not sent.may_repeat:
            self.violate(f'REFUSED {request_id}: {status}, and has run')

    def check_inputs(
        self,
        request_id: str,
        handles: list[str],
        stages: tuple[int, ...],
    ) -> bool:
        """Check that inputs are all results of stages; False if gone."""
        sent = self.sent_by_id[request_id]
        wanted = {
            (request_id, stage, piece)
            for stage in stages
            for piece in range(sent.pieces[stage])
        }
        known = [self.results.get(handle) for handle in handles]
        if None in known:
            return False
        if len(handles) != len(wanted) or set(known) != wanted:
            self.violate(f'MIXED {request_id}: inputs {known}')
        return True


def body_of(request_id: str, sent: Sent) -> bytes:
    """Return the answer that belongs to a request."""
    digest = hashlib.sha256(sent.body).hexdigest()
    return f'{request_id} {sent.method} {sent.path} {digest}'.encode()


def events_of(request_id: str) -> int:
    """Return the number of events of a stream."""
    return 3 + int(request_id[:2], 16) % 10
