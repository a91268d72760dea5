"""Which control processes answer, and which to ask in place of lost ones."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from hornbeamline.directory._messages import Presence
from hornbeamline.directory._view import PresentView
from hornbeamline.directory.const import PRESENT_SOURCES, ROLE_CONTROL
from hornbeamline.helpers.rendezvous import rendezvous_order
from hornbeamline.telemetry import log_event


class _Substitute(NamedTuple):
    """Control process that is asked only in place of lost ones."""

    address: str
    # It is asked while fewer durable control processes can be reached.
    needed_below: int


class Reachability:
    """Control processes that answer or not, and their substitutes."""

    def __init__(self, view: PresentView) -> None:
        """Initialize with the view that knows which of them have a disk."""
        self._view = view
        # Control processes that have answered the last enrolment.
        self.answering: set[str] = set()
        # Control processes that do not answer, for which this was logged.
        self._unreachable: set[str] = set()
        self._substitutes_by_name: dict[str, _Substitute] = {}

    def record(self, control: str, error: str) -> bool:
        """Record whether an enrolment was answered; return if it is news."""
        if control in (self._unreachable if error else self.answering):
            return False
        if not error:
            self.answering.add(control)
            self._unreachable.discard(control)
            log_event('directory.control_regained', control=control)
            return True
        event = 'directory.control_unreachable'
        if control in self.answering:
            event = 'directory.control_lost'
        self.answering.discard(control)
        self._unreachable.add(control)
        log_event(event, control=control, error=error)
        return True

    def forget(self, control: str) -> bool:
        """Forget a control process; return whether it answered."""
        answered = control in self.answering
        self.answering.discard(control)
        self._unreachable.discard(control)
        return answered

    def is_source(self, own_name: str, control: str) -> bool:
        """Return whether to request a full reply from a control process.

        All are asked until enough durable ones answer.
        """
        durable = [
            name for name in self.answering if self._view.may_be_durable(name)
        ]
        if len(durable) < PRESENT_SOURCES:
            return True
        sources = rendezvous_order(own_name, durable)
        return control in sources[:PRESENT_SOURCES]

    def is_needed(self, presence: Presence, asked: Collection[str]) -> bool:
        """Return whether to enrol with a newly reported process.

        Control processes without a disk hold nothing that the others lack,
        so they are used only if there are too few durable ones among those
        that are `asked`.
        """
        if presence.role != ROLE_CONTROL:
            return False
        if presence.is_durable:
            return True
        return len(self._durable(asked)) < PRESENT_SOURCES

    def add_substitute(
        self, name: str, address: str, needed_below: int = PRESENT_SOURCES
    ) -> None:
        """Add a control process to ask while too few others are reached."""
        self._substitutes_by_name[name] = _Substitute(address, needed_below)

    def remove_substitute(self, name: str) -> None:
        """Treat a control process as one that is always asked."""
        self._substitutes_by_name.pop(name, None)

    def needed_substitutes(self, asked: Iterable[str]) -> Mapping[str, str]:
        """Return the addresses of the substitutes to ask now, by name."""
        reachable = len(self._durable(set(asked) - self._unreachable))
        return {
            name: substitute.address
            for name, substitute in self._substitutes_by_name.items()
            if reachable < substitute.needed_below
        }

    def unneeded_substitutes(self) -> list[str]:
        """Return the substitutes not to ask, since enough others answer."""
        answering = len(self._durable(self.answering))
        return [
            name
            for name, substitute in self._substitutes_by_name.items()
            if answering >= substitute.needed_below
        ]

    def _durable(self, names: Iterable[str]) -> list[str]:
        """Return those that may have a disk and are not substitutes."""
        return [
            name
            for name in names
            if name not in self._substitutes_by_name
            and self._view.may_be_durable(name)
        ]
