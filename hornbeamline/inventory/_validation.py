"""Checks that the schema can't express: references and ranges."""

from __future__ import annotations

from collections.abc import Container

from hornbeamline.inventory._document import fleet_of
from hornbeamline.inventory._schema import Fleet, Pipeline, Target
from hornbeamline.inventory._types import Document
from hornbeamline.inventory.errors import InvalidDocumentError


def validate(document: Document) -> Fleet:
    """Return the validated fleet; raises `InvalidDocumentError`."""
    fleet = fleet_of(document)
    validate_fleet(fleet)
    return fleet


def validate_fleet(fleet: Fleet) -> None:
    """Check references and ranges; raises `InvalidDocumentError`."""
    for host_name, host in fleet.hosts_by_name.items():
        _require(
            host.data_centre,
            fleet.data_centres_by_name,
            f'hosts_by_name.{host_name}.data_centre',
        )
    addresses: dict[str, str] = {}
    for target_name, target in fleet.targets_by_name.items():
        _check_target(fleet, target_name, target)
        other = addresses.setdefault(target.address, target_name)
        if other != target_name:
            raise InvalidDocumentError(
                f'targets_by_name.{target_name}.address',
                f'{target.address} is already the address of {other}',
            )
    services_with_targets = {
        each.service for each in fleet.targets_by_name.values()
    }
    for pipeline_name, pipeline in fleet.pipelines_by_name.items():
        _check_pipeline(fleet, pipeline_name, pipeline, services_with_targets)
    _check_credentials(fleet)
    _check_rules(fleet)


def _check_target(fleet: Fleet, name: str, target: Target) -> None:
    path = f'targets_by_name.{name}'
    _require(target.service, fleet.services_by_name, f'{path}.service')
    _require(
        target.data_centre,
        fleet.data_centres_by_name,
        f'{path}.data_centre',
    )
    for model in target.engine.models:
        _require(model, fleet.models_by_name, f'{path}.engine.models')


def _check_pipeline(
    fleet: Fleet,
    name: str,
    pipeline: Pipeline,
    services_with_targets: Container[str],
) -> None:
    path = f'pipelines_by_name.{name}'
    seen: set[str] = set()
    for index, stage in enumerate(pipeline.stages):
        stage_path = f'{path}.stages[{index}]'
        _require(stage.service, fleet.services_by_name, f'{stage_path}.service')
        if stage.service not in services_with_targets:
            raise InvalidDocumentError(
                f'{stage_path}.service',
                f'service {stage.service} has no target',
            )
        if stage.model:
            _require(stage.model, fleet.models_by_name, f'{stage_path}.model')
        if stage.name in seen:
            raise InvalidDocumentError(
                f'{stage_path}.name',
                f'stage {stage.name} stands twice',
            )
        seen.add(stage.name)


def _check_credentials(fleet: Fleet) -> None:
    owners: dict[str, str] = {}
    for name, account in fleet.accounts_by_name.items():
        other = owners.setdefault(account.credential_sha256, name)
        if other != name:
            raise InvalidDocumentError(
                f'accounts_by_name.{name}.credential_sha256',
                f'same credential as client account {other}',
            )


def _check_rules(fleet: Fleet) -> None:
    limits = fleet.rules.limits
    if limits.min_concurrency > limits.max_concurrency:
        raise InvalidDocumentError(
            'rules.limits.min_concurrency',
            'greater than max_concurrency',
        )
    for index, hours in enumerate(fleet.rules.cost.service_hours):
        if hours.from_hour >= hours.to_hour:
            raise InvalidDocumentError(
                f'rules.cost.service_hours[{index}]',
                'from_hour is not before to_hour',
            )


def _require(name: str, known: Container[str], key_path: str) -> None:
    if name not in known:
        raise InvalidDocumentError(key_path, f'{name} is not in the inventory')
