"""Member side: enrols with all known control processes."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Callable, Mapping, Sequence

from hornbeamline.core import TaskSet
from hornbeamline.directory._evacuation_feed import EvacuationFeed
from hornbeamline.directory._loads import ProcessLoad
from hornbeamline.directory._messages import (
    DocumentPush,
    Enrol,
    EnrolReply,
    ListedTargets,
    ListRead,
    Presence,
    PresentChanges,
)
from hornbeamline.directory._reachability import Reachability
from hornbeamline.directory._view import PresentView
from hornbeamline.directory.const import (
    ENROL_INTERVAL_S,
    ENROL_TIMEOUT_S,
    ROLE_CONTROL,
)
from hornbeamline.documents import StoredDocument
from hornbeamline.exceptions import PeeringError
from hornbeamline.gateway import TargetDirectory
from hornbeamline.helpers.clock import Clock
from hornbeamline.peering import Peering
from hornbeamline.telemetry import log_event


class DirectoryMember:
    """Service that enrols this process with the control processes.

    Their replies name the other present processes. The newest document
    comes from replies and from pushes: control processes send committed
    documents only, so the one with the highest number is in force.
    """

    def __init__(
        self,
        peering: Peering,
        clock: Clock,
        controls_by_name: Mapping[str, str],
        describe: Callable[[], Presence],
        targets: TargetDirectory,
        load: Callable[[], ProcessLoad] = ProcessLoad,
    ) -> None:
        """Register the message handlers.

        `controls_by_name` has the addresses of the control processes known
        at start. `describe` and `load` return the presence and the load of
        this process. `targets` receives the lists of targets that control
        processes have read.
        """
        self._peering = peering
        self._clock = clock
        self._controls_by_name = dict(controls_by_name)
        self._describe = describe
        self._load = load
        self._targets = targets
        self.view = PresentView(clock)
        self._tasks = TaskSet()
        self._tasks_by_control: dict[str, asyncio.Task[None]] = {}
        self._reachability = Reachability(self.view)
        self.document = StoredDocument(0, b'')
        self.document_received_at = clock.monotonic()
        self.on_document: Callable[[StoredDocument], None] | None = None
        self.evacuations = EvacuationFeed(peering)
        # Returns control processes known from an earlier run of this process.
        self.remembered_controls: Callable[[], Mapping[str, str]] = dict
        self.on_present: Callable[[Sequence[Presence]], None] | None = None
        # Set when a control process has read the list of targets or pushes the
        # first document: this process then enrols immediately.
        self._has_news_by_control: dict[str, asyncio.Event] = {}
        peering.on(DocumentPush, self._on_push)
        peering.on(ListRead, self._enrol_now)

    async def start(self) -> None:
        """Start to enrol with the known control processes."""
        self.add_controls(self._controls_by_name)
        self.add_controls(self.remembered_controls())

    async def stop(self) -> None:
        """Cancel all enrolments."""
        await self._tasks.cancel_all()

    def add_controls(self, controls_by_name: Mapping[str, str]) -> None:
        """Enrol with further control processes."""
        for name, address in controls_by_name.items():
            self._reachability.remove_substitute(name)
            self._enrol_with(name, address)

    def add_substitutes(self, controls_by_name: Mapping[str, str]) -> None:
        """Enrol with these control processes while no other one answers."""
        for name, address in controls_by_name.items():
            if name not in self._controls_by_name:
                self._reachability.add_substitute(name, address, 1)

    def add_present_control(self, presence: Presence) -> None:
        """Enrol with a control process that enrols here, if it is needed.

        One without a disk may be the only one that knows this process, so
        it is asked as long as too few others answer.
        """
        self._add_reported(presence)
        is_asked = presence.name in self._tasks_by_control
        if presence.role == ROLE_CONTROL and not is_asked:
            self._reachability.add_substitute(presence.name, presence.address)
            self._update_substitutes()

    def present(self) -> Sequence[Presence]:
        """Return the processes that were heard from recently.

        The same object is returned until something changes.
        """
        return self.view.present()

    def answering_controls(self) -> list[str]:
        """Return the control processes that answered the last enrolment."""
        return sorted(self._reachability.answering)

    def known_controls(self) -> list[str]:
        """Return the control processes with which this process enrols."""
        return sorted(self._tasks_by_control)

    def is_suspected(self, name: str) -> bool:
        """Return whether a process is reported, but no longer heard from."""
        return self.view.is_suspected(name)

    def _enrol_with(self, name: str, address: str) -> None:
        if name in self._tasks_by_control or name == self._describe().name:
            return
        self._peering.add_peer(name, address)
        self._has_news_by_control[name] = asyncio.Event()
        self._tasks_by_control[name] = self._tasks.keep_running(
            functools.partial(self._enrol_forever, name),
            f'directory {name}',
        )

    async def _enrol_forever(self, control: str) -> None:
        has_news = self._has_news_by_control[control]
        while True:
            began = self._clock.monotonic()
            is_full = self._is_source(control) or has_news.is_set()
            has_news.clear()
            error = ''
            try:
                await self._enrol(control, is_full=is_full)
            except PeeringError as failure:
                error = str(failure)
            if self._reachability.record(control, error):
                self._update_substitutes()
            spent_s = self._clock.monotonic() - began
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(ENROL_INTERVAL_S - spent_s, 0)):
                    await has_news.wait()

    async def _enrol(self, control: str, *, is_full: bool) -> None:
        """Enrol once and apply the reply; raises `PeeringError`."""
        began = self._clock.monotonic()
        # The age of the list is counted on the clock of `targets`.
        list_requested_at = self._targets.now()
        reply = await self._peering.call(
            control,
            Enrol(
                self._describe(),
                self.document.number,
                is_full,
                self._targets.digest,
                self._load_or_none(),
                self.view.position_at(control),
                self.evacuations.state.number,
            ),
            EnrolReply,
            ENROL_TIMEOUT_S,
        )
        if reply.changes is not None:
            self._apply_changes(control, reply.changes, began)
        # Before the first document, with which this host starts to serve.
        self.evacuations.apply(reply.evacuations)
        if reply.document is not None:
            self._apply_document(reply.document, 'enrol', control)
        self._apply_listed(reply.listed, list_requested_at)

    def _load_or_none(self) -> ProcessLoad:
        """Return the load of this process, or none if that fails.

        A process must stay in touch with the control processes, whatever
        is wrong with its load figures: a later document may correct them.
        """
        try:
            return self._load()
        except Exception as error:
            log_event('directory.load_failed', error=repr(error))
            return ProcessLoad()

    def _is_source(self, control: str) -> bool:
        return self._reachability.is_source(self._describe().name, control)

    def _add_reported(self, presence: Presence) -> None:
        if self._reachability.is_needed(presence, self._tasks_by_control):
            self._reachability.remove_substitute(presence.name)
            self._enrol_with(presence.name, presence.address)

    def _update_substitutes(self) -> None:
        """Enrol with substitutes while too few others can be reached."""
        reachability = self._reachability
        needed = reachability.needed_substitutes(self._tasks_by_control)
        for name, address in needed.items():
            self._enrol_with(name, address)
        for unneeded in reachability.unneeded_substitutes():
            task = self._tasks_by_control.pop(unneeded, None)
            if task is None:
                continue
            task.cancel()
            self._has_news_by_control.pop(unneeded)
            log_event('directory.control_not_needed', control=unneeded)
            if not reachability.forget(unneeded):
                # A link to an address without a process dials it for good.
                self._peering.remove_peer(unneeded)

    def _apply_changes(
        self,
        control: str,
        changes: PresentChanges,
        requested_at: float,
    ) -> None:
        self.view.apply_changes(control, changes, requested_at)
        for presence in changes.changed:
            self._add_reported(presence)
        if self.on_present is not None:
            self.on_present(self.present())

    def _apply_listed(
        self,
        listed: ListedTargets | None,
        requested_at: float,
    ) -> None:
        """Apply a list read at `requested_at` minus its `age_s`, or later."""
        if listed is None:
            return
        read_at = requested_at - listed.age_s
        if self._targets.confirm(listed.digest, read_at):
            return
        if listed.targets is not None:
            self._targets.replace_list(listed.targets, read_at)

    async def _on_push(self, sender: str, push: DocumentPush) -> None:
        if self.document.number:
            self._apply_document(push.document, 'push', sender)
        else:
            # The first document is taken from a reply, which has the
            # evacuations as well.
            await self._enrol_now(sender, push)

    async def _enrol_now(
        self, control: str, _news: ListRead | DocumentPush
    ) -> None:
        has_news = self._has_news_by_control.get(control)
        if has_news is not None:
            has_news.set()

    def _apply_document(
        self, document: StoredDocument, source: str, control: str
    ) -> None:
        if document.number <= self.document.number:
            return
        log_event(
            'documents.in_force',
            number=document.number,
            previous=self.document.number,
            source=source,
            control=control,
        )
        self.document = document
        self.document_received_at = self._clock.monotonic()
        if self.on_document is not None:
            self.on_document(document)
