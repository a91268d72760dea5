"""Other entry hosts, according to the directory."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hornbeamline.batching import EntryHost
from hornbeamline.directory import DirectoryMember, Presence
from hornbeamline.directory.const import ROLE_CONTROL, ROLE_ENTRY


class OtherHosts:
    """Maps names to entry hosts; rebuilt only when the directory changes.

    The mapping is read several times per request and has hundreds of
    entries.
    """

    def __init__(
        self, member: DirectoryMember, own_name: str, own_address: str
    ) -> None:
        """Initialize with the directory, name and address of this process."""
        self._member = member
        self._own_name = own_name
        self._own_ip = _ip_of(own_address)
        # Whether a control process runs on this host.
        self.runs_control = False
        self._present: Sequence[Presence] = ()
        self._suspected: frozenset[str] = frozenset()
        self._hosts_by_name: Mapping[str, EntryHost] = {}

    def __call__(self) -> Mapping[str, EntryHost]:
        """Return the present hosts except this one and those stopping."""
        present = self._member.present()
        suspected = self._member.view.suspected()
        if present is not self._present or suspected != self._suspected:
            self._present = present
            control_ips = {
                _ip_of(presence.address)
                for presence in present
                if presence.role == ROLE_CONTROL
            }
            self._suspected = suspected
            self.runs_control = self._own_ip in control_ips
            self._hosts_by_name = {
                presence.name: EntryHost(
                    presence.address,
                    frozenset(presence.owned_services),
                    presence.name in suspected,
                    presence.processor_cores,
                    _ip_of(presence.address) in control_ips,
                )
                for presence in present
                if presence.role == ROLE_ENTRY
                and not presence.is_leaving
                and presence.name != self._own_name
            }
        return self._hosts_by_name


def _ip_of(address: str) -> str:
    return address.rpartition(':')[0]
