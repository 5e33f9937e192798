"""Tests that fingerprints tell requests apart, whatever their ids are."""

import pytest

from medlarhoist.core.fingerprint import make_fingerprint, make_fingerprint_key

KEY = make_fingerprint_key('a shared key of the mesh')
HEADERS = ((b'host', b'a.example'), (b'authorization', b'Token k'))
REQUEST = ((b'GET', b'/seats/1'), HEADERS, (b'body', 4))


def test_the_same_request_has_the_same_fingerprint_under_another_id():
    target, headers, body = REQUEST
    again = ((b'x-request-id', b'2'), *headers, (b'x-deadline-ms', b'9'))
    assert make_fingerprint(KEY, target, again, body) == make_fingerprint(
        KEY, *REQUEST
    )


@pytest.mark.parametrize(
    'other',
    [
        ((b'PUT', b'/seats/1'), HEADERS, (b'body', 4)),
        ((b'GET', b'/seats/1?'), HEADERS, (b'body', 4)),
        ((b'GET', b'/seats/1'), HEADERS[:1], (b'body', 4)),
        ((b'GET', b'/seats/1'), ((b'host', b'b'), HEADERS[1]), (b'body', 4)),
        ((b'GET', b'/seats/1'), HEADERS, (b'Body', 4)),
        ((b'GET', b'/seats/1'), HEADERS, (b'body', 5000)),
        # The same bytes, divided in another way.
        ((b'GE', b'T/seats/1'), HEADERS, (b'body', 4)),
    ],
)
def test_other_requests_have_other_fingerprints(other):
    assert make_fingerprint(KEY, *other) != make_fingerprint(KEY, *REQUEST)


def test_fingerprints_cannot_be_made_without_the_key():
    other = make_fingerprint_key('another key of a mesh')
    assert make_fingerprint(other, *REQUEST) != make_fingerprint(KEY, *REQUEST)
