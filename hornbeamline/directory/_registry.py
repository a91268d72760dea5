"""Control process's side: who enrolled, and pushes of the document."""

from __future__ import annotations

from typing import NamedTuple

from hornbeamline.directory._messages import (
    DocumentPush,
    Enrol,
    EnrolReply,
    ListedTargets,
    Presence,
)
from hornbeamline.directory.const import (
    PRESENCE_SILENCE_S,
    ROLE_CONTROL,
)
from hornbeamline.documents import DocumentMachine
from hornbeamline.gateway import TargetDirectory
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering
from hornbeamline.replog import ControlHost
from hornbeamline.telemetry import log_event


class _Seen(NamedTuple):
    presence: Presence
    at: float


class DirectoryRegistry:
    """Processes that enrolled with this control process."""

    def __init__(
        self,
        peering: Peering,
        machine: DocumentMachine,
        own: Presence,
        targets: TargetDirectory,
        clock: Clock,
    ) -> None:
        """Take the network, document, own presence and list of targets."""
        self._peering = peering
        self._machine = machine
        self._own = own
        self._targets = targets
        self._clock = clock
        self._seen_by_name: dict[str, _Seen] = {}
        machine.on_change = self._push
        peering.on(Enrol, self._on_enrol)

    def present(self) -> list[Presence]:
        """Return this process and all that enrolled recently."""
        oldest = self._clock.monotonic() - PRESENCE_SILENCE_S
        for name, entry in tuple(self._seen_by_name.items()):
            if entry.at < oldest:
                self._seen_by_name.pop(name)
                log_event('directory.lost', peer=name, role=entry.presence.role)
        return [
            self._own,
            *(seen.presence for seen in self._seen_by_name.values()),
        ]

    def controls(self) -> dict[str, ControlHost]:
        """Return the present control processes by name."""
        return {
            presence.name: ControlHost(presence.address, presence.is_durable)
            for presence in self.present()
            if presence.role == ROLE_CONTROL
        }

    async def _on_enrol(self, _sender: str, request: Enrol) -> EnrolReply:
        presence = request.presence
        if presence.name not in self._seen_by_name:
            log_event(
                'directory.enrolled',
                peer=presence.name,
                role=presence.role,
            )
        self._peering.add_peer(presence.name, presence.address)
        self._seen_by_name[presence.name] = _Seen(
            presence,
            self._clock.monotonic(),
        )
        present = self.present() if request.is_full else []
        document = self._machine.current
        is_newer = document.number > request.document_number
        return EnrolReply(
            present,
            document if is_newer else None,
            self._listed(request) if request.is_full else None,
            [self._age_s(presence.name) for presence in present],
        )

    def _age_s(self, name: str) -> float:
        seen = self._seen_by_name.get(name)
        return 0 if seen is None else self._clock.monotonic() - seen.at

    def _listed(self, request: Enrol) -> ListedTargets | None:
        targets = self._targets
        if not targets.is_known:
            return None
        is_same = request.list_digest == targets.digest
        return ListedTargets(
            targets.digest,
            targets.age_s,
            None if is_same else targets.targets(),
        )

    def _push(self) -> None:
        document = self._machine.current
        log_event('documents.applied', number=document.number)
        for presence in self.present():
            if presence.role != ROLE_CONTROL:
                self._peering.send(presence.name, DocumentPush(document))
