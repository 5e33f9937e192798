"""Remote: sends attempts to the nodes of targets on other VMs."""

import time
from collections.abc import Callable
from typing import Final

from msgspec import structs

from medlarhoist.core.accounts import format_account
from medlarhoist.core.condition import (
    NO_CONDITION,
    Condition,
    format_condition,
    parse_condition,
)
from medlarhoist.core.deadline import left_for_next_hop_ms
from medlarhoist.core.headers import (
    ARRIVED_HEADER,
    CONDITION_HEADER,
    DEADLINE_HEADER,
    DOMAIN_HEADER,
    LABEL_HEADER,
    LOAD_HEADER,
    REASON_HEADER,
    REQUEST_HEADER,
    REQUIREMENTS_HEADER,
    RETRY_AFTER_HEADER,
    SERVICE_HEADER,
    SUSPICION_HEADER,
    TOKEN_HEADER,
    VERDICT_HEADER,
    Header,
    find_header,
)
from medlarhoist.core.load_headers import (
    format_requirements,
    parse_decimal,
    parse_load,
)
from medlarhoist.core.quarantine import format_suspicion, parse_suspicion
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import (
    Failure,
    Request,
    replace_headers,
)
from medlarhoist.node.proxy.forwarded import ForwardedCall
from medlarhoist.node.proxy.pool import ConnectionPool, send_request
from medlarhoist.node.proxy.reader import Head
from medlarhoist.node.proxy.response import Response
from medlarhoist.wire.auth import make_token

MISMATCHED_RESPONSE: Final = Failure(
    Verdict.MAY_HAVE_RUN,
    'crossed answer',
    502,
)


class RemoteNodes:
    """Connection pools of other nodes, by address.

    Args:
        mismatched: responses that did not belong to their request.
        malformed: responses that were no HTTP, or had bytes after their end.
    """

    __slots__ = (
        '_clock',
        '_domain',
        '_key',
        '_name',
        '_pools',
        '_token',
        'malformed',
        'mismatched',
    )

    def __init__(
        self,
        name: str,
        domain: str,
        key: bytes,
        clock: Callable[[], float],
    ) -> None:
        """Start without connections.

        Args:
            name: name of this node.
            domain: its failure domain.
            key: the key shared by all nodes, which signs tokens.
            clock: seconds since 1970.
        """
        self._name = name
        self._domain = domain.encode()
        self._key = key
        self._clock = clock
        self._pools: dict[str, ConnectionPool] = {}
        self._token = (0, b'')
        self.mismatched = 0
        self.malformed = 0

    async def send(
        self,
        address: str,
        request: Request,
        call: ForwardedCall,
    ) -> Response | Failure:
        """Send an attempt to the node of its target.

        The node asks for a long body once the target has a slot. A refused
        attempt has then consumed none of it, and another target can be tried.

        Args:
            address: host:port of the node's peer listener.
            request: what is sent.
            call: service, version and requirements of the call.

        Returns:
            The response, whose close must be called, or the failure with the
            verdict that the node returned.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, self._count_malformed)
            self._pools[address] = pool
        sent = replace_headers(
            request,
            request.headers,
            self._format_call_headers(call),
            waits_to_send=True,
        )
        outcome = await send_request(pool, sent)
        if isinstance(outcome, Failure):
            return structs.replace(outcome, is_unreachable=True)
        checked = _check_response(outcome, call.request_id)
        self.mismatched += checked is MISMATCHED_RESPONSE
        return checked

    def sweep(self, now: float, addresses: set[str]) -> None:
        """Close connections that are idle for too long or not used any more.

        Args:
            now: seconds of the monotonic clock.
            addresses: nodes in use. All idle connections to others are closed.
        """
        for address, pool in tuple(self._pools.items()):
            pool.sweep(now)
            if address not in addresses:
                pool.close_idle()
                if not pool.size:
                    self._pools.pop(address)

    def close(self) -> None:
        """Abort every connection."""
        for pool in self._pools.values():
            pool.close()

    def count_connections(self) -> dict[str, int]:
        """Return the number of open connections by address."""
        return {address: pool.size for address, pool in self._pools.items()}

    def _count_malformed(self) -> None:
        self.malformed += 1

    def _format_call_headers(self, call: ForwardedCall) -> list[Header]:
        left_ms = left_for_next_hop_ms(call.deadline, time.monotonic())
        headers = [
            (REQUEST_HEADER, call.request_id),
            (DEADLINE_HEADER, b'%d' % left_ms),
            (SERVICE_HEADER, call.service.encode()),
            (LABEL_HEADER, call.label.encode()),
            (
                REQUIREMENTS_HEADER,
                format_requirements(call.need, time.monotonic()),
            ),
            (DOMAIN_HEADER, self._domain),
            (TOKEN_HEADER, self._make_token()),
        ]
        if call.condition.is_restricted:
            condition = format_condition(call.condition)
            headers.append((CONDITION_HEADER, condition))
        if call.suspicion is not None:
            suspicion = format_suspicion(call.suspicion)
            headers.append((SUSPICION_HEADER, suspicion))
        if call.account:
            headers.append(format_account(call.account))
        return headers

    def _make_token(self) -> bytes:
        """Return the token of the present second, made once a second."""
        now = int(self._clock())
        if self._token[0] != now:
            token = make_token(self._key, self._name, now)
            self._token = (now, token.encode())
        return self._token[1]


def read_reported_condition(outcome: Response | Failure) -> Condition | None:
    """Return the condition of the target that its node has reported.

    Nodes report it with a response only if it restricts calls.

    Returns:
        The condition, None if a failure brought none.
    """
    if isinstance(outcome, Failure):
        return outcome.condition
    value = find_header(outcome.head.headers, CONDITION_HEADER)
    return parse_condition(value) or NO_CONDITION


def _check_response(
    response: Response,
    request_id: bytes,
) -> Response | Failure:
    headers = response.head.headers
    if find_header(headers, REQUEST_HEADER) != request_id:
        response.discard()
        return MISMATCHED_RESPONSE
    verdict = find_header(headers, VERDICT_HEADER)
    if verdict is None:
        return response
    response.close()
    return _parse_refusal(verdict.decode('latin-1'), response.head)


def _parse_refusal(verdict: str, head: Head) -> Failure:
    parsed = Verdict.MAY_HAVE_RUN
    if verdict in tuple(Verdict):
        parsed = Verdict(verdict)
    reason = find_header(head.headers, REASON_HEADER) or b''
    return Failure(
        parsed,
        reason.decode('latin-1'),
        head.status,
        has_arrived=find_header(head.headers, ARRIVED_HEADER) is not None,
        load=parse_load(find_header(head.headers, LOAD_HEADER)),
        return_s=parse_decimal(find_header(head.headers, RETRY_AFTER_HEADER))
        or 0,
        condition=parse_condition(find_header(head.headers, CONDITION_HEADER)),
        suspicion=parse_suspicion(find_header(head.headers, SUSPICION_HEADER)),
    )
