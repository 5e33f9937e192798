"""Tests of which responses belong to no request.

Guards against bytes of a faulty target that are taken for the response to the
next request on their connection.
"""

import pytest

from medlarhoist.core.answer_ids import AnswerIds
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.core.headers import REQUEST_HEADER

NAMES = HeaderNames(request_id=b'x-id', refusal=b'x-refused')
SENT = [(b'x-id', b'1'), (REQUEST_HEADER, b'n-1')]
SENT_WITHOUT_ID = [(REQUEST_HEADER, b'n-1')]
ECHO = [(b'x-id', b'1')]
REFUSAL = [(b'x-refused', b'1')]


@pytest.mark.parametrize(
    ('sent', 'status', 'received', 'is_fault'),
    [
        (SENT, 200, ECHO, False),
        (SENT, 200, [], True),
        (SENT, 503, [], True),
        (SENT, 503, REFUSAL, True),
        (SENT, 503, [*ECHO, *REFUSAL], False),
        (SENT, 200, [(b'x-id', b'2')], True),
        (SENT, 200, [(REQUEST_HEADER, b'n-2')], True),
        (SENT_WITHOUT_ID, 200, [], False),
        (SENT_WITHOUT_ID, 400, REFUSAL, True),
    ],
)
def test_a_run_that_has_echoed_ids_answers_with_them(
    sent, status, received, is_fault
):
    ids = AnswerIds(NAMES)
    assert ids.find_fault(SENT, 200, ECHO) == ''
    assert bool(ids.find_fault(sent, status, received)) is is_fault


@pytest.mark.parametrize('received', [[], REFUSAL])
def test_a_run_that_has_echoed_none_is_believed(received):
    ids = AnswerIds(NAMES)
    ids.find_fault(SENT, 200, ECHO)
    ids.start_run()
    assert ids.find_fault(SENT, 503, received) == ''
