"""Every process's side: enrols with all control processes it knows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from hornbeamline.core import TaskSet
from hornbeamline.directory._messages import (
    DocumentPush,
    Enrol,
    EnrolReply,
    ListedTargets,
    Presence,
)
from hornbeamline.directory.const import (
    ENROL_INTERVAL_S,
    ENROL_TIMEOUT_S,
    PRESENCE_SILENCE_S,
    PRESENT_SOURCES,
    QUIET_S,
    ROLE_CONTROL,
)
from hornbeamline.documents import StoredDocument
from hornbeamline.exceptions import PeeringError
from hornbeamline.gateway import TargetDirectory
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.rendezvous import rendezvous_order
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event


class _Seen(NamedTuple):
    presence: Presence
    # When a control process told of it last.
    at: float
    # When a control process heard of it last.
    heard_at: float

    @property
    def is_quiet(self) -> bool:
        """Return whether control processes stopped hearing of it."""
        return self.at - self.heard_at > QUIET_S


class DirectoryMember:
    """Service that tells the control processes about this process.

    It learns in return which other processes are present and takes the
    newest document, from replies and from pushes. Every control process
    hands out committed documents only, so the highest number counts.
    """

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        controls_by_name: Mapping[str, str],
        describe: Callable[[], Presence],
        targets: TargetDirectory,
    ) -> None:
        """Take the network and the control processes known at start.

        `describe` returns the presence of this process; `targets` takes
        the lists that control processes have read.
        """
        self._peering = peering
        self._clock = clock
        self._controls_by_name = dict(controls_by_name)
        self._describe = describe
        self._targets = targets
        self._seen_by_name: dict[str, _Seen] = {}
        self._tasks = TaskSet()
        self._tasks_by_control: dict[str, asyncio.Task[None]] = {}
        self._answering: set[str] = set()
        self.document = StoredDocument(0, b'')
        self.document_at = clock.monotonic()
        self.on_document: Callable[[StoredDocument], None] | None = None
        self.on_present: Callable[[Sequence[Presence]], None] | None = None
        peering.on(DocumentPush, self._on_push)

    async def start(self) -> None:
        """Begin to enrol."""
        for name, address in tuple(self._controls_by_name.items()):
            self._follow(name, address)

    async def stop(self) -> None:
        """Stop enrolling."""
        await self._tasks.cancel_all()

    def add_controls(self, controls_by_name: Mapping[str, str]) -> None:
        """Enrol with further control processes."""
        for name, address in controls_by_name.items():
            self._follow(name, address)

    def present(self) -> list[Presence]:
        """Return the processes that were heard of recently."""
        oldest = self._clock.monotonic() - PRESENCE_SILENCE_S
        return [
            seen.presence
            for seen in self._seen_by_name.values()
            if seen.at >= oldest
        ]

    def is_quiet(self, name: str) -> bool:
        """Return whether a process is listed, but no longer heard of."""
        seen = self._seen_by_name.get(name)
        return seen is not None and seen.is_quiet

    def _follow(self, name: str, address: str) -> None:
        if name in self._tasks_by_control or name == self._describe().name:
            return
        self._peering.add_peer(name, address)
        self._tasks_by_control[name] = self._tasks.spawn(
            self._enrol_forever(name),
            f'directory {name}',
        )

    async def _enrol_forever(self, control: str) -> None:
        while True:
            began = self._clock.monotonic()
            asked_at = self._targets.now()
            try:
                reply = await self._peering.call(
                    control,
                    Enrol(
                        self._describe(),
                        self.document.number,
                        self._is_source(control),
                        self._targets.digest,
                    ),
                    EnrolReply,
                    ENROL_TIMEOUT_S,
                )
            except PeeringError as error:
                self._note_answer(control, str(error))
            else:
                self._note_answer(control, '')
                self._take_reply(reply, began)
                self._take_listed(reply.listed, asked_at)
            spent_s = self._clock.monotonic() - began
            await asyncio.sleep(max(ENROL_INTERVAL_S - spent_s, 0))

    def _is_source(self, control: str) -> bool:
        """Return whether a control process is asked for everything.

        Until enough of them answer, all are asked.
        """
        durable = [
            name for name in self._answering if self._may_be_durable(name)
        ]
        if len(durable) < PRESENT_SOURCES:
            return True
        sources = rendezvous_order(self._describe().name, durable)
        return control in sources[:PRESENT_SOURCES]

    def _may_be_durable(self, control: str) -> bool:
        """Return whether a control process may have a disk.

        Only those read the list of targets.
        """
        seen = self._seen_by_name.get(control)
        return seen is None or seen.presence.is_durable

    def _note_answer(self, control: str, error: str) -> None:
        if not error and control not in self._answering:
            self._answering.add(control)
            log_event('directory.control_regained', control=control)
        elif error and control in self._answering:
            self._answering.discard(control)
            log_event('directory.control_lost', control=control, error=error)

    def _take_reply(self, reply: EnrolReply, asked_at: float) -> None:
        now = self._clock.monotonic()
        for presence, age_s in zip(reply.present, reply.ages_s, strict=True):
            told = _Seen(presence, now, asked_at - age_s)
            held = self._seen_by_name.get(presence.name)
            if held is not None and held.heard_at > told.heard_at:
                # Another control process has heard newer things of it.
                told = held._replace(at=now)
            self._seen_by_name[presence.name] = told
            if presence.role == ROLE_CONTROL:
                self._follow(presence.name, presence.address)
        if reply.present and self.on_present is not None:
            self.on_present(self.present())
        if reply.document is not None:
            self._take_document(reply.document, 'enrol')

    def _take_listed(
        self,
        listed: ListedTargets | None,
        asked_at: float,
    ) -> None:
        """Take a list that was read `age_s` before `asked_at` or later."""
        if listed is None:
            return
        read_at = asked_at - listed.age_s
        if self._targets.confirm(listed.digest, read_at):
            return
        if listed.targets is not None:
            self._targets.take_list(listed.targets, read_at)

    async def _on_push(self, _sender: str, push: DocumentPush) -> None:
        self._take_document(push.document, 'push')

    def _take_document(self, document: StoredDocument, source: str) -> None:
        if document.number <= self.document.number:
            return
        log_event(
            'documents.in_force',
            number=document.number,
            previous=self.document.number,
            source=source,
        )
        self.document = document
        self.document_at = self._clock.monotonic()
        if self.on_document is not None:
            self.on_document(document)
