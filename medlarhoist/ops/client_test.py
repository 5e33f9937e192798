"""Tests of how the client goes from source to source."""

import pytest
from msgspec import json

from medlarhoist.core.api_messages import ApplyRequest, Problem
from medlarhoist.core.command import Outcome, Status
from medlarhoist.core.resource import Change, Key
from medlarhoist.core.verdict import Verdict
from medlarhoist.ops import client as client_module
from medlarhoist.ops.client import Reply, create_client
from medlarhoist.source.api_write import answer_outcome

DELETE = Change(key=Key('route', 'r'), resource=None)
REQUEST = ApplyRequest(request_id='request-1', changes=(DELETE,))
LOST = Reply(status=0, body=b'lost', verdict=Verdict.MAY_HAVE_RUN)
UNREACHABLE = Reply(status=0, body=b'refused')


def answer(status, outcome_status):
    outcome = Outcome(status=outcome_status, version=3)
    return Reply(
        status=status,
        body=json.encode(answer_outcome('request-1', outcome)),
    )


def redirect(leader):
    problem = Problem(
        message='another source leads',
        verdict=Verdict.DID_NOT_RUN,
        leader=leader,
    )
    return Reply(status=421, body=json.encode(problem))


ACCEPTED = answer(200, Status.ACCEPTED)
BUSY = answer(503, Status.BUSY)
PENDING = answer(202, Status.PENDING)
DENIED = Reply(status=401, body=b'{}')


@pytest.fixture
def talk(monkeypatch):
    """Send a request to servers that give these replies, one by one."""

    def run(*replies):
        left = list(replies)
        asked = []

        def exchange(server, *request):
            asked.append(server)
            return left.pop(0) if len(left) > 1 else left[0]

        monkeypatch.setattr(client_module, '_exchange', exchange)
        client = create_client(('s1', 's2', 's3'), '', 0, lambda _: None)
        return client.apply(REQUEST), asked

    return run


def test_the_next_source_is_asked_where_one_is_away(talk):
    reply, asked = talk(UNREACHABLE, ACCEPTED)
    assert (reply, asked) == (ACCEPTED, ['s1', 's2'])


def test_the_leader_that_is_named_is_asked_next(talk):
    reply, asked = talk(redirect('s3'), ACCEPTED)
    assert (reply, asked) == (ACCEPTED, ['s1', 's3'])


def test_a_pending_request_is_resent(talk):
    assert talk(PENDING, ACCEPTED)[0] == ACCEPTED
    assert talk(PENDING)[0] == PENDING


@pytest.mark.parametrize('last', [BUSY, UNREACHABLE, redirect(''), DENIED])
def test_after_a_lost_answer_no_refusal_is_believed(talk, last):
    assert talk(LOST, last)[0].verdict is Verdict.MAY_HAVE_RUN
    assert talk(last)[0].verdict is Verdict.DID_NOT_RUN
