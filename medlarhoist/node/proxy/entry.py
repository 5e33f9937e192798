"""Entry: handles the calls of callers, from the request to the response.

A call is routed once, by one configuration. Another attempt is made only if
the request did not run for certain or is idempotent (core.verdict), within
the retry budget and the deadline.
"""

import asyncio
import time
from random import Random
from typing import Final

from medlarhoist.core.balance import SelectionContext
from medlarhoist.core.budget import RetryBudgets
from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import (
    find_parent_id,
    read_request_id,
)
from medlarhoist.core.headers import Header, find_header
from medlarhoist.core.resource import Route
from medlarhoist.core.retry import is_retryable
from medlarhoist.core.route_average import RouteAverages
from medlarhoist.core.split import Splitter
from medlarhoist.core.target import Target
from medlarhoist.core.verdict import Verdict, may_retry
from medlarhoist.node.proxy.attempt import Failure, failure_for_caller
from medlarhoist.node.proxy.call import Call, find_body_failure
from medlarhoist.node.proxy.call_log import (
    log_end,
    log_failed_attempt,
    log_unrouted,
)
from medlarhoist.node.proxy.exchange import Exchange
from medlarhoist.node.proxy.forwarded import ForwardedCall
from medlarhoist.node.proxy.parts import ProxyParts
from medlarhoist.node.proxy.reader import Head
from medlarhoist.node.proxy.relay import refuse, relay
from medlarhoist.node.proxy.remote import read_reported_condition
from medlarhoist.node.proxy.response import Response

# Targets that one call is sent to, including those that refuse it.
MAX_TARGETS_TRIED: Final = 4
_MS_PER_SECOND: Final = 1000
_NO_CONFIGURATION: Final = Failure(
    Verdict.DID_NOT_RUN,
    'no configuration yet',
)
_NO_ROUTE: Final = Failure(Verdict.DID_NOT_RUN, 'no route', 404)
_NO_TARGET: Final = Failure(Verdict.DID_NOT_RUN, 'no live target')
_TARGET_FAILED: Final = Failure(
    Verdict.MAY_HAVE_RUN,
    'target failed',
    502,
)
_TOO_LATE: Final = Failure(Verdict.DID_NOT_RUN, 'deadline was over')
_STOPPING: Final = Failure(Verdict.DID_NOT_RUN, 'node is stopping')


