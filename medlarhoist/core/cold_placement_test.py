"""Tests of where calls go while targets are cold, in virtual time.

Entry nodes know only what targets' nodes report with answers and refusals. A call
that would have to wait is counted as refused.
"""

from random import Random

import pytest
from msgspec import Struct, field

from medlarhoist.core.admission import Admission, CallRequirements, Load, admit
from medlarhoist.core.balance import (
    NodeLocation,
    SelectionContext,
    pick_target,
)
from medlarhoist.core.rate_limit import TargetLimiter
from medlarhoist.core.target import Target, TargetPhase
from medlarhoist.core.target_view import TargetView

RATE = 5.0
SLOTS = 3
BUSY_S = 0.1
OBJECTIVE_S = 0.6
SECONDS = 4
ATTEMPTS = 4
DOMAINS = 'abc'
TARGETS = tuple(
    Target(
        node=f'n{number}',
        domain=DOMAINS[number % 3],
        service='s',
        label='v1',
        address=f'127.0.0.1:{number}',
        slots=SLOTS,
        phase=TargetPhase.READY,
        since_ms=0,
    )
    for number in range(12)
)


class _Running(Struct):
    """A target, the ends of its requests, and when they arrived."""

    limiter: TargetLimiter = field(default_factory=TargetLimiter)
    ends: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)

    def offer(self, need, now):
        """Return the load after the decision, and whether a call starts."""
        while self.ends and self.ends[0] <= now:
            self.ends.pop(0)
        starts = admit(self.report(now), need, now, 0) is Admission.START
        if starts:
            self.limiter.take(now)
            self.arrivals.append(now)
            self.ends.append(now + BUSY_S)
        return self.report(now), starts

    def report(self, now):
        """Return what the node of the target reports."""
        limiter = self.limiter
        return Load(
            SLOTS,
            len(self.ends),
            0,
            BUSY_S,
            limiter.rate,
            limiter.delay_s(now),
            limiter.cold_seconds(now),
        )


def _call(entry, views, running, now, rng):
    """Return whether one of the attempts of a call is served."""
    need = CallRequirements(deadline=now + 2, due=now + OBJECTIVE_S)
    untried = list(TARGETS)
    cold_refusals = 0
    for _ in range(ATTEMPTS):
        context = SelectionContext(
            now, OBJECTIVE_S, 0, BUSY_S, is_domain_cold=cold_refusals > 1
        )
        target = pick_target(untried, views, entry, context, rng)
        untried.remove(target)
        view = views[target.address]
        view.used_at = now
        load, starts = running[target.address].offer(need, now)
        view.record_load(load, now)
        if starts:
            view.record_success(BUSY_S)
            return True
        view.record_refusal(now)
        cold_refusals += load.cold_s > 0
    return False


@pytest.fixture(name='play')
def _play():
    """Return a function that plays a load while the given targets are cold."""

    def play(cold, rate):
        rng = Random(1)
        running = {target.address: _Running() for target in TARGETS}
        for target in cold:
            running[target.address].limiter.set_cold(RATE, SECONDS, 0)
        entries = [NodeLocation(domain, '') for domain in DOMAINS * 6]
        views = [
            {target.address: TargetView() for target in TARGETS}
            for _ in entries
        ]
        served = 0
        for step in range(int(rate * SECONDS)):
            index = rng.randrange(len(entries))
            now = step / rate
            served += _call(entries[index], views[index], running, now, rng)
        return _percent(served, rate), [
            running[target.address].arrivals for target in cold
        ]

    return play


def _percent(calls, rate):
    """Return how many of a hundred calls of a load these are."""
    return round(100 * calls / (rate * SECONDS))


def _used_percent(arrivals):
    """Return how much of their rate cold targets have got."""
    return _percent(sum(map(len, arrivals)), RATE * len(arrivals))


def _most_in_a_second(arrivals):
    return max(
        (sum(start <= at < start + 1 for at in arrivals) for start in arrivals),
        default=0,
    )


@pytest.mark.parametrize(
    'cold',
    [
        pytest.param(TARGETS[:4], id='a third, in all domains'),
        pytest.param(TARGETS[::3], id='a domain as a whole'),
    ],
)
def test_the_other_targets_take_the_calls(play, cold):
    """At half of what the warm ones can run."""
    share, arrivals = play(cold, rate=120)
    assert share >= 98
    assert max(map(_most_in_a_second, arrivals)) <= 1.5 * RATE + 2


def test_cold_targets_take_what_the_others_have_no_room_for(play):
    share, arrivals = play(TARGETS[:6], rate=210)
    assert _used_percent(arrivals) > 80
    assert share > 75


def test_targets_that_are_all_cold_are_used_up_to_their_rate(play):
    share, arrivals = play(TARGETS, rate=240)
    assert 90 < _used_percent(arrivals) < 120
    assert 20 < share < 30
    assert max(map(_most_in_a_second, arrivals)) <= 1.5 * RATE + 2
