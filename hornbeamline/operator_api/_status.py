"""Status of the fleet as the leader sees it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from hornbeamline.configuration import Accepted, HolderStatus
from hornbeamline.inventory import HostRole
from hornbeamline.peering import Peering
from hornbeamline.replog import Members, ReplicatedLog

# Roles of a host whose table does not list any.
DEFAULT_ROLES: Final = (HostRole.entry.value,)


def fleet_status(
    accepted: Accepted,
    holders: Iterable[HolderStatus],
    log: ReplicatedLog,
    peering: Peering,
) -> dict[str, Any]:
    """Return the leader, the voters and one entry per host.

    An entry host of the inventory that has not renewed its lease with this
    leader has the revision None.
    """
    hosts = {
        name: _unrenewed_host(name)
        for name, table in accepted.document.get('hosts_by_name', {}).items()
        if HostRole.entry.value in table.get('roles', DEFAULT_ROLES)
    }
    for holder in holders:
        hosts[holder.host] = _lease_holder(holder)
    return {
        'leader': log.leader,
        'term': log.term,
        'revision': accepted.revision,
        'digest': accepted.digest,
        'voters': _voters(log, peering),
        'hosts': [hosts[name] for name in sorted(hosts)],
    }


def _unrenewed_host(name: str) -> dict[str, Any]:
    return {
        'host': name,
        'role': HostRole.entry.value,
        'revision': None,
        'lease_left_s': 0,
        'renewed_ago_s': None,
    }


def _lease_holder(holder: HolderStatus) -> dict[str, Any]:
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
