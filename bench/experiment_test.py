"""The load of a day of high load, replayed in virtual time.

A service is called by requests that run on another one, and both get more
than they can carry. The bounds are the aims: what is let in is served, and
the more so the better than without the rule.
"""

import pytest

from bench.experiment.loads import SLOTS, TARGETS, scale_load
from bench.experiment.policies import POLICIES
from bench.experiment.simulation import World
from medlarhoist.core import admission

SECONDS = 15
SEEDS = (1, 2)


def _run(load, seed, policy='product'):
    world = World(scale_load(load), TARGETS, SLOTS, seed, POLICIES[policy])
    return world.run(SECONDS)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', [1.2, 1.5])
def test_no_request_fails_by_a_call_of_its_own(load, seed):
    tally = _run(load, seed)['look-up']
    assert tally.failed < tally.total * 0.01
    alike = _run(load, seed, 'nested alike')['look-up']
    assert alike.failed > tally.failed


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', [1.2, 1.5])
def test_what_is_let_in_ends_in_time(monkeypatch, load, seed):
    tally = _run(load, seed)['look-up']
    assert tally.late < (tally.late + tally.in_time) * 0.1
    monkeypatch.setattr(admission, 'TAIL_FACTOR', 1)
    without = _run(load, seed)['look-up']
    assert without.in_time < tally.in_time


@pytest.mark.parametrize('seed', SEEDS)
def test_the_more_urgent_are_served_within_their_objective(seed):
    tally = _run(1.5, seed)['booking']
    assert tally.late < (tally.late + tally.in_time) * 0.1


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', [1.2, 1.5])
def test_more_is_served_in_time_than_by_a_plain_queue(load, seed):
    product, plain = _run(load, seed), _run(load, seed, 'plain queue')
    for kind in ('look-up', 'booking'):
        assert product[kind].in_time > plain[kind].in_time
