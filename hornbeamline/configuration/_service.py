"""Control host's side of the configuration: changes and leases."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, NamedTuple

from hornbeamline.configuration._machine import (
    ChangeCommand,
    ConfigurationMachine,
)
from hornbeamline.configuration._messages import (
    GrantNumber,
    RenewReply,
    RenewRequest,
)
from hornbeamline.configuration._metrics import CHANGES
from hornbeamline.configuration._types import (
    Accepted,
    Change,
    ChangeResponse,
    HistoryEntry,
    HolderStatus,
)
from hornbeamline.configuration.const import (
    AUTHOR_INITIAL,
    HOLDER_RETENTION_S,
    INITIAL_CHANGE_ID,
    INITIAL_PROPOSAL_RETRY_S,
    LEASE_S,
    MACHINE_NAME,
    MAX_HOLDERS,
    MAX_READS_PER_BARRIER,
    STATUS_INVALID,
)
from hornbeamline.control_link import LeaderServer
from hornbeamline.core import TaskSet
from hornbeamline.exceptions import ReplicatedLogError
from hornbeamline.helpers.batching import Batcher
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.codec import decode, encode
from hornbeamline.inventory import (
    Document,
    Fleet,
    InvalidDocumentError,
    apply_operations,
    difference,
    digest_after,
    document_digest,
    fleet_after,
    fleet_of,
    validate,
    validate_fleet,
)
from hornbeamline.replog import ReplicatedLog
from hornbeamline.telemetry import log_event


class _Holder(NamedTuple):
    role: str
    revision: int
    renewed_at_s: float
    # Number of the newest grant that the holder had received when it sent
    # the renewal.
    last_grant: int


class ConfigurationService:
    """Accepts changes and grants leases while this host is the leader."""

    def __init__(
        self,
        log: ReplicatedLog,
        server: LeaderServer,
        clock: Clock,
        initial: Document | None = None,
        lease_s: float = LEASE_S,
    ) -> None:
        """Register the state machine; must run before the log starts.

        `initial` is proposed as revision 1 if there is no configuration.
        """
        self.machine = ConfigurationMachine()
        self._log = log
        self._clock = clock
        self._initial = initial
        self._lease_s = lease_s
        self._tasks = TaskSet()
        self._change_lock = asyncio.Lock()
        self._holders_by_host: dict[str, _Holder] = {}
        self._grant_count = 0
        self._barriers: Batcher[None, None]
        self._barriers = Batcher(self._run_barrier, MAX_READS_PER_BARRIER)
        # Caches of the decoded fleet and of the encoded document of the
        # current revision. Holders that need the whole document get the same
        # bytes.
        self._document_bytes_revision = 0
        self._fleet: Fleet | None = None
        self._fleet_revision = 0
        self._document_bytes = b''
        log.register_state_machine(MACHINE_NAME, self.machine)
        log.on_leadership(self._on_leadership)
        server.register_handler(RenewRequest, self._on_renew)

    async def start(self) -> None:
        """Propose the initial document if there is no configuration."""
        if self._initial is not None:
            self._tasks.spawn(
                self._propose_initial(),
                'initial configuration proposal',
            )

    async def stop(self) -> None:
        """Stop the background task."""
        await self._tasks.cancel_all()

    def current_fleet(self) -> Fleet | None:
        """Return the fleet as of the last change applied on this host.

        None before the first revision.
        """
        accepted = self.machine.accepted
        if accepted.revision == 0:
            return None
        if self._fleet is None or self._fleet_revision != accepted.revision:
            self._fleet = fleet_of(accepted.document)
            self._fleet_revision = accepted.revision
        return self._fleet

    async def read(self) -> Accepted:
        """Return the current document after a read barrier.

        Raises `NotLeaderError` and `LogStoppedError`.
        """
        await self._barriers.submit(None)
        return self.machine.accepted

    async def read_history(self, after: int, limit: int) -> list[HistoryEntry]:
        """Return up to `limit` changes after a revision, oldest first.

        Raises `NotLeaderError` and `LogStoppedError`.
        """
        await self._barriers.submit(None)
        newer = [
            entry for entry in self.machine.history if entry.revision > after
        ]
        return newer[:limit]

    async def change(self, change: Change) -> ChangeResponse:
        """Validate the resulting document and propose the change.

        Raises `NotLeaderError` (nothing was proposed),
        `ProposalUnknownError` (the change may still be accepted; send it
        again with the same change id) and `LogStoppedError`.
        """
        async with self._change_lock:
            # After the barrier, the local state is the one that the command
            # is applied to, unless another leader commits a change first;
            # the state machine then finds the base revision outdated.
            await self._barriers.submit(None)
            first = self.machine.response_to(change.change_id)
            if first is not None:
                return first
            try:
                digest = self._validated_digest(change)
            except InvalidDocumentError as error:
                CHANGES.labels(STATUS_INVALID).inc()
                return ChangeResponse(
                    STATUS_INVALID,
                    self.machine.accepted.revision,
                    key_path=error.key_path,
                    reason=error.reason,
                )
            command = ChangeCommand(change, self._clock.wall_ms(), digest)
            answer = await self._log.propose(MACHINE_NAME, encode(command))
        response = decode(answer, ChangeResponse)
        CHANGES.labels(response.status).inc()
        log_event(
            'configuration.change',
            change=change.change_id,
            author=change.author,
            status=response.status,
            revision=response.revision,
        )
        return response

    def holders(self) -> list[HolderStatus]:
        """Return the hosts that renewed with this leader, by name."""
        now_s = self._clock.monotonic()
        statuses = []
        for host, holder in sorted(self._holders_by_host.items()):
            age_s = now_s - holder.renewed_at_s
            remaining_s = max(0, self._lease_s - age_s)
            statuses.append(
                HolderStatus(
                    host, holder.role, holder.revision, age_s, remaining_s
                ),
            )
        return statuses

    def _on_leadership(self, _is_leader: bool) -> None:
        self._holders_by_host.clear()

    def _validated_digest(self, change: Change) -> str:
        current = self.machine.accepted
        if change.base_revision != current.revision:
            return ''
        document = apply_operations(current.document, change.operations)
        before = self.current_fleet()
        if before is None:
            validate(document)
            return document_digest(document)
        validate_fleet(fleet_after(before, document, change.operations))
        return digest_after(
            current.digest,
            current.document,
            change.operations,
        )

    async def _run_barrier(self, waiting: list[None]) -> Sequence[None]:
        await self._log.read_barrier()
        return waiting

    async def _on_renew(self, request: RenewRequest) -> RenewReply:
        await self._barriers.submit(None)
        reply = self._renewal_reply(request)
        self._record_holder(request)
        self._grant_count += 1
        return reply._replace(
            grant=GrantNumber(self._log.term, self._grant_count),
        )

    def _renewal_reply(self, request: RenewRequest) -> RenewReply:
        current = self.machine.accepted
        reply = RenewReply(
            current.revision,
            current.digest,
            self._lease_s,
            [],
            b'',
        )
        is_same = request.digest == current.digest and not request.wants_whole
        if request.revision == current.revision and is_same:
            return reply
        operations = None
        if request.revision < current.revision and not request.wants_whole:
            operations = self.machine.operations_since(request.revision)
        document: dict[str, Any] = current.document
        table_count = sum(len(section) for section in document.values())
        # Many small changes can be larger than the document itself.
        if operations is None or len(operations) > table_count:
            return reply._replace(document=self._encoded_document())
        return reply._replace(operations=operations)

    def _encoded_document(self) -> bytes:
        current = self.machine.accepted
        if self._document_bytes_revision != current.revision:
            self._document_bytes = encode(current.document)
            self._document_bytes_revision = current.revision
        return self._document_bytes

    def _record_holder(self, request: RenewRequest) -> None:
        """Record the revision of a holder, unless the request is outdated.

        A request may arrive late, forwarded by a control host that was
        suspended. A request that names a grant of the current term was sent
        after that grant. Requests without such a grant, or with an older one
        than recorded, are ignored.
        """
        now_s = self._clock.monotonic()
        holders = self._holders_by_host
        previous = holders.get(request.holder)
        min_grant = 1 if previous is None else previous.last_grant
        term, number = request.last_grant
        if term != self._log.term or number < min_grant:
            return
        if request.holder not in holders and len(holders) >= MAX_HOLDERS:
            for host, holder in tuple(holders.items()):
                if now_s - holder.renewed_at_s > HOLDER_RETENTION_S:
                    holders.pop(host)
            if len(holders) >= MAX_HOLDERS:
                return
        holders[request.holder] = _Holder(
            request.role,
            request.revision,
            now_s,
            number,
        )

    async def _propose_initial(self) -> None:
        document = self._initial or {}
        change = Change(
            INITIAL_CHANGE_ID,
            0,
            difference({}, document),
            AUTHOR_INITIAL,
        )
        while self.machine.accepted.revision == 0:
            if self._log.is_leader:
                try:
                    await self._propose_if_empty(change)
                except ReplicatedLogError as error:
                    log_event('configuration.initial_failed', error=str(error))
            await asyncio.sleep(INITIAL_PROPOSAL_RETRY_S)

    async def _propose_if_empty(self, change: Change) -> None:
        current = await self.read()
        if current.revision == 0:
            await self.change(change)
