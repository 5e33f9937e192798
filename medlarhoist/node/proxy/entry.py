"""Entry: takes the calls of callers and sees each to its end.

The route and the version are decided once, on one configuration. Attempts
follow core.verdict: again only where the request surely did not run, or
where it is idempotent, within the retry budget and the deadline.
"""

import asyncio
import time
from random import Random
from typing import Final, Protocol

from msgspec import Struct

from medlarhoist.core.balance import Wish, is_full
from medlarhoist.core.budget import RetryBudgets
from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import Dialect, find_parent_id, read_id
from medlarhoist.core.headers import find_header
from medlarhoist.core.retry import is_repeatable
from medlarhoist.core.route_average import UsualCalls
from medlarhoist.core.split import Splitter
from medlarhoist.core.target import Target
from medlarhoist.core.verdict import Verdict, may_retry
from medlarhoist.node.proxy.attempt import Failure, failure_for_caller
from medlarhoist.node.proxy.call import Call, blame_caller
from medlarhoist.node.proxy.call_log import (
    log_attempt,
    log_end,
    log_unrouted,
)
from medlarhoist.node.proxy.client import Response
from medlarhoist.node.proxy.exchange import Exchange
from medlarhoist.node.proxy.local import ForwardedCall, LocalTarget
from medlarhoist.node.proxy.observer import Observer
from medlarhoist.node.proxy.relay import refuse, relay
from medlarhoist.node.proxy.remote import RemoteNodes
from medlarhoist.node.proxy.target_selector import TargetSelector

# Nodes of targets that one call is offered to.
ASKED_LIMIT: Final = 4
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
_STOPPING: Final = Failure(Verdict.DID_NOT_RUN, 'node is stopping')


class ConfigurationView(Protocol):
    """The configuration in force at this node."""

    @property
    def active(self) -> Compiled | None:
        """Return it, None until the node knows its version floor."""


class Parts(Struct, frozen=True, kw_only=True):
    """What the entry service works with.

    Args:
        name: name of this node.
        domain: its failure domain.
        peer_address: address that other nodes send its target's calls to.
        service: service beside this node, empty where it is not told.
        dialect: the headers of callers and targets.
        configuration: the configuration in force.
        choice: picks versions and targets.
        local: the target beside this node.
        remote: the targets beside other nodes.
        observer: notes how attempts and calls ended.
    """

    name: str
    domain: str
    peer_address: str
    service: str
    dialect: Dialect
    configuration: ConfigurationView
    choice: TargetSelector
    local: LocalTarget
    remote: RemoteNodes
    observer: Observer


