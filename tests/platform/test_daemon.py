"""Tests of how the entry daemon is wired."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from hornbeamline.batching import EntryHost, Ownership
from hornbeamline.daemons._granters import ServiceGranters
from hornbeamline.directory import Presence
from hornbeamline.directory.const import ROLE_CONTROL, ROLE_ENTRY
from hornbeamline.helpers.clock import ManualClock
from hornbeamline.helpers.rendezvous import rendezvous_order
from hornbeamline.platform._entry import entry_daemon
from tests.common import write_toml
from tests.platform.test_settings import SETTINGS_TABLE


async def test_budgets_are_shared_by_the_entry_hosts(tmp_path: Path) -> None:
    """Guards against hosts that each spend the whole retry budget."""
    daemon = entry_daemon(write_toml(tmp_path / 's.toml', SETTINGS_TABLE))
    present = [
        Presence(f'entry-{number}', 'x', ROLE_ENTRY, 'dc')
        for number in range(12)
    ]
    daemon._apply_presences([*present, Presence('c', 'x', ROLE_CONTROL, 'dc')])
    taken = 0
    while daemon._budget.take('s'):
        taken += 1
    assert taken <= 64 / 12
    assert daemon._poller.pause_s >= 0.25


class FakeMember:
    """Directory that reports all hosts, or none."""

    def __init__(self) -> None:
        self.names = [f'host-{number}' for number in range(4)]

    def present(self) -> list[str]:
        """Return the names of the hosts that are present."""
        return self.names


# Guards against a shared limit that each host applies in full once no
# control process answers, because every host then sees only itself.
def test_hosts_without_control_keep_the_known_granter() -> None:
    """Fault: all control processes fail at the same time."""
    member: Any = FakeMember()
    first, second = rendezvous_order('service', member.names)[:2]
    ownership = Ownership(
        second,
        lambda: {
            name: EntryHost('x') for name in member.names if name != second
        },
        lambda _service: False,
        ManualClock(),
    )
    granters = ServiceGranters(member, lambda: ownership)
    assert granters.granter_of('service') == first
    member.names = []
    assert granters.granter_of('service') == first
    assert granters.granter_of('other') is None
    member.names = [second]
    assert granters.granter_of('service') == second
