"""Call: what the entry node keeps of one call until its end."""

import time

from medlarhoist.core.admission import Need
from medlarhoist.core.deadline import find_due, start_deadline
from medlarhoist.core.header_names import Dialect, drop_reserved, read_id
from medlarhoist.core.headers import (
    find_header,
    forward_headers,
)
from medlarhoist.core.resource import Route
from medlarhoist.core.retry import Ended
from medlarhoist.core.target import Target
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import (
    Failure,
    Progress,
    ReplayableBody,
    Request,
)
from medlarhoist.node.proxy.body import BodyTooLarge, ShortBody
from medlarhoist.node.proxy.exchange import Exchange


class Call:
    """One call of a caller.

    Args:
        route: the route it matched.
        service: service it goes to.
        label: version it goes to, empty for any.
        stable_label: version that may take it where the new one refuses.
        deadline: its end, seconds of the monotonic clock.
        due: when an answer begins to lose worth, on the same clock.
        is_nested: whether a request that runs on a target has made it.
        request: what each attempt sends.
        source: the request's body.
        tried: addresses of the targets that were tried.
        last: the target of the present attempt.
        arrivals: targets that the request has reached.
        attempted: when the present attempt began, on the same clock.
        may_have_run: whether any attempt may have run.
        version: configuration version that it is routed by.
        caller_id: the caller's id of the request, empty where it has none.
    """

    __slots__ = (
        'arrivals',
        'attempted',
        'caller_id',
        'deadline',
        'due',
        'is_nested',
        'label',
        'last',
        'may_have_run',
        'request',
        'route',
        'service',
        'body',
        'stable_label',
        'started',
        'tried',
        'version',
    )

    def __init__(
        self,
        exchange: Exchange,
        route: Route,
        service: str,
        label: str,
        dialect: Dialect,
    ) -> None:
        """Start a call now."""
        head = exchange.head
        self.caller_id = read_id(dialect, head.headers)
        self.version = 0
        self.route = route
        self.service = service
        self.label = label
        self.stable_label = label
        self.started = time.monotonic()
        self.deadline = start_deadline(
            self.started,
            find_header(head.headers, dialect.deadline),
            route.timeout_ms,
        )
        self.due = find_due(self.started, self.deadline, route)
        self.is_nested = False
        self.body = ReplayableBody(exchange.body)
        self.tried: set[str] = set()
        self.arrivals = 0
        self.attempted = self.started
        self.may_have_run = False
        self.target: Target | None = None
        headers = drop_reserved(dialect, forward_headers(head.headers))
        if head.is_old and find_header(headers, b'host') is None:
            headers.append((b'host', service.encode()))
        self.request = Request(
            head.method,
            head.url,
            headers,
            head.framing,
            self.body,
            Progress(),
            is_idempotent=route.idempotent,
        )

    def describe_need(self, is_spilled: bool) -> Need:
        """Return how urgent it is to a target.

        Args:
            is_spilled: whether the target is in another failure domain.
        """
        return Need(
            priority=self.route.priority,
            deadline=self.deadline,
            due=self.due,
            is_spilled=is_spilled,
            is_nested=self.is_nested,
        )

    def describe_end(self, status: int) -> Ended:
        """Return what decides whether an answered attempt is repeated.

        Args:
            status: status of the answer.
        """
        return Ended(
            status=status,
            is_idempotent=self.route.idempotent,
            is_replayable=self.body.is_replayable,
            arrivals=self.arrivals + 1,
            attempts=self.route.attempts,
        )

    def count_arrival(self, failure: Failure) -> None:
        """Count an attempt that reached a target, or may have."""
        may_have_run = failure.verdict is not Verdict.DID_NOT_RUN
        self.arrivals += may_have_run or failure.has_arrived

    @property
    def verdict(self) -> Verdict:
        """Return what is known of all attempts together."""
        if self.may_have_run:
            return Verdict.MAY_HAVE_RUN
        return self.request.progress.verdict


def blame_caller(call: Call) -> Failure | None:
    """Return the refusal of a body that is malformed or too large."""
    if isinstance(call.body.fault, BodyTooLarge):
        return Failure(call.verdict, 'body too large', 413)
    if isinstance(call.body.fault, ShortBody):
        return Failure(call.verdict, 'malformed body', 400)
    return None
