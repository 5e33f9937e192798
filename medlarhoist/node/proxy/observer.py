"""Observer: turns how calls ended into views of targets and evidence.

What callers cause themselves (malformed bodies, reading slowly, a deadline
shorter than the usual answer) says nothing of a target or a version.
"""

import time
from typing import Final

from medlarhoist.core.balance import TargetView
from medlarhoist.core.headers import LOAD_HEADER, find_header
from medlarhoist.core.interfaces import CallRecorder
from medlarhoist.core.load_headers import parse_load
from medlarhoist.core.verdict import SERVER_FAULT_STATUS, Verdict
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.call import Call
from medlarhoist.node.proxy.client import Answer
from medlarhoist.node.proxy.target_selector import Choice

LONG_WAIT_S: Final = 1.0
FAIR_WAIT: Final = 2.0
LATE_STATUS: Final = 504
_US_PER_SECOND: Final = 1_000_000


class Observer:
    """Notes the ends of attempts and calls."""

    __slots__ = ('_choice', '_recorder')

    def __init__(self, choice: Choice, recorder: CallRecorder) -> None:
        """Note into the views of a choice and into a recorder."""
        self._choice = choice
        self._recorder = recorder

    def note_answer(self, call: Call, answer: Answer, *, whole: bool) -> None:
        """Note an answer that was passed on, or broke off."""
        view = self._find_view(call)
        self._note_load(view, answer)
        status = answer.head.status
        if status == LATE_STATUS and not self._was_fair(call):
            return
        is_good = whole and status < SERVER_FAULT_STATUS
        if is_good:
            view.record_success(answer.ended_at - call.started)
        else:
            view.record_failure(time.monotonic())
        took_s = (answer.ended_at or time.monotonic()) - call.started
        self._record(call, took_s, succeeded=is_good, refused=False)

    def _note_load(self, view: TargetView, answer: Answer) -> None:
        told = parse_load(find_header(answer.head.headers, LOAD_HEADER))
        if told is not None:
            view.record_load(told, time.monotonic())

    def note_attempt(self, call: Call, failure: Failure) -> None:
        """Note an attempt without an answer."""
        view = self._find_view(call)
        now = time.monotonic()
        if failure.load is not None:
            view.record_load(failure.load, now)
        if failure.verdict is not Verdict.DID_NOT_RUN:
            call.may_have_run = True
            if failure.is_unreachable:
                view.record_no_connection(now)
            elif self._is_evidence(call, failure):
                view.record_failure(now)
            return
        call.request.progress.sent = False
        if failure.is_unreachable:
            view.record_no_connection(now)
        elif failure.load is None:
            view.record_refusal(now)

    def note_timeout(self, call: Call) -> None:
        """Note that the deadline ended an attempt."""
        if call.last is not None and self._was_fair(call):
            self._find_view(call).record_failure(time.monotonic())

    def note_leaving(self, call: Call) -> None:
        """Note a caller that left before its answer began.

        After a long wait it counts as a failed call: a version that hangs
        would otherwise show nothing, since callers leave before its deadline.
        """
        waited_s = time.monotonic() - call.started
        if call.request.progress.sent and waited_s >= LONG_WAIT_S:
            self._find_view(call).record_failure(time.monotonic())
            self._record(call, waited_s, succeeded=False, refused=False)

    def note_end(self, call: Call, failure: Failure) -> None:
        """Note a call that ended without an answer."""
        if not self._is_evidence(call, failure):
            return
        self._record(
            call,
            time.monotonic() - call.started,
            succeeded=False,
            refused=failure.verdict is Verdict.DID_NOT_RUN,
        )

    def _is_evidence(self, call: Call, failure: Failure) -> bool:
        if call.source.fault is not None:
            return False
        return failure.status != LATE_STATUS or self._was_fair(call)

    def _was_fair(self, call: Call) -> bool:
        """Say whether the target had twice the time that it usually takes."""
        if call.last is None:
            return True
        waited_s = time.monotonic() - call.started
        return waited_s >= FAIR_WAIT * self._find_view(call).latency_s

    def _find_view(self, call: Call) -> TargetView:
        address = call.last.address if call.last else ''
        return self._choice.views.get(address) or TargetView()

    def _record(
        self,
        call: Call,
        took_s: float,
        *,
        succeeded: bool,
        refused: bool,
    ) -> None:
        self._recorder.record(
            (call.service, call.route.name),
            call.last.label if call.last else call.label,
            succeeded=succeeded,
            refused=refused,
            latency_us=int(took_s * _US_PER_SECOND),
        )
