"""Which entry host owns the queue of a service; needs no network."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from hornbeamline.batching._types import EntryHost
from hornbeamline.batching.const import SILENT_OWNER_S
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.rendezvous import rendezvous_order


class _Order(NamedTuple):
    """Owners of a service, and what they were derived from."""

    hosts: Mapping[str, EntryHost]
    is_kept: bool
    is_leaving: bool
    owners: list[str]


class Ownership:
    """Chooses the owner of a service as all other hosts do.

    A service without an owner goes to the first host of an order that all
    hosts compute alike. An owner keeps it until it leaves or is lost, also
    when a host comes before it in that order: the next owner does not know
    what the targets hold and work on. Of two owners, which hosts make that
    do not see each other, all use the first; the other one is soon idle.
    Hosts that are quiet come last.
    """

    def __init__(
        self,
        name: str,
        hosts: Callable[[], Mapping[str, EntryHost]],
        keeps: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Take this host's name, the others, and what this host keeps.

        `hosts` returns the same mapping for as long as nothing changes.
        """
        self.hosts = hosts
        # The process stops: other hosts own all services from now on.
        self.is_leaving = False
        # Services that this host keeps for another reason than pieces.
        self.also_keeps: Callable[[str], bool] = _keeps_nothing
        self._name = name
        self._keeps = keeps
        self._clock = clock
        # Until when owners that did not answer are passed over.
        self._silent_until_by_owner: dict[str, float] = {}
        self._orders_by_service: dict[str, _Order] = {}

    def owns(self, service: str) -> bool:
        """Return whether this host owns a service."""
        return self.owners(service)[0] == self._name

    def owners(self, service: str) -> list[str]:
        """Return the owner and those that follow when it is lost."""
        present = self.hosts()
        is_kept = self._keeps(service) or self.also_keeps(service)
        known = self._orders_by_service.get(service)
        if (
            known is not None
            and known.hosts is present
            and known.is_kept == is_kept
            and known.is_leaving == self.is_leaving
        ):
            return known.owners
        owners = self._ordered(service, present, is_kept)
        self._orders_by_service[service] = _Order(
            present,
            is_kept,
            self.is_leaving,
            owners,
        )
        return owners

    def note_silent(self, owner: str) -> None:
        """Pass over an owner for a while."""
        now = self._clock.monotonic()
        self._silent_until_by_owner[owner] = now + SILENT_OWNER_S

    def is_silent(self, owner: str) -> bool:
        """Return whether an owner is passed over."""
        until = self._silent_until_by_owner.get(owner, 0)
        return self._clock.monotonic() < until

    def _ordered(
        self,
        service: str,
        present: Mapping[str, EntryHost],
        is_kept: bool,
    ) -> list[str]:
        hosts = dict(present)
        if not (self.is_leaving and hosts):
            kept = {service} if is_kept else set()
            hosts[self._name] = EntryHost('', frozenset(kept))

        def precedence(name: str) -> tuple[bool, bool]:
            host = hosts[name]
            return (host.is_quiet, service not in host.owned_services)

        return sorted(rendezvous_order(service, hosts), key=precedence)


def _keeps_nothing(_service: str) -> bool:
    return False
