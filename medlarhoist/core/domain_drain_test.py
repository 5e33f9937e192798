"""Tests of what a failure domain receives during and after a drain.

Guards against a target of a drained domain that gets calls, and against a
domain that is taken back at one blow.
"""

from collections import Counter
from random import Random

import pytest

from medlarhoist.core.domain_drain import FIRST_SHARE, RETURN_S, DomainDrains
from medlarhoist.core.target import Target, TargetPhase

DOMAINS = ('a', 'b', 'c', 'd')
CALLS_PER_SECOND = 1000
BEGIN_S, END_S = 3.0, 10.0


def _target(domain):
    return Target(
        node=f'n-{domain}',
        domain=domain,
        service='s',
        label='v1',
        address=f'10.0.0.{ord(domain)}:1',
        slots=3,
        phase=TargetPhase.READY,
        since_ms=0,
    )


TARGETS = tuple(_target(domain) for domain in DOMAINS)


def _play(orders, seconds):
    """Return the calls of each domain by second, with orders by time."""
    drains, rng = DomainDrains(), Random(1)
    counts = [Counter() for _ in range(seconds)]
    for step in range(seconds * CALLS_PER_SECOND):
        now = step / CALLS_PER_SECOND
        if now in orders:
            drains.update(frozenset(orders[now]), now)
        allowed = drains.without_drained(TARGETS)
        drawn = drains.draw(allowed, now, rng)
        counts[int(now)][rng.choice(drawn).domain] += 1
        drains.expire(now)
    return counts


@pytest.mark.parametrize('drained', [('a',), ('a', 'b', 'c')])
def test_a_drained_domain_receives_nothing_until_its_end(drained):
    counts = _play({BEGIN_S: drained, END_S: ()}, 20)
    during = counts[int(BEGIN_S) : int(END_S)]
    assert not any(second[name] for second in during for name in drained)
    assert {sum(second.values()) for second in counts} == {CALLS_PER_SECOND}


def test_a_domain_is_taken_back_in_steps():
    counts = _play({BEGIN_S: 'a', END_S: ()}, 20)
    taken = [second['a'] for second in counts[int(END_S) :]]
    whole = CALLS_PER_SECOND / len(DOMAINS)
    assert 0 < taken[0] < whole / 3
    returning = taken[: int(RETURN_S)]
    assert all(
        later - earlier < whole / 2
        for earlier, later in zip(returning, returning[1:], strict=False)
    )
    assert returning == sorted(returning)
    assert min(taken[int(RETURN_S) :]) > whole * 0.8


def test_a_second_drain_during_the_return_is_whole():
    orders = {BEGIN_S: 'a', END_S: (), END_S + 2: 'a', END_S + 5: ()}
    counts = _play(orders, 20)
    assert not sum(second['a'] for second in counts[12:15])
    assert counts[15]['a'] < CALLS_PER_SECOND / len(DOMAINS) / 3


def test_the_end_of_one_drain_does_not_end_another():
    counts = _play({BEGIN_S: 'ab', END_S: 'b'}, 20)
    assert not sum(second['b'] for second in counts[3:])
    assert sum(second['a'] for second in counts[16:])


def test_shares_grow_from_the_first_to_the_whole():
    drains = DomainDrains()
    assert drains.update(frozenset('a'), 1.0)
    assert not drains.update(frozenset('a'), 2.0)
    assert (drains.share('a', 9.0), drains.share('b', 9.0)) == (0, 1)
    assert drains.update(frozenset(), 10.0)
    assert drains.share('a', 10.0) == pytest.approx(FIRST_SHARE)
    assert not drains.expire(10.0 + RETURN_S / 2)
    assert drains.is_returning('a')
    assert drains.expire(10.0 + RETURN_S) == ('a',)
    assert drains.share('a', 99.0) == 1
