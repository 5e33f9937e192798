"""Local: admits calls to the target beside this node and sends them.

Every call to the target passes through here, whether it comes from a caller
of this node or from another node. A call that is refused here has not been
sent to the target.
"""

import time
from collections.abc import Callable
from random import Random
from typing import Final

from msgspec import structs

from medlarhoist.core.admission import Load, retry_after_seconds
from medlarhoist.core.answer_ids import AnswerIds
from medlarhoist.core.condition import (
    Condition,
    RunCondition,
    read_condition,
)
from medlarhoist.core.header_names import (
    HeaderNames,
    is_refusal,
    read_request_id,
)
from medlarhoist.core.presence import is_same_run
from medlarhoist.core.quarantine import shows_completion
from medlarhoist.core.resource import Service
from medlarhoist.core.target import TargetNotice, TargetPhase
from medlarhoist.core.verdict import SERVER_FAULT_STATUS, Verdict
from medlarhoist.node.proxy.attempt import Failure, Request
from medlarhoist.node.proxy.call_log import log_limit, log_refusal
from medlarhoist.node.proxy.cold_target import ColdTarget
from medlarhoist.node.proxy.failed_run import (
    settle_failed_run,
    settle_lost_response,
)
from medlarhoist.node.proxy.forwarded import ForwardedCall
from medlarhoist.node.proxy.pool import ConnectionPool, send_request
from medlarhoist.node.proxy.response import Response
from medlarhoist.node.proxy.running import RunningRequests
from medlarhoist.node.proxy.slots import Slots
from medlarhoist.node.proxy.suspects import SuspectRun, TargetSuspects
from medlarhoist.node.proxy.target_headers import add_target_headers

DOMAIN_IS_DRAINED: Final = 'failure domain is drained'
_FindService = Callable[[str], Service | None]


