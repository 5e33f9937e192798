"""Peer: takes the calls that other nodes send to this node's target."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from medlarhoist.core.deadline import parse_left_ms
from medlarhoist.core.headers import (
    DEADLINE_HEADER,
    DOMAIN_HEADER,
    LABEL_HEADER,
    LOAD_HEADER,
    REQUEST_HEADER,
    REQUIREMENTS_HEADER,
    SERVICE_HEADER,
    TOKEN_HEADER,
    Header,
    forward_headers,
)
from medlarhoist.core.load_headers import format_load, parse_requirements
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure, Progress, Request, Source
from medlarhoist.node.proxy.exchange import Exchange
from medlarhoist.node.proxy.local import LocalTarget, Order
from medlarhoist.node.proxy.relay import refuse, relay
from medlarhoist.wire.auth import is_token_valid

_NO_TOKEN: Final = Failure(Verdict.DID_NOT_RUN, 'no valid token', 403)
_INCOMPLETE: Final = Failure(Verdict.DID_NOT_RUN, 'headers missing', 400)
_TOKENS_KEPT: Final = 4096
_REMEMBER_S: Final = 2
_MS_PER_SECOND: Final = 1000


class PeerService:
    """Serves the peer listener."""

    __slots__ = (
        '_clock',
        '_domain',
        '_key',
        '_local',
        '_tokens',
    )

    def __init__(
        self,
        local: LocalTarget,
        domain: str,
        key: bytes,
        clock: Callable[[], float],
    ) -> None:
        """Serve calls for one target.

        Args:
            local: the target.
            domain: failure domain of this node.
            key: the shared key.
            clock: seconds since 1970.
        """
        self._local = local
        self._domain = domain.encode()
        self._key = key
        self._clock = clock
        self._tokens: dict[bytes, float] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Serve one call."""
        headers = dict(exchange.head.headers)
        if not self._is_authentic(headers.get(TOKEN_HEADER, b'')):
            refuse(exchange, _NO_TOKEN)
            return
        order = self._read_order(headers)
        if order is None:
            refuse(exchange, _INCOMPLETE)
            return
        echo = ((REQUEST_HEADER, order.request_id),)
        await self._serve_order(exchange, order, echo)

    async def _serve_order(
        self,
        exchange: Exchange,
        order: Order,
        echo: tuple[Header, ...],
    ) -> None:
        progress = Progress()
        request = Request(
            exchange.head.method,
            exchange.head.url,
            forward_headers(exchange.head.headers),
            exchange.head.framing,
            Source(exchange.body),
            progress,
            is_idempotent=False,
        )
        try:
            async with asyncio.timeout_at(order.deadline):
                await self._call(exchange, request, order, echo)
        except TimeoutError:
            late = Failure(progress.verdict, 'deadline is over', 504)
            refuse(exchange, late, echo)

    async def _call(
        self,
        exchange: Exchange,
        request: Request,
        order: Order,
        echo: tuple[Header, ...],
    ) -> None:
        outcome = await self._local.send(request, order)
        if isinstance(outcome, Failure):
            refuse(exchange, outcome, echo)
            return
        try:  # noqa: WPS501
            load = (LOAD_HEADER, format_load(self._local.load))
            await relay(exchange, outcome, (*echo, load))
        finally:
            outcome.close()

    def _read_order(self, headers: dict[bytes, bytes]) -> Order | None:
        request_id = headers.get(REQUEST_HEADER)
        left_ms = parse_left_ms(headers.get(DEADLINE_HEADER))
        service = headers.get(SERVICE_HEADER)
        if request_id is None or left_ms is None or service is None:
            return None
        now = time.monotonic()
        return Order(
            request_id=request_id,
            service=service.decode('latin-1'),
            label=headers.get(LABEL_HEADER, b'').decode('latin-1'),
            need=parse_requirements(
                headers.get(REQUIREMENTS_HEADER),
                now + left_ms / _MS_PER_SECOND,
                now,
                is_spilled=headers.get(DOMAIN_HEADER) != self._domain,
            ),
        )

    def _is_authentic(self, token: bytes) -> bool:
        """Check a token; one that was valid is remembered for its life."""
        now = self._clock()
        if self._tokens.get(token, 0) > now:
            return True
        text = token.decode('latin-1')
        if not is_token_valid(self._key, text, int(now)):
            return False
        if len(self._tokens) >= _TOKENS_KEPT:
            self._tokens.clear()
        self._tokens[token] = now + _REMEMBER_S
        return True
