"""Control-process side: enrolled processes and document pushes."""

from __future__ import annotations

import asyncio
import math
import secrets
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from hornbeamline.directory._loads import ProcessLoad, subtract_load, sum_loads
from hornbeamline.directory._messages import (
    DocumentPush,
    Enrol,
    EnrolReply,
    EvacuationsPush,
    ListedTargets,
    ListRead,
    Position,
    Presence,
    PresentChanges,
)
from hornbeamline.directory.const import (
    OVERDUE_S,
    PRESENCE_SILENCE_S,
    ROLE_CONTROL,
    ROLE_ENTRY,
    SUM_INTERVAL_S,
)
from hornbeamline.documents import DocumentMachine, StoredDocument
from hornbeamline.evacuations import EvacuationMachine, EvacuationState
from hornbeamline.gateway import TargetDirectory
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering
from hornbeamline.replog import ControlHost
from hornbeamline.telemetry import log_event

_INCARNATION_BITS: Final = 63
# Removals that are remembered. A process whose position is older gets all
# present processes instead of the changes.
_MAX_REMOVALS: Final = 1024


class _Enrolment(NamedTuple):
    presence: Presence
    load: ProcessLoad
    enrolled_at: float
    # Number of the change that last modified the presence.
    change: int


class DirectoryRegistry:
    """Registry of the processes that enrolled with this control process."""

    def __init__(
        self,
        peering: Peering,
        machine: DocumentMachine,
        own: Presence,
        targets: TargetDirectory,
        clock: Clock,
        evacuations: EvacuationMachine | None = None,
    ) -> None:
        """Register the message handlers and subscribe to new documents.

        `own` is the presence of this control process. Without `evacuations`,
        no data centre is evacuated.
        """
        self._peering = peering
        self._machine = machine
        self._own = own
        self._targets = targets
        self._clock = clock
        self._enrolments_by_name: dict[str, _Enrolment] = {}
        self._incarnation = secrets.randbits(_INCARNATION_BITS)
        self._change_count = 0
        # Number of the change that removed a process, by its name.
        self._removals_by_name: dict[str, int] = {}
        self._summary = _Summary()
        self._push_pending = False
        # Processes that are told no document before it is confirmed.
        self._withheld_from: set[str] = set()
        # Called when a control process enrols for the first time.
        self.on_control: Callable[[Presence], None] | None = None
        # Returns the control processes that answer this one. Those with a
        # disk do not enrol with one that has none, so that it could not name
        # them to a process that knows no other.
        self.answering_controls: Callable[[], Iterable[Presence]] = tuple
        machine.on_change = self._schedule_push
        self._evacuations = evacuations or EvacuationMachine()
        self._evacuations.on_change = self._schedule_evacuations
        peering.on(Enrol, self._on_enrol)

    def present(self) -> list[Presence]:
        """Return this process and those that enrolled recently."""
        self._remove_silent()
        return [
            self._own,
            *(
                enrolment.presence
                for enrolment in self._enrolments_by_name.values()
            ),
        ]

    def controls(self) -> dict[str, ControlHost]:
        """Return the present control processes by name."""
        return {
            presence.name: ControlHost(presence.address, presence.is_durable)
            for presence in self.present()
            if presence.role == ROLE_CONTROL
        }

    def entry_names(self) -> list[str]:
        """Return the names of the present entry processes."""
        return [
            presence.name
            for presence in self.present()
            if presence.role == ROLE_ENTRY
        ]

    def announce_list(self) -> None:
        """Tell other durable control processes that the list was read."""
        for name, host in self.controls().items():
            if host.is_durable and name != self._own.name:
                self._peering.send(name, ListRead())

    async def _on_enrol(self, _sender: str, request: Enrol) -> EnrolReply:
        self._record(request)
        document = self._newer_document(request)
        evacuations = self._newer_evacuations(request)
        if not request.is_full:
            return EnrolReply(document, evacuations=evacuations)
        return EnrolReply(
            document,
            self._listed_targets(request),
            self._changes_since(request),
            evacuations,
        )

    def _newer_evacuations(self, request: Enrol) -> EvacuationState | None:
        """Return the evacuations if the sender should replace its own.

        A process without a document gets them together with one, under the
        same condition.
        """
        state = self._evacuations.current
        if state.number <= request.evacuation_number:
            return None
        if request.document_number or self._evacuations.is_confirmed():
            return state
        return None

    def _newer_document(self, request: Enrol) -> StoredDocument | None:
        """Return the document if the sender should replace its own.

        A process without a document gets only one that is confirmed: it
        would obey an overtaken one, whereas it refuses requests as long as
        it has none.
        """
        document = self._machine.current
        if document.number <= request.document_number:
            return None
        if request.document_number or self._machine.is_confirmed():
            return document
        if request.presence.name not in self._withheld_from:
            self._withheld_from.add(request.presence.name)
            log_event(
                'documents.withheld',
                peer=request.presence.name,
                number=document.number,
            )
        return None

    def _record(self, request: Enrol) -> None:
        presence = request.presence
        known = self._enrolments_by_name.get(presence.name)
        if known is None:
            log_event(
                'directory.enrolled',
                peer=presence.name,
                role=presence.role,
            )
            if presence.role == ROLE_CONTROL and self.on_control is not None:
                self.on_control(presence)
        change = 0 if known is None else known.change
        if known is None or known.presence != presence:
            self._change_count += 1
            change = self._change_count
            self._removals_by_name.pop(presence.name, None)
            self._peering.add_peer(presence.name, presence.address)
        self._enrolments_by_name[presence.name] = _Enrolment(
            presence,
            request.load,
            self._clock.monotonic(),
            change,
        )

    def _remove_silent(self) -> None:
        oldest = self._clock.monotonic() - PRESENCE_SILENCE_S
        silent = [
            name
            for name, enrolment in self._enrolments_by_name.items()
            if enrolment.enrolled_at < oldest
        ]
        for lost in silent:
            enrolment = self._enrolments_by_name.pop(lost)
            self._change_count += 1
            self._removals_by_name[lost] = self._change_count
            log_event('directory.lost', peer=lost, role=enrolment.presence.role)
        while len(self._removals_by_name) > _MAX_REMOVALS:
            self._removals_by_name.pop(next(iter(self._removals_by_name)))

    def _changes_since(self, request: Enrol) -> PresentChanges:
        now = self._clock.monotonic()
        if now - self._summary.computed_at >= SUM_INTERVAL_S:
            self._remove_silent()
            self._summary = _Summary.of(self._enrolments_by_name, now)
        position = request.position
        is_whole = not self._can_send_delta(position)
        since = -1 if is_whole or position is None else position.changes
        changed = [
            enrolment
            for enrolment in self._enrolments_by_name.values()
            if enrolment.change > since
        ]
        ages_s = {
            enrolment.presence.name: now - enrolment.enrolled_at
            for enrolment in changed
        }
        for late in self._summary.overdue:
            overdue = self._enrolments_by_name.get(late)
            if overdue is not None:
                ages_s[late] = now - overdue.enrolled_at
        presences = [enrolment.presence for enrolment in changed]
        if is_whole:
            presences.append(self._own)
            presences.extend(
                control
                for control in self.answering_controls()
                if control.name not in self._enrolments_by_name
            )
        return PresentChanges(
            Position(self._incarnation, self._change_count),
            is_whole,
            presences,
            [
                name
                for name, change in self._removals_by_name.items()
                if change > since and not is_whole
            ],
            ages_s,
            self._summary.load_excluding(request.presence.name),
        )

    def _can_send_delta(self, position: Position | None) -> bool:
        """Return whether all changes since the position are remembered."""
        if position is None or position.incarnation != self._incarnation:
            return False
        if len(self._removals_by_name) < _MAX_REMOVALS:
            return True
        return position.changes >= min(self._removals_by_name.values())

    def _listed_targets(self, request: Enrol) -> ListedTargets | None:
        targets = self._targets
        if not targets.is_known:
            return None
        is_same = request.list_digest == targets.digest
        return ListedTargets(
            targets.digest,
            targets.age_s,
            None if is_same else targets.targets(),
        )

    def _schedule_push(self) -> None:
        """Schedule one push for all documents that are applied together.

        After the loss of all voters, a new leader applies its whole log at
        once; only the last document is pushed.
        """
        if self._push_pending:
            return
        self._push_pending = True
        asyncio.get_running_loop().call_soon(self._push)

    def _push(self) -> None:
        self._push_pending = False
        document = self._machine.current
        is_confirmed = self._machine.is_confirmed()
        log_event(
            'documents.applied', number=document.number, confirmed=is_confirmed
        )
        if not is_confirmed:
            # Processes that hold a document get this one when they enrol.
            return
        self._withheld_from.clear()
        for presence in self.present():
            if presence.role != ROLE_CONTROL:
                self._peering.send(presence.name, DocumentPush(document))

    def _schedule_evacuations(self) -> None:
        # An error of a push must not stop the log, which calls this.
        asyncio.get_running_loop().call_soon(self._push_evacuations)

    def _push_evacuations(self) -> None:
        state = self._evacuations.current
        is_confirmed = self._evacuations.is_confirmed()
        log_event(
            'evacuations.applied',
            number=state.number,
            evacuated=','.join(state.data_centres),
            confirmed=is_confirmed,
        )
        if not is_confirmed:
            # Processes get this state when they enrol.
            return
        for name in self.entry_names():
            self._peering.send(name, EvacuationsPush(state))


class _Summary(NamedTuple):
    """Aggregates over all processes, computed once for many replies."""

    computed_at: float = -math.inf
    load: ProcessLoad = ProcessLoad()
    load_by_name: dict[str, ProcessLoad] = {}
    # Processes that have missed an enrolment.
    overdue: tuple[str, ...] = ()

    @classmethod
    def of(
        cls, enrolments_by_name: dict[str, _Enrolment], now: float
    ) -> _Summary:
        """Compute the aggregates at the time `now`."""
        load_by_name = {
            name: enrolment.load
            for name, enrolment in enrolments_by_name.items()
            if enrolment.presence.role == ROLE_ENTRY
        }
        overdue = tuple(
            name
            for name, enrolment in enrolments_by_name.items()
            if now - enrolment.enrolled_at > OVERDUE_S
        )
        total = sum_loads(load_by_name.values())
        return cls(now, total, load_by_name, overdue)

    def load_excluding(self, name: str) -> ProcessLoad:
        """Return the load of all processes except one."""
        own = self.load_by_name.get(name)
        return self.load if own is None else subtract_load(self.load, own)
