"""Tests of the failure that is reported after several attempts."""

import pytest

from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import (
    REPLAY_LIMIT_BYTES,
    Failure,
    ReplayableBody,
    failure_for_caller,
)
from medlarhoist.node.proxy.body import Body


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_a_request_that_may_have_run_is_not_reported_as_refused(status):
    """The first attempt failed on a target, the last one was refused."""
    last = Failure(Verdict.DID_NOT_RUN, 'no slot', status, return_s=0.2)
    reported = failure_for_caller(last, Verdict.MAY_HAVE_RUN)
    assert (reported.status, reported.return_s) == (502, 0)
    assert reported.verdict is Verdict.MAY_HAVE_RUN


def test_the_refusal_of_a_request_that_did_not_run_is_unchanged():
    last = Failure(Verdict.DID_NOT_RUN, 'no slot', return_s=0.2)
    assert failure_for_caller(last, Verdict.DID_NOT_RUN) == last


def test_statuses_that_assure_nothing_are_unchanged():
    last = Failure(Verdict.MAY_HAVE_RUN, 'deadline is over', 504)
    assert failure_for_caller(last, Verdict.MAY_HAVE_RUN) == last


@pytest.mark.parametrize(
    ('size', 'is_short'),
    [(0, True), (REPLAY_LIMIT_BYTES, True), (REPLAY_LIMIT_BYTES + 1, False)],
)
def test_a_body_that_could_not_be_sent_again_is_not_short(size, is_short):
    """Such a body is sent only when its receiver asks for it."""
    body = Body(lambda is_on: None)
    body.feed(bytes(size))
    assert not ReplayableBody(body).is_short
    body.end()
    assert ReplayableBody(body).is_short is is_short