class EntryService:
    """Serves the entry listener.

    Args:
        is_draining: whether new calls are refused.
        retries: attempts after the first.
    """

    __slots__ = (
        '_budgets',
        '_count',
        '_parts',
        '_prefix',
        '_splitter',
        '_usual',
        'is_draining',
        'retries',
    )

    def __init__(self, parts: Parts) -> None:
        """Serve calls with the given parts."""
        self._parts = parts
        self._usual = UsualCalls()
        self._budgets = RetryBudgets()
        self._count = 0
        self._splitter = Splitter(Random())  # noqa: S311  spreads load only
        started_ms = int(time.time() * _MS_PER_SECOND)
        self._prefix = f'{parts.name}-{started_ms:x}'
        self.is_draining = False
        self.retries = 0

    async def serve(self, exchange: Exchange) -> None:
        """Serve one call."""
        compiled = self._parts.configuration.active
        if self.is_draining:
            self._refuse_unrouted(exchange, _STOPPING)
            return
        if compiled is None:
            self._refuse_unrouted(exchange, _NO_CONFIGURATION)
            return
        head = exchange.head
        host = find_header(head.headers, b'host') or b''
        url = head.url.decode('latin-1')
        route = compiled.match(url, host.decode('latin-1'))
        if route is None:
            self._refuse_unrouted(exchange, _NO_ROUTE)
            return
        service = compiled.services[self._splitter.pick(route)]
        label = self._parts.choice.pick_label(compiled, service)
        call = Call(exchange, route, service.name, label, self._parts.dialect)
        call.version = compiled.version
        parent_id = find_parent_id(self._parts.dialect, call.caller_id)
        call.is_nested = self._parts.local.is_running(parent_id)
        if self._parts.dialect.origin:
            origin = (self._parts.dialect.origin, self._parts.service.encode())
            call.request.headers.append(origin)
        share = compiled.shares.get(service.name)
        if share is not None:
            call.stable_label = share.old
        await self._serve_call(exchange, call)

    def _refuse_unrouted(self, exchange: Exchange, failure: Failure) -> None:
        active = self._parts.configuration.active
        caller_id = read_id(self._parts.dialect, exchange.head.headers)
        log_unrouted(caller_id, failure, active.version if active else 0)
        refuse(exchange, failure)

    async def _serve_call(self, exchange: Exchange, call: Call) -> None:
        self._budgets.earn(call.service)
        try:
            async with asyncio.timeout_at(call.deadline):
                failure = await self._try_targets(exchange, call)
        except TimeoutError:
            if exchange.is_held_up:
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
        told = blame_caller(call) or failure
        log_end(call, told.status, told.reason, time.monotonic())
        refuse(exchange, told)

    async def _try_targets(
        self,
        exchange: Exchange,
        call: Call,
    ) -> Failure | None:
        """Make attempts until one is answered; return the last failure."""
        failure = _NO_TARGET
        for attempt in range(ASKED_LIMIT):
            if attempt and not self._may_try_again(call, failure):
                return failure
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
        if target is None and self._fall_back(call, failure):
            target = self._pick_target(call)
        return target

    def _pick_target(self, call: Call) -> Target | None:
        now = time.monotonic()
        own = self._parts.choice.views.get(self._parts.peer_address)
        if own is not None:
            own.record_load(self._parts.local.load, now)
        usual = self._usual.get(call.route.name)
        return self._parts.choice.pick_target(
            call.service,
            call.label,
            call.tried,
            Wish(now, call.due - now, usual.answer_bytes, usual.seconds),
        )

    def _fall_back(self, call: Call, failure: Failure) -> bool:
        """Leave a new version all of whose targets have refused the call."""
        if call.may_have_run or call.label == call.stable_label:
            return False
        self._parts.observer.record_failed_call(call, failure)
        call.label = call.stable_label
        return True

    def _may_try_again(self, call: Call, failure: Failure) -> bool:
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
        if loads_target and not self._budgets.spend(call.service):
            return False
        self.retries += 1
        return True

    async def _attempt(
        self,
        exchange: Exchange,
        call: Call,
        target: Target,
    ) -> Failure | None:
        """Make one attempt; return the failure where no answer came."""
        call.tried.add(target.address)
        call.target = target
        view = self._parts.choice.views[target.address]
        call.attempted = time.monotonic()
        view.record_send(call.attempted)
        try:
            outcome = await self._send(call, target)
            if isinstance(outcome, Failure):
                self._parts.observer.record_failed_attempt(call, outcome)
                log_attempt(call, outcome, time.monotonic())
                return outcome
            if self._repeats(call, outcome):
                self._drop(call, outcome)
                return _TARGET_FAILED
            await self._relay(exchange, call, outcome)
        finally:
            view.outstanding -= 1
        return None

    def _repeats(self, call: Call, answer: Response) -> bool:
        """Say whether a failure that a target answered is tried once more.

        A retry that would wait for a slot, or end late, takes the room of
        calls that have not run yet; then the answer is passed on.
        """
        now = time.monotonic()
        usual_s = self._usual.get(call.route.name).seconds
        ended = call.describe_end(answer.head.status)
        if not is_repeatable(ended, call.due - now, usual_s):
            return False
        target = self._pick_target(call)
        if target is None:
            return False
        view = self._parts.choice.views[target.address]
        if is_full(view.present_load(target.slots, now)):
            return False
        return self._budgets.spend(call.service)

    def _drop(self, call: Call, answer: Response) -> None:
        """Take a failure in without passing it on."""
        self._parts.observer.record_response(call, answer, is_complete=True)
        call.may_have_run = True
        answer.close()
        log_attempt(call, _TARGET_FAILED, time.monotonic())

    async def _send(self, call: Call, target: Target) -> Response | Failure:
        self._count += 1
        order = ForwardedCall(
            request_id=f'{self._prefix}-{self._count}'.encode(),
            service=call.service,
            label=call.label,
            need=call.describe_need(target.domain != self._parts.domain),
        )
        if target.address == self._parts.peer_address:
            return await self._parts.local.send(call.request, order)
        return await self._parts.remote.send(
            target.address,
            call.request,
            order,
        )

    async def _relay(
        self,
        exchange: Exchange,
        call: Call,
        answer: Response,
    ) -> None:
        try:  # noqa: WPS501
            is_whole = await relay(exchange, answer)
        finally:
            answer.close()
        self._parts.observer.record_response(call, answer, is_complete=is_whole)
        if is_whole:
            took_s = answer.ended_at - call.attempted
            size = answer.head.framing.length
            self._usual.note(call.route.name, took_s, size)
        outcome = 'answered' if is_whole else 'cut'
        log_end(call, answer.head.status, outcome, time.monotonic())
