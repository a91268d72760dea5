"""Schema of the daemon settings, which are read once at start."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from hornbeamline.inventory._rules import NonNegative, Positive, PositiveInt
from hornbeamline.inventory._schema import Address, Name, Sha256


class SettingsTable(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Base class of settings tables; unknown keys are rejected."""


class HostSettings(SettingsTable, frozen=True, kw_only=True):
    """Identity and location of the process."""

    name: Name
    data_centre: Name
    fleet: Name


class PeeringSettings(SettingsTable, frozen=True, kw_only=True):
    """Listener for messages from other hornbeamline processes."""

    address: Address
    # Address to which peers connect, when it differs from the bound one.
    advertised_address: str = ''
    heartbeat_interval_s: Positive = 0.5
    silence_timeout_s: Positive = 2.0


class CallerSettings(SettingsTable, frozen=True, kw_only=True):
    """Listener and limits of the caller interface."""

    address: Address
    max_body_bytes: PositiveInt = 1_048_576
    max_requests_in_progress: PositiveInt = 2048
    body_timeout_s: Positive = 10


class OperatorSettings(SettingsTable, frozen=True, kw_only=True):
    """Listener of the operator interface."""

    address: Address
    credential_sha256: Sha256


class StopSettings(SettingsTable, frozen=True, kw_only=True):
    """Graceful shutdown."""

    # Requests are still accepted for this time after `/readyz` has begun to
    # fail, since the load balancer may still send them.
    balancer_wait_s: NonNegative = 1.0
    timeout_s: Positive = 30


class StorageSettings(SettingsTable, frozen=True, kw_only=True):
    """Data folder and settings of the replicated log."""

    data_folder: str
    # A snapshot is due once this many entries and bytes of commands have been
    # applied since the last one.
    snapshot_entries: PositiveInt = 4096
    snapshot_min_bytes: Annotated[int, Meta(ge=0)] = 0
    election_timeout_min_s: Positive = 0.6
    election_timeout_max_s: Positive = 1.2
    heartbeat_interval_s: Positive = 0.15


class MembershipSource(SettingsTable, frozen=True, kw_only=True):
    """Source of the platform's list of targets."""

    kind: str = 'none'
    location: str = ''


class EntrySettings(SettingsTable, frozen=True, kw_only=True):
    """Settings of an entry process."""

    host: HostSettings
    caller: CallerSettings
    peering: PeeringSettings
    # Peering addresses of the control hosts.
    controls_by_name: Annotated[dict[Name, Address], Meta(min_length=1)]
    membership: MembershipSource = MembershipSource()
    stop: StopSettings = StopSettings()
    # Interval at which the configuration lease and the ledger session are
    # renewed, and upper bound of the lease. The control hosts limit the
    # silence of the session (`ControlSettings.session_timeout_s`).
    renew_interval_s: Positive = 1.0
    lease_s: Positive = 4.0
    seed: int = 0


class ControlSettings(SettingsTable, frozen=True, kw_only=True):
    """Settings of a control process."""

    host: HostSettings
    peering: PeeringSettings
    operator: OperatorSettings
    storage: StorageSettings
    # Peering addresses of all voters, including this one.
    controls_by_name: Annotated[dict[Name, Address], Meta(min_length=1)]
    # Operator addresses of all voters, for replies that refer to the leader.
    operators_by_name: dict[Name, Address] = {}
    # Inventory and rules files, proposed as revision 1 when the log is empty.
    initial_documents: list[str] = []
    # True for a process whose data folder was emptied: it joins the existing
    # group as a learner and doesn't found a new fleet.
    join: bool = False
    stop: StopSettings = StopSettings()
    session_timeout_s: Positive = 5.0
    lease_s: Positive = 4.0
