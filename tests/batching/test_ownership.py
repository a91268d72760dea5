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


SMALL = EntryHost('x', processor_cores=0.39)
LARGE = EntryHost('x', processor_cores=1.38)


# Load: bursts of stage requests at a fleet whose hosts have 0.39 to 1.38 cores.
# Guards against a queue of all hosts on a host whose event loop adds 0.3 s to
# each stage.
def test_small_hosts_own_services_only_without_larger_ones() -> None:
    """Hosts of less than half the largest capacity come last."""
    sizes = {'p0': SMALL, 'p1': SMALL, 'p2': LARGE}
    found = owners(ORDER[3], **sizes)
    assert found[0] == ORDER[2]
    alone = owners(ORDER[3], p0=SMALL, p1=SMALL, p2=SMALL)
    assert alone[0] == ORDER[0]


def test_present_owner_keeps_its_service_whatever_its_size() -> None:
    """Guards against moving a service while targets hold its results."""
    owner = CURRENT_OWNER._replace(processor_cores=0.39)
    assert owners(ORDER[3], p0=LARGE, p1=owner)[0] == ORDER[1]


def test_services_are_spread_over_large_hosts() -> None:
    """Guards against one host that owns the queues of several services."""
    busy = LARGE._replace(owned_services=frozenset({'other'}))
    sizes = {'p0': busy, 'p1': SMALL, 'p2': LARGE}
    assert owners(ORDER[3], **sizes)[:2] == [ORDER[2], ORDER[0]]


def test_services_without_owners_are_spread_too() -> None:
    """Guards against one owner of all services after a start."""
    hosts = {f'host-{number}': LARGE for number in range(3)}
    hosts['host-3'] = SMALL
    ownership = Ownership(
        'host-4', lambda: hosts, lambda _: False, SystemClock()
    )
    ownership.processor_cores = 0.39
    ownership.services = frozenset(('a', 'b', 'c'))
    firsts = {ownership.owners(service)[0] for service in 'abc'}
    assert firsts == {'host-0', 'host-1', 'host-2'}


def test_hosts_without_a_control_process_come_first() -> None:
    """Guards against queues that stop with a frozen or lost control host."""
    beside_control = LARGE._replace(runs_control=True)
    sizes = {'p0': beside_control, 'p1': SMALL, 'p2': LARGE}
    assert owners(ORDER[3], **sizes)[:2] == [ORDER[2], ORDER[0]]


def test_order_of_similar_hosts_does_not_depend_on_their_size() -> None:
    """Guards against a change for fleets whose hosts differ little."""
    sizes = {
        f'p{place}': EntryHost('x', frozenset({'other'}), processor_cores=cores)
        for place, cores in enumerate((1.07, 1.07, 1.94))
    }
    hosts = {ORDER[int(place[1:])]: host for place, host in sizes.items()}
    ownership = Ownership(
        ORDER[3], lambda: hosts, lambda _: False, SystemClock()
    )
    ownership.processor_cores = 1.94
    assert ownership.owners(SERVICE) == ORDER
