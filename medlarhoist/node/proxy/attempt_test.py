"""Tests of what a caller is told of a call that had several attempts."""

import pytest

from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure, failure_for_caller


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_a_request_that_may_have_run_is_not_told_to_be_refused(status):
    """Its first attempt failed on a target, the second one was refused."""
    last = Failure(Verdict.DID_NOT_RUN, 'no slot', status, return_s=0.2)
    told = failure_for_caller(last, Verdict.MAY_HAVE_RUN)
    assert (told.status, told.return_s) == (502, 0)
    assert told.verdict is Verdict.MAY_HAVE_RUN


def test_a_request_that_surely_did_not_run_may_come_back():
    last = Failure(Verdict.DID_NOT_RUN, 'no slot', return_s=0.2)
    assert failure_for_caller(last, Verdict.DID_NOT_RUN) == last


def test_other_statuses_promise_nothing_and_stay():
    last = Failure(Verdict.MAY_HAVE_RUN, 'deadline is over', 504)
    assert failure_for_caller(last, Verdict.MAY_HAVE_RUN) == last
