"""State of the fleet's hosts as the leader sees it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from hornbeamline.configuration import Accepted, HolderStatus
from hornbeamline.inventory import HostRole
from hornbeamline.peering import Peering
from hornbeamline.replog import Members, ReplicatedLog

# Of a host table that does not name its roles.
DEFAULT_ROLES: Final = (HostRole.entry.value,)


def status_of(
    accepted: Accepted,
    holders: Iterable[HolderStatus],
    log: ReplicatedLog,
    peering: Peering,
) -> dict[str, Any]:
    """Return leader, voters and one line per host.

    A host of the inventory that never renewed with this leader has the
    revision None.
    """
    hosts = {
        name: _silent_host(name)
        for name, table in accepted.document.get('hosts_by_name', {}).items()
        if HostRole.entry.value in table.get('roles', DEFAULT_ROLES)
    }
    for holder in holders:
        hosts[holder.host] = _renewing_host(holder)
    return {
        'leader': log.leader,
        'term': log.term,
        'revision': accepted.revision,
        'digest': accepted.digest,
        'voters': _voters(log, peering),
        'hosts': [hosts[name] for name in sorted(hosts)],
    }


def _silent_host(name: str) -> dict[str, Any]:
    return {
        'host': name,
        'role': HostRole.entry.value,
        'revision': None,
        'lease_left_s': 0,
        'renewed_ago_s': None,
    }


def _renewing_host(holder: HolderStatus) -> dict[str, Any]:
    return {
        'host': holder.host,
        'role': holder.role,
        'revision': holder.revision,
        'lease_left_s': round(holder.lease_left_s, 3),
        'renewed_ago_s': round(holder.renewed_ago_s, 3),
    }


def _voters(log: ReplicatedLog, peering: Peering) -> list[dict[str, Any]]:
    members = getattr(log, 'members', None)
    if not isinstance(members, Members):
        return []
    return [
        {
            'name': name,
            'identity': member.identity,
            'is_voter': member.is_voter,
            'is_alive': name == peering.name or peering.is_alive(name),
            'is_leader': name == log.leader,
        }
        for name, member in sorted(members.members_by_name.items())
    ]
