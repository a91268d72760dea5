"""Selection of the entry host that owns a service; performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from hornbeamline.batching._types import EntryHost
from hornbeamline.batching.const import (
    MIN_OWNER_CAPACITY_SHARE,
    SILENT_OWNER_S,
)
from hornbeamline.helpers.clock import Clock
from hornbeamline.helpers.rendezvous import rendezvous_order


class _OwnState(NamedTuple):
    """State of this host that the order of owners depends on."""

    is_kept: bool
    is_leaving: bool
    published_services: frozenset[str]
    services: frozenset[str]


class _CachedOwners(NamedTuple):
    """Owners of a service, with the inputs that they were derived from."""

    hosts: Mapping[str, EntryHost]
    own_state: _OwnState
    owners: list[str]


class Ownership:
    """Choose the owner of a service consistently with all other hosts.

    A service without an owner is assigned by rendezvous hashing, which
    gives the same order on all hosts. An owner keeps its service until it
    leaves or is lost, even if a host appears that precedes it in this
    order, since a new owner does not know what the targets hold and
    compute. A network partition can produce two owners; then all hosts use
    the first in the order, and the other one soon becomes idle. Hosts not
    heard from recently come last.

    The queue of a service is one event loop, and each stage of a request
    waits for it twice. Where hosts differ in processor capacity, the small
    ones own services only if there is no other host. Hosts without a control
    process come before those with one, and hosts that own or are assigned
    another service after those that do not.
    """

    def __init__(
        self,
        name: str,
        hosts: Callable[[], Mapping[str, EntryHost]],
        keeps: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Start with no cached owners.

        `hosts` returns the other present hosts, as the same mapping object
        until something changes. `keeps` tells whether this host remains
        the owner of a service.
        """
        self.hosts = hosts
        # Set on shutdown, when other hosts take over all services.
        self.is_leaving = False
        # Whether this host keeps a service for a reason other than pieces,
        # such as the rate limits of its targets.
        self.other_reason_to_keep: Callable[[str], bool] = _keeps_nothing
        # Processor capacity of this host in cores; 0 if unknown.
        self.processor_cores: float = 0
        # Whether a control process runs on this host.
        self.runs_control = False
        # Configured services, the same on hosts with the same document.
        self.services: frozenset[str] = frozenset()
        # Services that other hosts were told that this host owns. Using them
        # for this host as well gives all hosts the same order.
        self.published_services: frozenset[str] = frozenset()
        self._name = name
        self._keeps = keeps
        self._clock = clock
        # Until when owners that did not answer are skipped.
        self._silent_until_by_owner: dict[str, float] = {}
        self._cached_owners_by_service: dict[str, _CachedOwners] = {}

    def owns(self, service: str) -> bool:
        """Return whether this host owns a service."""
        return self.owners(service)[0] == self._name

    def owners(self, service: str) -> list[str]:
        """Return the owner, followed by its successors in order."""
        present = self.hosts()
        is_kept = self._keeps(service) or self.other_reason_to_keep(service)
        own_state = _OwnState(
            is_kept, self.is_leaving, self.published_services, self.services
        )
        cached = self._cached_owners_by_service.get(service)
        if (
            cached is not None
            and cached.hosts is present
            and cached.own_state == own_state
        ):
            return cached.owners
        owners = self._ordered(service, present, is_kept)
        self._cached_owners_by_service[service] = _CachedOwners(
            present,
            own_state,
            owners,
        )
        return owners

    def note_silent(self, owner: str) -> None:
        """Skip an owner for `SILENT_OWNER_S`."""
        now = self._clock.monotonic()
        self._silent_until_by_owner[owner] = now + SILENT_OWNER_S

    def is_silent(self, owner: str) -> bool:
        """Return whether an owner is currently skipped."""
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
            hosts[self._name] = EntryHost(
                '',
                self.published_services.union(kept),
                processor_cores=self.processor_cores,
                runs_control=self.runs_control,
            )
        min_cores = _min_owner_cores(hosts.values())
        assigned = self._assigned_before(service) if min_cores else set()

        def precedence(name: str) -> tuple[bool, ...]:
            host = hosts[name]
            return (
                host.is_suspected,
                service not in host.owned_services,
                host.processor_cores < min_cores,
                bool(min_cores) and host.runs_control,
                bool(min_cores and host.owned_services - {service})
                or name in assigned,
            )

        return sorted(rendezvous_order(service, hosts), key=precedence)

    def _assigned_before(self, service: str) -> set[str]:
        """Return the owners of the services that precede one by name.

        Without owners yet, as after a start, all hosts spread the services
        in the same way.
        """
        return {
            self.owners(other)[0] for other in self.services if other < service
        }


def _min_owner_cores(hosts: Iterable[EntryHost]) -> float:
    """Return the capacity in cores below which hosts are small.

    0 if the hosts do not differ enough, or if their capacity is unknown.
    """
    cores = [host.processor_cores for host in hosts]
    threshold = max(cores, default=0) * MIN_OWNER_CAPACITY_SHARE
    return threshold if min(cores, default=0) < threshold else 0


def _keeps_nothing(_service: str) -> bool:
    return False
