"""Settings files of a fleet whose processes run on one host."""

from __future__ import annotations

import copy
import hashlib
from pathlib import Path
from typing import Any, Final, NamedTuple

import tomli_w

from hornbeamline.inventory import Document, Fleet, HostRole, validate
from hornbeamline.local_fleet._addresses import free_addresses

OPERATOR_CREDENTIAL: Final = 'local-operator'
# A short wait is enough, since a local fleet has no external load balancer
# that must first notice that the host is no longer ready.
_BALANCER_WAIT_S: Final = 0.5


class LocalAddresses(NamedTuple):
    """Addresses of the processes by name of the process."""

    callers_by_entry: dict[str, str]
    peers_by_entry: dict[str, str]
    peers_by_control: dict[str, str]
    operators_by_control: dict[str, str]
    targets_by_name: dict[str, str]


class FleetPlan(NamedTuple):
    """A fleet, its document with loopback addresses, and its processes."""

    document: Document
    fleet: Fleet
    addresses: LocalAddresses
    # Inventory host of each process. Entry processes have the name of their
    # host, control processes that of the voter.
    hosts_by_process: dict[str, str]


def plan_fleet(document: Document, controls: int, entries: int) -> FleetPlan:
    """Choose hosts and free loopback addresses for a local fleet.

    The plan has the first `controls` control hosts and the first `entries`
    entry hosts of the inventory. Raises `InvalidDocumentError`.
    """
    fleet = validate(document)
    entry_hosts = _hosts_with_role(fleet, HostRole.entry)[:entries]
    hosts_by_control = {
        control_name(host): host
        for host in _hosts_with_role(fleet, HostRole.control)[:controls]
    }
    target_names = list(fleet.targets_by_name)
    processes = len(entry_hosts) + len(hosts_by_control)
    count = 2 * processes + len(target_names)
    free = iter(free_addresses(count))
    addresses = LocalAddresses(
        *(
            dict(zip(names, free, strict=False))
            for names in (
                entry_hosts,
                entry_hosts,
                hosts_by_control,
                hosts_by_control,
                target_names,
            )
        ),
    )
    local_document = copy.deepcopy(document)
    for name, address in addresses.targets_by_name.items():
        local_document['targets_by_name'][name]['address'] = address
    hosts_by_process = {host: host for host in entry_hosts}
    hosts_by_process.update(hosts_by_control)
    return FleetPlan(
        local_document, validate(local_document), addresses, hosts_by_process
    )


def write_settings(plan: FleetPlan, folder: Path) -> dict[str, list[str]]:
    """Write all settings files; return arguments by process name."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet_file = folder / 'fleet.toml'
    _write_toml(fleet_file, plan.document)
    commands: dict[str, list[str]] = {}
    for target_name in plan.addresses.targets_by_name:
        path = folder / f'target-{target_name}.toml'
        _write_toml(path, target_settings(plan, target_name))
        commands[target_name] = _command('target', path)
    for control in plan.addresses.peers_by_control:
        path = folder / f'{control}.toml'
        _write_toml(path, control_settings(plan, control, folder, fleet_file))
        commands[control] = _command('control', path)
    for entry in plan.addresses.callers_by_entry:
        path = folder / f'{entry}.toml'
        _write_toml(path, entry_settings(plan, entry))
        commands[entry] = _command('entry', path)
    return commands


def target_settings(plan: FleetPlan, name: str) -> dict[str, Any]:
    """Return the settings of a stand-in target."""
    target = plan.fleet.targets_by_name[name]
    service = plan.fleet.services_by_name[target.service]
    settings: dict[str, Any] = {
        'name': name,
        'address': target.address,
        'service': target.service,
        'kind': service.kind.value,
        'service_ms': service.expected_ms,
        'concurrency': target.concurrency,
        'engine': {
            'checks_fencing': target.engine.checks_fencing,
            'models': {
                model: plan.fleet.models_by_name[model].version
                for model in target.engine.models
            },
        },
    }
    if target.software_version:
        # Stand-ins of builds that do not know this key refuse it.
        settings['software_version'] = target.software_version
    return settings


def control_settings(
    plan: FleetPlan,
    name: str,
    folder: Path,
    fleet_file: Path,
) -> dict[str, Any]:
    """Return the settings of a control process."""
    addresses = plan.addresses
    digest = hashlib.sha256(OPERATOR_CREDENTIAL.encode()).hexdigest()
    return {
        'host': _host_settings(plan, name),
        'peering': {'address': addresses.peers_by_control[name]},
        'operator': {
            'address': addresses.operators_by_control[name],
            'credential_sha256': digest,
        },
        'storage': {'data_folder': str(folder / f'data-{name}')},
        'controls_by_name': _control_addresses(plan),
        'operators_by_name': addresses.operators_by_control,
        'initial_documents': [str(fleet_file)],
    }


def entry_settings(plan: FleetPlan, name: str) -> dict[str, Any]:
    """Return the settings of an entry process."""
    return {
        'host': _host_settings(plan, name),
        'caller': {'address': plan.addresses.callers_by_entry[name]},
        'peering': {'address': plan.addresses.peers_by_entry[name]},
        'controls_by_name': _control_addresses(plan),
        'stop': {'balancer_wait_s': _BALANCER_WAIT_S},
    }


def control_name(host: str) -> str:
    """Return the name of the control process on a host."""
    return f'control-{host}'


def _control_addresses(plan: FleetPlan) -> dict[str, str]:
    return dict(plan.addresses.peers_by_control)


def _hosts_with_role(fleet: Fleet, role: HostRole) -> list[str]:
    return [
        name for name, host in fleet.hosts_by_name.items() if role in host.roles
    ]


def _host_settings(plan: FleetPlan, name: str) -> dict[str, str]:
    host = plan.hosts_by_process[name]
    return {
        'name': name,
        'data_centre': plan.fleet.hosts_by_name[host].data_centre,
        'fleet': plan.fleet.fleet.name,
    }


def _command(role: str, path: Path) -> list[str]:
    return [role, 'run', '--settings', str(path)]


def _write_toml(path: Path, content: dict[str, Any]) -> None:
    path.write_text(tomli_w.dumps(content), encoding='utf-8')
