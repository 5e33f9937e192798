"""Tests of the usage of the children of one process.

They guard against requests that are counted twice, or not at all, when a
child falls silent, ends or moves.
"""

from random import Random

from pytest import approx, fixture

from medlarhoist.core.account_limiter import MAX_DELAY_S, AccountLimiter
from medlarhoist.core.account_subtree import SubtreeUsage
from medlarhoist.core.account_usage import PACE_MARGIN, UsageRow
from medlarhoist.core.resource import Account

PER_REPORT = 25
INTERVAL_S = 0.25
SHOP = Account(name='shop', rate=1000, burst=100)


@fixture(name='usage')
def _usage():
    """Return the usage after a child has reported for 20 s."""
    usage = SubtreeUsage(0)
    usage.attach('child', 0)
    report(usage, 0, 20)
    collect(usage, 20)
    return usage


def report(usage, start, end):
    at = start
    while at < end:
        at += INTERVAL_S
        row = UsageRow('shop', PER_REPORT, PER_REPORT)
        usage.record('child', [row], at)


def collect(usage, until):
    """Return the requests admitted that a parent would charge."""
    return sum(row.admitted for row in usage.collect(until))


def collect_until(usage, start, end):
    ticks = int((end - start) / INTERVAL_S)
    return sum(
        collect(usage, start + tick * INTERVAL_S)
        for tick in range(1, ticks + 1)
    )


def test_a_child_that_ends_its_connection_is_not_counted_any_more(usage):
    usage.detach('child', 20.5)
    assert not usage.silent()
    assert not collect_until(usage, 20, 30)


def test_a_child_that_fell_silent_is_counted_at_its_pace(usage):
    usage.detach('child', 22.5)
    assert usage.silent() == ('child',)
    expected = PACE_MARGIN * 10 * PER_REPORT / INTERVAL_S
    assert collect_until(usage, 20, 30) == approx(expected, rel=0.15)
    # It attaches elsewhere, and is reported from there.
    usage.forget('child')
    assert not collect_until(usage, 30, 40)


def test_late_reports_are_not_counted_twice(usage):
    presumed = collect_until(usage, 20, 24)
    report(usage, 24, 28)
    late = collect_until(usage, 24, 28)
    assert presumed > 0
    assert late == approx(4 * PER_REPORT / INTERVAL_S, rel=0.1)


def test_another_child_of_the_group_replaces_a_silent_one():
    usage = SubtreeUsage(0)
    usage.attach('child', 0, 'domain')
    usage.attach('other', 0, 'domain')
    report(usage, 0, 5)
    usage.hear('other', 7.5)
    usage.detach('child', 7.5)
    usage.expire(7.5)
    assert not usage.silent()


def test_a_paused_node_wakes_with_no_more_than_its_pace():
    limiter = AccountLimiter(Random(1), 0)
    for at in range(1, 101):
        assert not limiter.admit(SHOP, at / 10, 0.5)
    woken = [limiter.admit(SHOP, 70, 60) for _ in range(500)]
    assert 0 < woken.count(0) <= 1 + PACE_MARGIN * 10


def test_refused_requests_are_told_to_return_one_after_another():
    limiter = AccountLimiter(Random(1), 0)
    slow = Account(name='shop', rate=10, burst=0)
    delays = [limiter.admit(slow, 1, 0.5) for _ in range(40)]
    refused = [delay for delay in delays if delay]
    assert refused == sorted(refused)
    assert refused[-1] - refused[0] == approx((len(refused) - 1) / 10)
    later = [limiter.admit(slow, 1, 0.5) for _ in range(100)]
    assert max(later) == MAX_DELAY_S
