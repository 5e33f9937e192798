"""Tests of how the client retries a request at other sources."""

import pytest
from msgspec import json

from medlarhoist.core.api_messages import ApplyRequest, ErrorResponse
from medlarhoist.core.command import Outcome, Status
from medlarhoist.core.resource import Change, Key
from medlarhoist.core.verdict import Verdict
from medlarhoist.ops import client as client_module
from medlarhoist.ops.client import Reply, create_client
from medlarhoist.source.api_write import build_apply_response

DELETE = Change(key=Key('route', 'r'), resource=None)
REQUEST = ApplyRequest(request_id='request-1', changes=(DELETE,))
NO_REPLY = Reply(status=0, body=b'timeout', verdict=Verdict.MAY_HAVE_RUN)
UNREACHABLE = Reply(status=0, body=b'refused')


def outcome_reply(status, outcome_status):
    outcome = Outcome(status=outcome_status, version=3)
    return Reply(
        status=status,
        body=json.encode(build_apply_response('request-1', outcome)),
    )


def redirect(leader):
    error = ErrorResponse(
        message='another source leads',
        verdict=Verdict.DID_NOT_RUN,
        leader=leader,
    )
    return Reply(status=421, body=json.encode(error))


ACCEPTED = outcome_reply(200, Status.ACCEPTED)
BUSY = outcome_reply(503, Status.BUSY)
PENDING = outcome_reply(202, Status.PENDING)
DENIED = Reply(status=401, body=b'{}')


@pytest.fixture
def send(monkeypatch):
    """Send a request to servers that return the given replies in turn.

    The last reply is repeated. Returns the reply of the client and the servers
    that it tried.
    """

    def run(*replies):
        remaining = list(replies)
        servers = []

        def exchange(server, *request):
            servers.append(server)
            return remaining.pop(0) if len(remaining) > 1 else remaining[0]

        monkeypatch.setattr(client_module, '_exchange', exchange)
        client = create_client(('s1', 's2', 's3'), '', 0, lambda _: None)
        return client.apply(REQUEST), servers

    return run


def test_the_next_source_is_tried_if_one_is_unreachable(send):
    reply, servers = send(UNREACHABLE, ACCEPTED)
    assert (reply, servers) == (ACCEPTED, ['s1', 's2'])


def test_the_leader_of_a_redirect_is_tried_next(send):
    reply, servers = send(redirect('s3'), ACCEPTED)
    assert (reply, servers) == (ACCEPTED, ['s1', 's3'])


def test_a_pending_request_is_resent(send):
    assert send(PENDING, ACCEPTED)[0] == ACCEPTED
    assert send(PENDING)[0] == PENDING


@pytest.mark.parametrize('last', [BUSY, UNREACHABLE, redirect(''), DENIED])
def test_a_refusal_after_a_missing_reply_keeps_its_verdict(send, last):
    assert send(NO_REPLY, last)[0].verdict is Verdict.MAY_HAVE_RUN
    assert send(last)[0].verdict is Verdict.DID_NOT_RUN
