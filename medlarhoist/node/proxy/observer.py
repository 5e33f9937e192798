"""Observer: records how calls ended, by target and as evidence of versions.

What callers cause themselves (malformed bodies, slow reading, a deadline
shorter than the mean latency) counts neither against a target nor against a
version.
"""

import time
from typing import Final

from medlarhoist.core.headers import LOAD_HEADER, find_header
from medlarhoist.core.interfaces import CallRecorder
from medlarhoist.core.load_headers import parse_load
from medlarhoist.core.target_view import TargetView
from medlarhoist.core.verdict import SERVER_FAULT_STATUS, Verdict
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.call import Call
from medlarhoist.node.proxy.response import Response
from medlarhoist.node.proxy.target_selector import TargetSelector

MIN_HANG_S: Final = 1.0
FAIR_WAIT_FACTOR: Final = 2.0
GATEWAY_TIMEOUT_STATUS: Final = 504
_US_PER_SECOND: Final = 1_000_000


class Observer:
    """Records the results of attempts and calls that entered at this node."""

    __slots__ = ('_recorder', '_selector')

    def __init__(
        self,
        selector: TargetSelector,
        recorder: CallRecorder,
    ) -> None:
        """Start an observer.

        Args:
            selector: holds the views of targets to update.
            recorder: counts the results of calls by version, which are the
                evidence on new versions.
        """
        self._selector = selector
        self._recorder = recorder

    def record_response(
        self,
        call: Call,
        response: Response,
        *,
        is_complete: bool,
    ) -> None:
        """Record a response, which was passed on or failed part-way.

        A gateway timeout (504) counts only after a fair wait, since the
        caller's deadline may have been too short.

        Args:
            call: the call.
            response: the response of its last attempt.
            is_complete: whether the response is complete.
        """
        view = self._find_view(call)
        self._record_load(view, response)
        status = response.head.status
        if status == GATEWAY_TIMEOUT_STATUS and not self._had_fair_wait(call):
            return
        is_success = is_complete and status < SERVER_FAULT_STATUS
        took_s = call.processing_s(
            call.started,
            response.body.ended_at or time.monotonic(),
        )
        if is_success:
            view.record_success(took_s)
        else:
            view.record_failure(time.monotonic())
        self._record(call, took_s, succeeded=is_success, refused=False)

    def _record_load(self, view: TargetView, response: Response) -> None:
        load = parse_load(find_header(response.head.headers, LOAD_HEADER))
        if load is not None:
            view.record_load(load, time.monotonic())

    def record_failed_attempt(self, call: Call, failure: Failure) -> None:
        """Record an attempt that got no response, in the view of its target.

        Args:
            call: the call, which is updated as well.
            failure: how the attempt failed.
        """
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
        # Bytes may have been sent, but the request has certainly not run.
        call.request.progress.sent = False
        if failure.is_unreachable:
            view.record_no_connection(now)
        elif failure.load is None:
            view.record_refusal(now)

    def record_timeout(self, call: Call) -> None:
        """Record an attempt that was ended by the call's deadline."""
        if call.target is None or call.body.is_awaited:
            return
        if self._had_fair_wait(call):
            self._find_view(call).record_failure(time.monotonic())

    def record_disconnect(self, call: Call) -> None:
        """Record that a caller disconnected before its response began.

        After MIN_HANG_S it counts as a failed call. Otherwise a version that
        hangs would leave no evidence, as callers give up before the deadline.
        A caller that has not sent its whole body says nothing of the target.
        """
        if call.body.is_awaited:
            return
        waited_s = time.monotonic() - call.started
        if call.request.progress.sent and waited_s >= MIN_HANG_S:
            self._find_view(call).record_failure(time.monotonic())
            self._record(call, waited_s, succeeded=False, refused=False)

    def record_failed_call(self, call: Call, failure: Failure) -> None:
        """Record a call that ended without a response."""
        if not self._is_evidence(call, failure):
            return
        self._record(
            call,
            time.monotonic() - call.started,
            succeeded=False,
            refused=failure.verdict is Verdict.DID_NOT_RUN,
        )

    def _is_evidence(self, call: Call, failure: Failure) -> bool:
        """Return whether a failure counts against the target or the version.

        It does not if the request body was faulty or incomplete, or if the
        deadline passed before a fair wait.
        """
        if call.body.fault is not None or call.body.is_awaited:
            return False
        return failure.status != GATEWAY_TIMEOUT_STATUS or self._had_fair_wait(
            call
        )

    def _had_fair_wait(self, call: Call) -> bool:
        """Return whether the call waited for twice the target's latency.

        The latency is the mean that this node has observed. Return True for a
        call without an attempt.
        """
        if call.target is None:
            return True
        waited_s = time.monotonic() - call.started
        return waited_s >= FAIR_WAIT_FACTOR * self._find_view(call).latency_s

    def _find_view(self, call: Call) -> TargetView:
        """Return the view of the call's target.

        Without a target or a view, return a new one that is not kept.
        """
        address = call.target.address if call.target else ''
        return self._selector.views.get(address) or TargetView()

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
            call.target.label if call.target else call.label,
            succeeded=succeeded,
            refused=refused,
            latency_us=int(took_s * _US_PER_SECOND),
        )