class EntryService:
    """Handles the requests of the entry listener.

    Args:
        is_closing: whether calls get no further attempt.
        is_draining: whether new calls are refused.
        retries: number of attempts after the first attempt of a call.
    """

    __slots__ = (
        '_budgets',
        '_added_headers',
        '_attempt_count',
        '_parts',
        '_id_prefix',
        '_splitter',
        '_route_averages',
        'is_closing',
        'is_draining',
        'retries',
    )

    def __init__(self, parts: ProxyParts) -> None:
        """Start without calls.

        Args:
            parts: the parts of the proxy that calls pass through.
        """
        self._parts = parts
        origin = parts.header_names.origin
        self._added_headers: tuple[Header, ...] = (
            ((origin, parts.service.encode()),) if origin else ()
        )
        self._route_averages = RouteAverages()
        self._budgets = RetryBudgets()
        self._attempt_count = 0
        self._splitter = Splitter(Random())  # noqa: S311  spreads load only
        started_ms = int(time.time() * _MS_PER_SECOND)
        self._id_prefix = f'{parts.name}-{started_ms:x}'
        self.is_closing = False
        self.is_draining = False
        self.retries = 0

    async def serve(self, exchange: Exchange) -> None:
        """Route one call, forward it to targets and send the response.

        A call without a route is refused, and so is every call while the node
        is draining or has no configuration.
        """
        if exchange.turn is not None and not self._may_run_ahead(exchange):
            await exchange.turn
        compiled = self._parts.configuration.active
        if self.is_draining:
            self._refuse_unrouted(exchange, _STOPPING)
            return
        if compiled is None:
            self._refuse_unrouted(exchange, _NO_CONFIGURATION)
            return
        route = _find_route(compiled, exchange.head)
        if route is None:
            self._refuse_unrouted(exchange, _NO_ROUTE)
            return
        service = compiled.services[self._splitter.pick(route)]
        label = self._parts.selector.pick_label(compiled, service)
        call = Call(
            exchange,
            route,
            service.name,
            label,
            self._parts.header_names,
            self._added_headers,
        )
        call.version = compiled.version
        parent_id = find_parent_id(self._parts.header_names, call.caller_id)
        call.is_nested = self._parts.local.is_running(parent_id)
        share = compiled.shares.get(service.name)
        if share is not None:
            call.fallback_label = share.old
        await self._serve_call(exchange, call)

    def _refuse_unrouted(self, exchange: Exchange, failure: Failure) -> None:
        active = self._parts.configuration.active
        caller_id = read_request_id(
            self._parts.header_names, exchange.head.headers
        )
        log_unrouted(caller_id, failure, active.version if active else 0)
        refuse(exchange, failure)

    def _may_run_ahead(self, exchange: Exchange) -> bool:
        """Return whether to serve a request before its turn.

        An earlier response that closes the connection makes its caller send
        the request again, so it must be one that may run twice, or is refused.
        One whose caller waits to be asked for the body is asked at its turn.
        """
        compiled = self._parts.configuration.active
        if exchange.body.ask_sender is not None:
            return False
        if compiled is None:
            return True
        route = _find_route(compiled, exchange.head)
        return route is None or route.idempotent

    async def _serve_call(self, exchange: Exchange, call: Call) -> None:
        now = time.monotonic()
        if call.deadline <= now:
            log_end(call, _TOO_LATE.status, _TOO_LATE.reason, now)
            refuse(exchange, _TOO_LATE)
            return
        self._budgets.add_call(call.service)
        try:
            async with asyncio.timeout_at(call.deadline):
                failure = await self._try_targets(exchange, call)
        except TimeoutError:
            if exchange.is_write_blocked:
                log_end(call, 0, 'caller reads too slowly', time.monotonic())
                exchange.abort()
                return
            self._parts.observer.record_timeout(call)
            failure = Failure(call.verdict, 'deadline is over', 504)
        except asyncio.CancelledError:
            log_end(call, 0, 'caller is gone', time.monotonic())
            if not exchange.started:
                self._parts.observer.record_disconnect(call)
            raise
        if failure is None:
            return
        failure = failure_for_caller(failure, call.verdict)
        self._parts.observer.record_failed_call(call, failure)
        reported = find_body_failure(call) or failure
        log_end(call, reported.status, reported.reason, time.monotonic())
        refuse(exchange, reported)

    async def _try_targets(
        self,
        exchange: Exchange,
        call: Call,
    ) -> Failure | None:
        """Make attempts until a response is passed on.

        Returns:
            None after a response, otherwise the failure of the last attempt.
        """
        failure = _NO_TARGET
        for attempt in range(MAX_TARGETS_TRIED):
            if attempt and not self._may_try_another(call, failure):
                return failure
            refusal = await self._parts.suspicions.check(call)
            if refusal is not None:
                return refusal
            target = self._find_target(call, failure)
            if target is None:
                return failure
            outcome = await self._attempt(exchange, call, target)
            if outcome is None:
                return None
            failure = outcome
            call.count_arrival(failure)
        return failure

    def _find_target(self, call: Call, failure: Failure) -> Target | None:
        target = self._pick_target(call)
        if target is None and self._switch_to_fallback(call, failure):
            target = self._pick_target(call)
        return target

    def _pick_target(self, call: Call) -> Target | None:
        if call.suspicion is not None:
            return self._parts.selector.pick_suspect_target(
                call.service,
                call.label,
                call.tried,
                call.suspicion.fingerprint,
            )
        now = time.monotonic()
        local_view = self._parts.selector.views.get(self._parts.peer_address)
        if local_view is not None:
            local_view.record_load(self._parts.local.load, now)
        average = self._route_averages.get(call.route.name)
        return self._parts.selector.pick_target(
            call.service,
            call.label,
            call.tried,
            SelectionContext(
                now, call.due - now, average.answer_bytes, average.seconds
            ),
        )

    def _switch_to_fallback(self, call: Call, failure: Failure) -> bool:
        """Switch a call to its fallback version, unless it may have run.

        Returns:
            Whether the call now goes to another version than before.
        """
        if call.may_have_run or call.label == call.fallback_label:
            return False
        self._parts.observer.record_failed_call(call, failure)
        call.label = call.fallback_label
        return True

    def _may_try_another(self, call: Call, failure: Failure) -> bool:
        """Return whether to try another target after a failed attempt.

        A refusal by a node costs no token, as it puts no load on a target. A
        failure that a target returned has consumed its token already.
        """
        if self.is_closing or failure.is_final:
            return False
        is_safe = may_retry(
            failure.verdict,
            idempotent=call.route.idempotent,
        )
        if not is_safe or not call.body.is_replayable or call.body.fault:
            return False
        if failure is _TARGET_FAILED:
            self.retries += 1
            return True
        if call.arrivals >= call.route.attempts:
            return False
        loads_target = call.may_have_run or failure.has_arrived
        if loads_target and not self._budgets.try_consume(call.service):
            return False
        self.retries += 1
        return True

    async def _attempt(
        self,
        exchange: Exchange,
        call: Call,
        target: Target,
    ) -> Failure | None:
        """Make one attempt; return its failure, or None after a response."""
        call.tried.add(target.address)
        call.target = target
        view = self._parts.selector.views[target.address]
        call.attempt_started = time.monotonic()
        view.record_send(call.attempt_started)
        try:
            outcome = await self._send(call, target)
            if isinstance(outcome, Failure):
                self._parts.observer.record_failed_attempt(call, outcome)
                self._parts.suspicions.record(outcome)
                log_failed_attempt(call, outcome, time.monotonic())
                return outcome
            if self._should_retry(call, outcome):
                self._discard_response(call, outcome)
                return _TARGET_FAILED
            await self._relay_response(exchange, call, outcome)
        finally:
            view.outstanding -= 1
        return None

    def _should_retry(self, call: Call, response: Response) -> bool:
        """Return whether to retry a failure that a target returned.

        A retry that would wait for a slot, or finish late, takes capacity
        from calls that have not run yet. The response is passed on instead.
        """
        now = time.monotonic()
        mean_s = self._route_averages.get(call.route.name).seconds
        result = call.build_attempt_result(response.head.status)
        if not is_retryable(result, call.due - now, mean_s):
            return False
        target = self._pick_target(call)
        if target is None:
            return False
        view = self._parts.selector.views[target.address]
        if view.present_load(target.slots, now).is_full:
            return False
        return self._budgets.try_consume(call.service)

    def _discard_response(self, call: Call, response: Response) -> None:
        """Record a failed response that is retried instead of passed on."""
        self._parts.observer.record_response(call, response, is_complete=True)
        call.may_have_run = True
        response.close()
        log_failed_attempt(call, _TARGET_FAILED, time.monotonic())

    async def _send(self, call: Call, target: Target) -> Response | Failure:
        self._attempt_count += 1
        view = self._parts.selector.views[target.address]
        forwarded = ForwardedCall(
            request_id=f'{self._id_prefix}-{self._attempt_count}'.encode(),
            service=call.service,
            label=call.label,
            need=call.build_requirements(target.domain != self._parts.domain),
            condition=view.condition,
            suspicion=call.suspicion,
        )
        if target.address == self._parts.peer_address:
            outcome = await self._parts.local.send(call.request, forwarded)
            condition = self._parts.local.stated.condition
            view.record_condition(condition, target.since_ms)
            return outcome
        outcome = await self._parts.remote.send(
            target.address,
            call.request,
            forwarded,
        )
        condition = read_reported_condition(outcome) or view.condition
        view.record_condition(condition, target.since_ms)
        return outcome

    async def _relay_response(
        self,
        exchange: Exchange,
        call: Call,
        response: Response,
    ) -> None:
        try:  # noqa: WPS501
            is_whole = await relay(exchange, response)
        finally:
            response.close()
        self._parts.observer.record_response(
            call, response, is_complete=is_whole
        )
        if is_whole:
            status = response.head.status
            self._parts.suspicions.record_response(call, status)
            took_s = call.processing_s(
                call.attempt_started,
                response.body.ended_at,
            )
            size = response.head.framing.length
            self._route_averages.record(call.route.name, took_s, size)
        outcome = 'answered' if is_whole else 'cut'
        log_end(call, response.head.status, outcome, time.monotonic())


def _find_route(compiled: Compiled, head: Head) -> Route | None:
    host = find_header(head.headers, b'host') or b''
    return compiled.match(head.url.decode('latin-1'), host.decode('latin-1'))
