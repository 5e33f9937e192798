"""Tests of the decision to activate or abandon a staged version."""

import pytest

from medlarhoist.core.command import Abandon, Activate
from medlarhoist.core.resource import Fault
from medlarhoist.source.distributor_plan import (
    STAGE_TIMEOUT_SECONDS,
    UNAVAILABLE_SECONDS,
    DomainView,
    decide,
)
from medlarhoist.wire.message import Ack

FAULT = Fault(source='route/r', message='is bad')


def _ack(staged, nodes=2, **more):
    return Ack(version=5, staged=staged, active=0, nodes=nodes, **more)


def _view(*acks, silent=0):
    return DomainView(keepers=3, acks=acks, silent_seconds=silent)


ALL = _view(_ack(2), _ack(2))


def test_a_version_is_activated_once_all_have_staged_it():
    assert decide(5, {'a': ALL, 'b': ALL}, 0, 1) == Activate(version=5, at_ms=1)
    assert decide(5, {}, 0, 1) == Activate(version=5, at_ms=1)


@pytest.mark.parametrize(
    'behind',
    [_view(_ack(2), _ack(1)), _view(_ack(2)), _view()],
)
def test_a_domain_that_is_behind_is_waited_for(behind):
    assert decide(5, {'a': ALL, 'b': behind}, 0, 1) is None


def test_after_the_wait_those_that_were_not_reached_are_named():
    behind = _view(_ack(2), _ack(1, lagging=('b7',)))
    views = {'a': ALL, 'b': behind, 'c': _view()}
    decided = decide(5, views, STAGE_TIMEOUT_SECONDS, 1)
    assert decided.absent == ('b/b7', 'c')


def test_a_domain_that_is_long_away_is_not_waited_for():
    views = {'a': ALL, 'c': _view(silent=UNAVAILABLE_SECONDS + 1)}
    assert decide(5, views, 0, 1).absent == ('c',)


def test_one_refusal_abandons_the_version():
    views = {'a': ALL, 'b': _view(_ack(1, refusals=(FAULT,)), _ack(2))}
    decided = decide(5, views, 0, 1)
    assert decided == Abandon(version=5, at_ms=1, faults=(FAULT,))