class LocalTarget:
    """The target on the same VM, with its slots and its queue.

    Args:
        mismatched: responses that did not belong to their request.
        malformed: responses that were no HTTP, or had bytes after their end.
        refused: calls that this node refused without sending them.
        refused_by_drain: those refused as the failure domain is drained.
        refused_cold: those of them that a cold target had no turn for.
        cold: whether the target is cold.
        running: the requests that the target is processing.
        on_leaving: called with the key of a run that states that it leaves.
        stated: what the present run of the target has stated of itself.
        suspects: the requests that are suspected to crash the target.
    """

    __slots__ = (
        '_answer_ids',
        '_find_service',
        '_header_names',
        '_notice',
        '_no_calls_reason',
        '_pool',
        '_rng',
        '_slots',
        'cold',
        'malformed',
        'mismatched',
        'on_leaving',
        'refused',
        'refused_by_drain',
        'refused_cold',
        'running',
        'stated',
        'suspects',
    )

    def __init__(
        self,
        find_service: _FindService,
        header_names: HeaderNames,
        suspects: TargetSuspects,
    ) -> None:
        """Start without a target.

        Args:
            find_service: returns a service of the configuration in force by
                its name, None if there is none.
            header_names: names of the headers that the target uses.
            suspects: the requests that are suspected to crash the target.
        """
        self.suspects = suspects
        self._header_names = header_names
        self._answer_ids = AnswerIds(header_names)
        self._rng = Random()  # noqa: S311  spreads retries only
        self._find_service = find_service
        self._notice: TargetNotice | None = None
        self._pool = ConnectionPool('', self._count_malformed)
        self.running = RunningRequests()
        self._slots = Slots(self._count_slots)
        # Why all calls are refused, empty while they are not.
        self._no_calls_reason = ''
        self.cold = ColdTarget(find_service, self._slots.set_cold)
        self.on_leaving: Callable[[str], None] = _ignore
        self.stated = RunCondition(self._apply_condition)
        self.refused = 0
        self.refused_by_drain = 0
        self.refused_cold = 0
        self.mismatched = 0
        self.malformed = 0

    @property
    def load(self) -> Load:
        """Return the present load."""
        return self._slots.load

    @property
    def peak(self) -> int:
        """Return the highest number of slots ever in use at once."""
        return self._slots.peak

    def set_notice(self, notice: TargetNotice | None) -> None:
        """Update to the target's own notice of its address and phase.

        Waiting calls are refused if the target is not ready. Connections are
        replaced if another run of a target has begun.

        Args:
            notice: the notice, None if there is no target any more.
        """
        before = self._notice
        self._notice = notice
        if notice is None or notice.phase is not TargetPhase.READY:
            self._slots.refuse_waiters()
        if notice is None:
            self.cold.stop()
            return
        self.suspects.address = notice.address
        self.stated.start_run(notice.run_key)
        is_new_run = before is None or not is_same_run(before, notice)
        self.cold.set_notice(notice, is_new_run=is_new_run)
        if is_new_run:
            self.suspects.start_run()
            self._answer_ids.start_run()
            self._pool.close_idle()
            self._pool = ConnectionPool(
                notice.address,
                self._count_malformed,
            )

    def refuse_calls(self, reason: str) -> None:
        """Refuse waiting and new calls; an empty reason ends this."""
        self._no_calls_reason = reason
        if reason:
            self._slots.refuse_waiters()

    async def send(
        self,
        request: Request,
        call: ForwardedCall,
    ) -> Response | Failure:
        """Send a call to the target when it has a slot, or refuse it.

        Args:
            request: what is sent.
            call: service, version and requirements of the call.

        Returns:
            The response, whose close must be called, or the failure.
        """
        caller_id = read_request_id(self._header_names, request.headers)
        request = structs.replace(request, caller_id=caller_id)
        self.stated.adopt(call.condition)
        if call.suspicion is not None:
            known = (call.suspicion,)
            self.suspects.quarantine.merge(known, time.monotonic())
        while True:
            refusal = await self.suspects.await_turn(request, call.need.due)
            if refusal is not None:
                left_s = call.deadline - time.monotonic()
                log_refusal(caller_id, refusal.reason, self.load, left_s)
                return refusal
            reason = await self._acquire_slot(call)
            if reason:
                self.refused += 1
                self.refused_by_drain += reason == DOMAIN_IS_DRAINED
                load = self.load
                left_s = call.deadline - time.monotonic()
                log_refusal(caller_id, reason, load, left_s)
                return Failure(
                    Verdict.DID_NOT_RUN,
                    reason,
                    load=load,
                    return_s=retry_after_seconds(load, self._rng),
                    condition=self.stated.known,
                )
            run = await self.suspects.begin(request, self._slots.release)
            if run is None:
                continue
            if not self._find_refusal_reason(call):
                return await self._run(request, call, run)
            # The target has changed while the body was awaited.
            self.suspects.end(run)
            self._slots.release()

    async def _run(
        self,
        request: Request,
        call: ForwardedCall,
        run: SuspectRun,
    ) -> Response | Failure:
        """Send a request that has a slot."""
        started = time.monotonic()
        run_key = self.stated.run_key
        run_id = self._notice.run_id if self._notice else ''
        sent = add_target_headers(request, call, self._header_names, run_id)
        self.running.add(request.caller_id, call.account, call.deadline)
        try:
            outcome = await send_request(self._pool, sent)
        except BaseException:
            self._slots.release_later()
            self.suspects.end(run)
            self.running.end(request.caller_id, is_lost=True)
            raise
        # Nested calls are made before the response, not after it.
        is_lost = isinstance(outcome, Failure)
        self.running.end(request.caller_id, is_lost=is_lost)
        if isinstance(outcome, Failure):
            return await settle_failed_run(
                outcome,
                run,
                self._slots,
                self.suspects,
                None if self._pool.is_full else self.cold,
            )
        response = outcome

        def finish(is_whole: bool) -> None:  # noqa: WPS430
            status = response.head.status
            self._slots.finish(
                call.need,
                started,
                is_whole=is_whole,
                # Quick failures must not lower the mean time of a call.
                is_sample=status < SERVER_FAULT_STATUS,
            )
            if response.body.is_lost:
                settle_lost_response(self.suspects, run)
            else:
                has_completed = is_whole and shows_completion(status)
                self.suspects.end(run, has_completed=has_completed)

        response.on_finished(finish)
        return self._check_response(response, sent, run_key)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long.

        Args:
            now: seconds of the monotonic clock.
        """
        self._pool.sweep(now)

    def close(self) -> None:
        """Refuse waiting calls and abort all connections to the target."""
        self._slots.refuse_waiters()
        self.cold.stop()
        self._pool.close()

    def _count_malformed(self) -> None:
        self.malformed += 1

    def _count_slots(self) -> int:
        """Return the number of the target's slots, zero without a target.

        The service may set a lower number than the target announces.
        """
        notice = self._notice
        if notice is None:
            return 0
        service = self._find_service(notice.service)
        if service is None:
            return notice.slots
        self._pool.limit = service.connections
        return min(notice.slots, service.slots)

    def _check_response(
        self,
        response: Response,
        sent: Request,
        run_key: str,
    ) -> Response | Failure:
        head = response.head
        fault = self._answer_ids.find_fault(
            sent.headers, head.status, head.headers
        )
        if fault:
            self.mismatched += 1
            response.discard()
            return Failure(Verdict.MAY_HAVE_RUN, fault, 502)
        self.stated.record(
            read_condition(self._header_names, run_key, head.headers)
        )
        if is_refusal(self._header_names, head.status, head.headers):
            response.close()
            return Failure(
                Verdict.DID_NOT_RUN,
                'refused by the target',
                has_arrived=True,
                condition=self.stated.known,
            )
        return response

    async def _acquire_slot(self, call: ForwardedCall) -> str:
        """Acquire a slot; return why it is refused, or '' for a slot."""
        reason = self._find_refusal_reason(call)
        if reason:
            return reason
        if not await self._slots.acquire(call.need):
            load = self._slots.load
            self.refused_cold += load.cold_s > 0
            return self._no_calls_reason or _explain_full(load)
        # During the wait the target may have been replaced by another one.
        reason = self._find_refusal_reason(call)
        if reason:
            self._slots.release()
        return reason

    def _find_refusal_reason(self, call: ForwardedCall) -> str:
        """Return why the target cannot take a call, or '' if it can."""
        notice = self._notice
        if self._no_calls_reason:
            return self._no_calls_reason
        if notice is None:
            return 'no target here'
        if notice.service != call.service:
            return 'a target of another service is here'
        if call.label not in {'', notice.label}:
            return 'another target is here'
        if notice.phase is not TargetPhase.READY:
            return f'target is {notice.phase}'
        return 'target is leaving' if self.stated.condition.is_leaving else ''

    def _apply_condition(self, condition: Condition) -> None:
        if self._slots.set_rate(condition.rate):
            log_limit(condition)
        if condition.is_leaving:
            self._slots.refuse_waiters()
            self.on_leaving(condition.run_key)


def _explain_full(load: Load) -> str:
    if load.cold_s:
        return 'target is cold'
    return 'over the limit of the target' if load.delay_s else 'no slot'


def _ignore(run_key: str) -> None:
    """Ignore that a run leaves."""
