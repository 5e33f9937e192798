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


def _view(*acks, silent_seconds=0):
    return DomainView(keepers=3, acks=acks, silent_seconds=silent_seconds)


STAGED_BY_ALL = _view(_ack(2), _ack(2))


def test_a_version_is_activated_once_all_domains_have_staged_it():
    assert decide(
        5, {'a': STAGED_BY_ALL, 'b': STAGED_BY_ALL}, 0, 1
    ) == Activate(version=5, at_ms=1)
    assert decide(5, {}, 0, 1) == Activate(version=5, at_ms=1)


@pytest.mark.parametrize(
    'lagging',
    [_view(_ack(2), _ack(1)), _view(_ack(2)), _view()],
)
def test_the_decision_waits_for_a_reachable_domain_that_lags(lagging):
    assert decide(5, {'a': STAGED_BY_ALL, 'b': lagging}, 0, 1) is None


def test_activation_after_the_wait_names_what_has_not_staged_the_version():
    lagging = _view(_ack(2), _ack(1, lagging=('b7',)))
    views = {'a': STAGED_BY_ALL, 'b': lagging, 'c': _view()}
    command = decide(5, views, STAGE_TIMEOUT_SECONDS, 1)
    assert command.absent == ('b/b7', 'c')


def test_the_decision_does_not_wait_for_an_unavailable_domain():
    views = {
        'a': STAGED_BY_ALL,
        'c': _view(silent_seconds=UNAVAILABLE_SECONDS + 1),
    }
    assert decide(5, views, 0, 1).absent == ('c',)


def test_a_single_refusal_abandons_the_version():
    views = {
        'a': STAGED_BY_ALL,
        'b': _view(_ack(1, refusals=(FAULT,)), _ack(2)),
    }
    command = decide(5, views, 0, 1)
    assert command == Abandon(version=5, at_ms=1, faults=(FAULT,))
