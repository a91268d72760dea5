"""Queue order, fair shares, rate limits and Retry-After."""

from __future__ import annotations

from hornbeamline.decisions import Dispatch, Refusal, RequestInfo, StageCall
from hornbeamline.decisions._backlog import Backlog
from hornbeamline.decisions._queue import FairQueue, FairTags, QueuedCall
from hornbeamline.inventory import Account, AdmissionRules, Rules
from hornbeamline.telemetry import metrics_page
from tests.decisions.common import Driver, fleet_of


def queued_call(name: str, deadline_at: float, tag: float = 0) -> QueuedCall:
    """Return a queue entry of a request and account called `name`."""
    request = RequestInfo(name, name, 'both', deadline_at)
    call = StageCall(request, 0)
    return QueuedCall(call, lambda _: None, deadline_at, tag)


def names_of(queue: FairQueue) -> list[str]:
    """Return the request ids in dispatch order."""
    return [each.call.request.request_id for each in queue]


def test_queue_orders_by_share_priority_and_deadline() -> None:
    """Guards against priority or deadline overriding the fair share."""
    queue = FairQueue(10)
    queue.push(queued_call('late', 9), 0)
    queue.push(queued_call('soon', 5), 0)
    queue.push(queued_call('urgent', 9), 3)
    queue.push(queued_call('greedy', 1, tag=50), 9)
    assert names_of(queue) == ['urgent', 'soon', 'late', 'greedy']


def test_full_queue_drops_the_last_in_order() -> None:
    """Guards against one account that blocks others from a full queue."""
    queue = FairQueue(2)
    queue.push(queued_call('a', 1), 0)
    over_share = queued_call('greedy', 1, tag=50)
    queue.push(over_share, 0)
    assert queue.push(queued_call('b', 2), 0) is over_share
    assert names_of(queue) == ['a', 'b']


def test_tags_follow_weights() -> None:
    """Guards against start tags that ignore the weight of an account."""
    tags = FairTags()
    small = [tags.next_tag('small', 1) for _ in range(4)]
    large = [tags.next_tag('large', 4) for _ in range(4)]
    assert small == [0, 1, 2, 3]
    assert large == [0, 0.25, 0.5, 0.75]
    tags.advance(10)
    assert tags.next_tag('new', 1) == 10


def test_backlog_wait_is_bounded_by_the_share() -> None:
    """Guards against an account that waits for another account's backlog."""
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
    """Guards against admitting what can't finish and against unfairness."""
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
    """Guards against refused callers that all retry at the same time."""
    driver = Driver(fleet_of())
    waits = [refusal.retry_after_s for refusal in fill(driver, 3000, 'ash')]
    assert max(waits) <= 30
    assert min(waits) > 0
    ordered = sorted(waits)
    assert ordered[-1] - ordered[0] > 5
    assert len({round(wait, 3) for wait in waits}) > len(waits) / 4


def test_rate_limit_per_account() -> None:
    """Guards against an account that exceeds its rate limit."""
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
    """Guards against an unbounded queue and calls that never expire."""
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
    """Guards against a dispatch for a caller that has disconnected."""
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
