"""Selection of the owner of a service on each host, without a network."""

from __future__ import annotations

from hornbeamline.batching import EntryHost
from hornbeamline.batching._ownership import Ownership
from hornbeamline.helpers.clock import SystemClock
from hornbeamline.helpers.rendezvous import rendezvous_order

SERVICE = 'stage'
HOSTS = [f'host-{number}' for number in range(4)]
ORDER = rendezvous_order(SERVICE, HOSTS)
CURRENT_OWNER = EntryHost('x', frozenset({SERVICE}))


def owners(name: str, **others: EntryHost) -> list[str]:
    """Return the owners as seen by a host.

    The keywords name other hosts by their position in `ORDER`, as `p2`.
    """
    hosts = dict.fromkeys(HOSTS, EntryHost('x'))
    hosts |= {ORDER[int(place[1:])]: host for place, host in others.items()}
    hosts.pop(name)
    ownership = Ownership(name, lambda: hosts, lambda _: False, SystemClock())
    return ownership.owners(SERVICE)


def test_current_owner_comes_first() -> None:
    """Guards against moving a service when a host returns."""
    assert owners(ORDER[0], p2=CURRENT_OWNER)[:2] == [ORDER[2], ORDER[0]]


# Guards against all hosts waiting 1.2 s for an owner that some hosts have
# already replaced.
def test_suspected_owner_is_replaced_by_the_next_one() -> None:
    """Fault: the owner is frozen, and its successor has taken over."""
    suspected = CURRENT_OWNER._replace(is_suspected=True)
    assert owners(ORDER[3], p0=suspected, p1=CURRENT_OWNER)[0] == ORDER[1]
    assert owners(ORDER[3], p0=suspected)[0] == ORDER[1]
    assert owners(ORDER[3], p0=suspected)[-1] == ORDER[0]


def test_all_hosts_choose_the_same_of_two_owners() -> None:
    """Guards against two owners that both stay active."""
    firsts = {
        owners(name, p1=CURRENT_OWNER, p3=CURRENT_OWNER)[0]
        for name in (ORDER[0], ORDER[2])
    }
    assert firsts == {ORDER[1]}
