"""Queue order, fair shares, rate limits and Retry-After."""

from __future__ import annotations

from hornbeamline.decisions import Dispatch, Refusal, RequestInfo, StageCall
from hornbeamline.decisions._backlog import Backlog
from hornbeamline.decisions._queue import FairQueue, FairTags, Waiting
from hornbeamline.inventory import Account, AdmissionRules, Rules
from hornbeamline.telemetry import metrics_page
from tests.decisions.common import Driver, fleet_of


def waiting(name: str, deadline_at: float, tag: float = 0) -> Waiting:
    """Return a queue entry."""
    request = RequestInfo(name, name, 'both', deadline_at)
    call = StageCall(request, 0)
    return Waiting(call, lambda _: None, deadline_at, tag)


def names_of(queue: FairQueue) -> list[str]:
    """Return the request ids in the order of service."""
    return [each.call.request.request_id for each in queue]


def test_queue_orders_by_share_priority_and_deadline() -> None:
    """Guards against a priority or deadline that beats the fair share."""
    queue = FairQueue(10)
    queue.push(waiting('late', 9), 0)
    queue.push(waiting('soon', 5), 0)
    queue.push(waiting('urgent', 9), 3)
    queue.push(waiting('greedy', 1, tag=50), 9)
    assert names_of(queue) == ['urgent', 'soon', 'late', 'greedy']


def test_full_queue_drops_the_last_in_order() -> None:
    """Guards against a flood that keeps others out of a full queue."""
    queue = FairQueue(2)
    queue.push(waiting('a', 1), 0)
    greedy = waiting('greedy', 1, tag=50)
    queue.push(greedy, 0)
    assert queue.push(waiting('b', 2), 0) is greedy
    assert names_of(queue) == ['a', 'b']


def test_tags_follow_weights() -> None:
    """Guards against shares that ignore `Account.share`."""
    tags = FairTags()
    small = [tags.take('small', 1) for _ in range(4)]
    large = [tags.take('large', 4) for _ in range(4)]
    assert small == [0, 1, 2, 3]
    assert large == [0, 0.25, 0.5, 0.75]
    tags.serve(10)
    assert tags.take('new', 1) == 10


def test_backlog_wait_is_bounded_by_the_share() -> None:
    """Guards against an account that waits behind another's flood."""
    backlog = Backlog()
    for _ in range(100):
        backlog.add('flood', 1)
    assert backlog.wait_s('flood', 1, 10) == 10
    assert backlog.wait_s('ash', 1, 10) == 0
    backlog.add('ash', 1)
    assert backlog.wait_s('ash', 1, 10) == 0.2
    backlog.remove('ash')
    assert backlog.total == 100


def fill(driver: Driver, count: int, account: str) -> list[Refusal]:
    """Admit and submit requests; return the refusals."""
    refusals = []
    for _ in range(count):
        request = driver.request(account=account)
        refusal = driver.engine.admit(request)
        if refusal is None:
            driver.submit(request)
        else:
            refusals.append(refusal)
    return refusals


def test_overload_is_refused_early_but_not_others() -> None:
    """Guards against admitting what can't finish, and against unfairness."""
    accounts = {
        name: Account(credential_sha256='0' * 64) for name in ('ash', 'flood')
    }
    driver = Driver(fleet_of(accounts=accounts))
    refusals = fill(driver, 2000, 'flood')
    assert 1000 < len(refusals) < 1900
    assert {refusal.reason for refusal in refusals} == {'overloaded'}
    assert not fill(driver, 20, 'ash')
    first = next(
        answer for answer in driver.answers if isinstance(answer, Dispatch)
    )
    driver.answers.clear()
    driver.end(first)
    assert driver.answers[0].call.request.account == 'ash'


def test_retry_after_is_spread_and_capped() -> None:
    """Guards against refused bursts that return together."""
    driver = Driver(fleet_of())
    waits = [refusal.retry_after_s for refusal in fill(driver, 3000, 'ash')]
    assert max(waits) <= 30
    assert min(waits) > 0
    halves = sorted(waits)
    assert halves[-1] - halves[0] > 5
    assert len({round(wait, 3) for wait in waits}) > len(waits) / 4


def test_rate_limit_per_account() -> None:
    """Guards against an account above its agreed rate."""
    accounts = {
        'ash': Account(credential_sha256='0' * 64, max_requests_per_s=5),
    }
    driver = Driver(fleet_of(accounts=accounts))
    answers = [driver.engine.admit(driver.request()) for _ in range(8)]
    assert [answer is None for answer in answers] == [True] * 5 + [False] * 3
    assert answers[-1] is not None
    assert answers[-1].reason == 'rate_limited'
    driver.clock.advance(0.21)
    assert driver.engine.admit(driver.request()) is None
    assert b'reason="rate_limited"' in metrics_page()


def test_queue_bound_refuses_and_tick_expires() -> None:
    """Guards against an unbounded queue and calls that wait for ever."""
    rules = Rules(admission=AdmissionRules(queue_length=3))
    driver = Driver(fleet_of(targets=1, rules=rules))
    for _ in range(8):
        driver.submit()
    reasons = [
        answer.reason
        for answer in driver.answers
        if isinstance(answer, Refusal)
    ]
    assert reasons == ['queue_full'] * 3
    assert driver.engine.tick() is not None
    driver.clock.advance(4)
    assert driver.engine.tick() is None
    assert len(driver.answers) == 8
    assert driver.answers[-1].reason == 'deadline_unreachable'


def test_withdrawn_call_gets_no_answer() -> None:
    """Guards against a dispatch for a caller that is gone."""
    driver = Driver(fleet_of(targets=1))
    first = [driver.submit(), driver.submit()]
    call = StageCall(driver.request(), 0)
    driver.engine.submit(call, driver.answers.append)
    driver.engine.withdraw(call)
    driver.end(first[0])
    assert len(driver.answers) == 2


def test_finished_requests_leave_no_backlog() -> None:
    """Guards against a backlog that grows with abandoned requests."""
    driver = Driver(fleet_of())
    for _ in range(5000):
        request = driver.request()
        assert driver.engine.admit(request) is None
        driver.engine.finish_request(request)
        driver.engine.finish_request(request)
