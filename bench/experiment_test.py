"""Tests of admission control under overload, simulated in virtual time.

Requests that run on one service make nested calls to another, and the load of
both exceeds their capacity. Admitted requests must finish in time, and more of
them than with the rule under test disabled.
"""

import pytest

from bench.experiment.loads import SLOTS, TARGETS, scale_load
from bench.experiment.policies import POLICIES
from bench.experiment.simulation import Simulation
from medlarhoist.core import admission

SECONDS = 15
SEEDS = (1, 2)


def _run(load, seed, policy='product'):
    simulation = Simulation(
        scale_load(load), TARGETS, SLOTS, seed, POLICIES[policy]
    )
    return simulation.run(SECONDS)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', [1.2, 1.5])
def test_few_requests_fail_because_their_nested_call_is_refused(load, seed):
    tally = _run(load, seed)['look-up']
    assert tally.failed < tally.total * 0.01
    without_nesting = _run(load, seed, 'nested alike')['look-up']
    assert without_nesting.failed > tally.failed


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', [1.2, 1.5])
def test_admitted_requests_finish_within_their_objective(
    monkeypatch, load, seed
):
    tally = _run(load, seed)['look-up']
    assert tally.late < (tally.late + tally.in_time) * 0.1
    monkeypatch.setattr(admission, 'TAIL_FACTOR', 1)
    without_margin = _run(load, seed)['look-up']
    assert without_margin.in_time < tally.in_time


@pytest.mark.parametrize('seed', SEEDS)
def test_higher_priority_requests_finish_within_their_objective(seed):
    tally = _run(1.5, seed)['booking']
    assert tally.late < (tally.late + tally.in_time) * 0.1


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', [1.2, 1.5])
def test_more_requests_are_in_time_than_with_a_plain_queue(load, seed):
    product, plain = _run(load, seed), _run(load, seed, 'plain queue')
    for kind in ('look-up', 'booking'):
        assert product[kind].in_time > plain[kind].in_time
