"""Shared record of client requests and executions, with its checks."""

from __future__ import annotations

import hashlib
import time
from collections import Counter, defaultdict
from typing import NamedTuple

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class SentRequest(NamedTuple):
    """One request as a client sent it; each attempt has its own id."""

    method: str
    path: str
    body: bytes
    tenant: str
    may_repeat: bool
    pieces: tuple[int, ...] = ()
    piece_key: str = ''
    # Id of the attempt that brought the first event of a resumed stream.
    resumes: str = ''


class World:
    """Record executions and answers, and check each of them at once."""

    def __init__(self) -> None:
        self.sent_by_id: dict[str, SentRequest] = {}
        self.executions_by_id: Counter[str] = Counter()
        self.statuses_by_id: defaultdict[str, set[int]] = defaultdict(set)
        self.refused_ids: set[str] = set()
        self.served: Counter[str] = Counter()
        self.violations: list[str] = []
        # Request id, stage and piece of each result that a server holds.
        self.results_by_handle: dict[str, tuple[str, int, int]] = {}
        # Prompt part under which engines end; empty for none.
        self.deadly_part = ''
        # Ids of the engines that ended under it, and arrivals of the part.
        self.ended_engines: list[str] = []
        self.deadly_arrivals = 0
        # Acknowledged configuration versions with the time of acknowledgement.
        self.acknowledged: list[tuple[float, int]] = []

    def record_violation(self, text: str) -> None:
        """Record a violation with the time at which it was seen."""
        self.violations.append(f'{time.monotonic():.2f} {text}')

    def stream_of(self, request_id: str) -> str:
        """Return the id of the attempt that began the stream of an attempt."""
        sent = self.sent_by_id.get(request_id)
        return request_id if sent is None else sent.resumes or request_id

    def record_execution(self, request_id: str) -> None:
        """Record that a server started to execute a request.

        It must not execute a request twice, nor after a refusal, unless the
        client may repeat it.
        """
        self.executions_by_id[request_id] += 1
        sent = self.sent_by_id.get(request_id)
        if sent is None:
            return
        if self.executions_by_id[request_id] > 1 and not sent.may_repeat:
            self.record_violation(f'TWICE {request_id}')
        if request_id in self.refused_ids and not sent.may_repeat:
            self.record_violation(
                f'REFUSED {request_id} executed after its refusal'
            )

    def record_answer(
        self,
        request_id: str,
        status: int,
        *,
        is_signed: bool,
    ) -> None:
        """Record the status that a client received.

        `is_signed` says whether the answer carries a server's stamp, so that
        a server must have sent this status for this request.
        """
        if is_signed and status not in self.statuses_by_id[request_id]:
            self.record_violation(f'MIXED {request_id}: signed {status}')
        if status in {401, 403, 404}:
            self.record_violation(f'DENIED {request_id}: {status}')
        if status not in NOT_RUN_STATUSES:
            return
        self.refused_ids.add(request_id)
        if self.executions_by_id[request_id]:
            self.record_violation(
                f'REFUSED {request_id}: {status}, but was executed'
            )

    def check_inputs(
        self,
        request_id: str,
        handles: list[str],
        stages: tuple[int, ...],
    ) -> bool:
        """Check that the handles are all results of the given stages.

        Return False if a server no longer holds one of them.
        """
        sent = self.sent_by_id[request_id]
        wanted = {
            (request_id, stage, piece)
            for stage in stages
            for piece in range(sent.pieces[stage])
        }
        known = [self.results_by_handle.get(handle) for handle in handles]
        if None in known:
            return False
        if len(handles) != len(wanted) or set(known) != wanted:
            self.record_violation(f'MIXED {request_id}: inputs {known}')
        return True


def expected_body(request_id: str, sent: SentRequest) -> bytes:
    """Return the body of the only correct answer to a request."""
    digest = hashlib.sha256(sent.body).hexdigest()
    return f'{request_id} {sent.method} {sent.path} {digest}'.encode()


def event_count(request_id: str) -> int:
    """Return the number of events in the stream of a request."""
    return 3 + int(request_id[:2], 16) % 10


def event_of(stream: str, number: int, version: str) -> bytes:
    """Return one event of a stream as a server of a version writes it."""
    return f'id: {number}\ndata: {stream}-{number} {version}\n\n'.encode()


def versions_in(stream: str, body: bytes) -> list[str]:
    """Return the versions whose servers wrote the events of a body, in order.

    Raises `ValueError` if the body is not made of events of the stream.
    """
    versions = []
    for event in body.split(b'\n\n')[:-1]:
        written, _, version = event.decode().rpartition(' ')
        number = int(written.partition('\n')[0].removeprefix('id: '))
        if event_of(stream, number, version) != event + b'\n\n':
            raise ValueError(f'not an event of {stream}: {event!r}')
        versions.append(version)
    return versions
