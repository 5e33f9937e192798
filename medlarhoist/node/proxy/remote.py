"""Remote: sends an attempt to the node of a target on another VM."""

import time
from collections.abc import Callable
from typing import Final

from msgspec import structs

from medlarhoist.core.deadline import left_for_next_hop_ms
from medlarhoist.core.headers import (
    ARRIVED_HEADER,
    DEADLINE_HEADER,
    DOMAIN_HEADER,
    LABEL_HEADER,
    LOAD_HEADER,
    REASON_HEADER,
    REQUEST_HEADER,
    REQUIREMENTS_HEADER,
    RETRY_AFTER_HEADER,
    SERVICE_HEADER,
    TOKEN_HEADER,
    VERDICT_HEADER,
    Header,
    find_header,
)
from medlarhoist.core.load_headers import format_requirements, parse_load
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure, Request
from medlarhoist.node.proxy.client import Answer
from medlarhoist.node.proxy.local import Order
from medlarhoist.node.proxy.pool import Pool, send_request
from medlarhoist.node.proxy.reader import Head
from medlarhoist.wire.auth import make_token

CROSSED: Final = Failure(Verdict.MAY_HAVE_RUN, 'crossed answer', 502)


class Remote:
    """The pools of connections to other nodes, by address.

    Args:
        crossed: answers that did not belong to their request.
    """

    __slots__ = (
        '_clock',
        '_domain',
        '_key',
        '_name',
        '_pools',
        '_token',
        'crossed',
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
            key: the shared key.
            clock: seconds since 1970.
        """
        self._name = name
        self._domain = domain.encode()
        self._key = key
        self._clock = clock
        self._pools: dict[str, Pool] = {}
        self._token = (0, b'')
        self.crossed = 0

    async def call(
        self,
        address: str,
        request: Request,
        order: Order,
    ) -> Answer | Failure:
        """Send one attempt to a node.

        Returns:
            The answer, whose close must be called, or the failure with the
            verdict that the node gave.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = Pool(address)
            self._pools[address] = pool
        headers = [*request.headers, *self._write_order(order)]
        sent = structs.replace(request, headers=headers)
        outcome = await send_request(pool, sent)
        if isinstance(outcome, Failure):
            return structs.replace(outcome, is_unreachable=True)
        checked = _check(outcome, order.request_id)
        self.crossed += checked is CROSSED
        return checked

    def sweep(self, now: float, known: set[str]) -> None:
        """Close idle connections, and all idle ones to unknown nodes."""
        for address, pool in tuple(self._pools.items()):
            pool.sweep(now)
            if address not in known:
                pool.close_idle()
                if not pool.size:
                    self._pools.pop(address)

    def close(self) -> None:
        """Cut every connection."""
        for pool in self._pools.values():
            pool.close()

    def count_connections(self) -> dict[str, int]:
        """Return the open connections by address."""
        return {address: pool.size for address, pool in self._pools.items()}

    def _write_order(self, order: Order) -> list[Header]:
        left_ms = left_for_next_hop_ms(order.deadline, time.monotonic())
        return [
            (REQUEST_HEADER, order.request_id),
            (DEADLINE_HEADER, b'%d' % left_ms),
            (SERVICE_HEADER, order.service.encode()),
            (LABEL_HEADER, order.label.encode()),
            (
                REQUIREMENTS_HEADER,
                format_requirements(order.need, time.monotonic()),
            ),
            (DOMAIN_HEADER, self._domain),
            (TOKEN_HEADER, self._make_token()),
        ]

    def _make_token(self) -> bytes:
        """Return the token of this second."""
        now = int(self._clock())
        if self._token[0] != now:
            token = make_token(self._key, self._name, now)
            self._token = (now, token.encode())
        return self._token[1]


def _check(answer: Answer, request_id: bytes) -> Answer | Failure:
    headers = answer.head.headers
    if find_header(headers, REQUEST_HEADER) != request_id:
        answer.discard()
        return CROSSED
    verdict = find_header(headers, VERDICT_HEADER)
    if verdict is None:
        return answer
    answer.close()
    return _read_refusal(verdict.decode('latin-1'), answer.head)


def _read_refusal(verdict: str, head: Head) -> Failure:
    known = Verdict.MAY_HAVE_RUN
    if verdict in tuple(Verdict):
        known = Verdict(verdict)
    reason = find_header(head.headers, REASON_HEADER) or b''
    return Failure(
        known,
        reason.decode('latin-1'),
        head.status,
        has_arrived=find_header(head.headers, ARRIVED_HEADER) is not None,
        load=parse_load(find_header(head.headers, LOAD_HEADER)),
        return_s=_read_seconds(find_header(head.headers, RETRY_AFTER_HEADER)),
    )


def _read_seconds(value: bytes | None) -> float:
    """Return a time in seconds, zero where it is not told."""
    try:
        return float(value or 0)
    except ValueError:
        return 0
