"""Call: the state of one caller's call at its entry node."""

import time
from collections.abc import Iterable

from medlarhoist.core.admission import CallRequirements
from medlarhoist.core.deadline import objective_time, start_deadline
from medlarhoist.core.header_names import (
    HeaderNames,
    drop_reserved,
    read_request_id,
)
from medlarhoist.core.headers import (
    Header,
    add_headers,
    find_header,
    forward_headers,
)
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.core.resource import Account, Route
from medlarhoist.core.retry import AttemptResult
from medlarhoist.core.target import Target
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import (
    Failure,
    Progress,
    ReplayableBody,
    Request,
)
from medlarhoist.node.proxy.body import BodyTooLarge, IncompleteBody
from medlarhoist.node.proxy.exchange import Exchange


class Call:
    """A call of a caller, from its request head to its end.

    Points in time are seconds of the monotonic clock.

    Args:
        route: the route that the request matched.
        service: name of the service that it goes to.
        label: version that it goes to, empty for any version.
        fallback_label: version to use if all targets of label refuse the
            call; equal to label if there is no such version.
        started: when the call was first served. What targets take is
            measured from then on, without a wait for earlier requests of the
            connection.
        deadline: when the call is ended with a failure.
        due: time of the latency objective.
        is_nested: whether the call was made by a request that the local
            target is processing.
        request: the request that each attempt sends.
        body: body of the request, shared by the attempts.
        tried: addresses of the targets that were tried.
        target: target of the latest attempt, None before the first.
        arrivals: number of failed attempts that reached a target, or may have.
        cold_refusals: number of attempts that a cold target had no turn for.
        attempt_started: when the latest attempt began.
        may_have_run: whether the request may have run in a failed attempt.
        version: version of the configuration that routes the call.
        caller_id: the caller's id of the request, empty if it sent none.
        suspicion: what is known of the request if it is suspected to crash
            targets, None if it is not.
        account: the client account that the call belongs to, None for none.
    """

    __slots__ = (
        'account',
        'arrivals',
        'attempt_started',
        'body',
        'caller_id',
        'cold_refusals',
        'deadline',
        'due',
        'fallback_label',
        'is_nested',
        'label',
        'may_have_run',
        'request',
        'route',
        'service',
        'started',
        'suspicion',
        'target',
        'tried',
        'version',
    )

    def __init__(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        label: str,
        header_names: HeaderNames,
        extra: Iterable[Header] = (),
    ) -> None:
        """Start a call whose deadline counts from the request's head.

        Args:
            exchange: the request of the caller.
            route: the route that the request matched.
            service: name of the service that it goes to.
            label: version that it goes to, empty for any version.
            header_names: names of the headers of callers and targets.
            extra: headers to add to those of the caller.
        """
        head = exchange.head
        self.caller_id = read_request_id(header_names, head.headers)
        self.version = 0
        self.route = route
        self.service = service
        self.label = label
        self.fallback_label = label
        self.started = time.monotonic()
        received_at = exchange.received_at
        self.deadline = start_deadline(
            received_at,
            find_header(head.headers, header_names.deadline),
            route.timeout_ms,
        )
        self.due = objective_time(received_at, self.deadline, route)
        self.is_nested = False
        self.body = ReplayableBody(exchange.body)
        self.tried: set[str] = set()
        self.arrivals = 0
        self.cold_refusals = 0
        self.attempt_started = self.started
        self.may_have_run = False
        self.target: Target | None = None
        self.suspicion: Suspicion | None = None
        self.account: Account | None = None
        headers = drop_reserved(header_names, forward_headers(head.headers))
        if head.is_old and find_header(headers, b'host') is None:
            extra = ((b'host', service.encode()), *extra)
        self.request = Request(
            head.method,
            head.url,
            add_headers(headers, extra),
            head.framing,
            self.body,
            Progress(),
            is_idempotent=route.idempotent,
        )

    @property
    def priority(self) -> int:
        """Return the rank of the call, zero for the highest."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    def build_requirements(self, is_spilled: bool) -> CallRequirements:
        """Return the requirements by which the target's node admits the call.

        Args:
            is_spilled: whether the target is in another failure domain.
        """
        return CallRequirements(
            priority=self.priority,
            deadline=self.deadline,
            due=self.due,
            is_spilled=is_spilled,
            is_nested=self.is_nested,
        )

    def build_attempt_result(self, status: int) -> AttemptResult:
        """Return the result of an attempt that got a response.

        It decides whether a failure that the target returned is retried.

        Args:
            status: HTTP status of the response.
        """
        return AttemptResult(
            status=status,
            is_idempotent=self.route.idempotent,
            is_replayable=self.body.is_replayable,
            arrivals=self.arrivals + 1,
            attempts=self.route.attempts,
        )

    def processing_s(self, since: float, ended_at: float) -> float:
        """Return the duration of a call without waiting for its caller.

        The time that the caller takes to send its body is not the target's.

        Args:
            since: start of the call or an attempt, seconds of the monotonic
                clock.
            ended_at: end of the response, same clock.

        Returns:
            Seconds from the end of the body, or from `since` if the body
            ended before it or after the response.
        """
        sent_at = self.body.ended_at
        if since < sent_at < ended_at:
            return ended_at - sent_at
        return ended_at - since

    def count_arrival(self, failure: Failure) -> None:
        """Count a failed attempt if it reached a target, or may have.

        One that a cold target had no turn for is counted by itself.

        Args:
            failure: how the attempt failed.
        """
        may_have_run = failure.verdict is not Verdict.DID_NOT_RUN
        self.arrivals += may_have_run or failure.has_arrived
        load = failure.load
        self.cold_refusals += load is not None and load.cold_s > 0

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run in any of the attempts."""
        if self.may_have_run:
            return Verdict.MAY_HAVE_RUN
        return self.request.progress.verdict


def find_body_failure(call: Call) -> Failure | None:
    """Return the failure to report for a faulty request body.

    Returns:
        The failure of a malformed or too large body; None if reading the body
        has not failed.
    """
    if isinstance(call.body.fault, BodyTooLarge):
        return Failure(call.verdict, 'body too large', 413)
    if isinstance(call.body.fault, IncompleteBody):
        return Failure(call.verdict, 'malformed body', 400)
    return None
