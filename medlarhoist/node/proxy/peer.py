"""Peer: serves the calls that other nodes forward to this node's target."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from medlarhoist.core.accounts import parse_account
from medlarhoist.core.condition import (
    NO_CONDITION,
    format_condition,
    parse_condition,
)
from medlarhoist.core.deadline import parse_left_ms
from medlarhoist.core.domain_drain import DomainDrains
from medlarhoist.core.headers import (
    ACCOUNT_HEADER,
    CONDITION_HEADER,
    DEADLINE_HEADER,
    DOMAIN_HEADER,
    LABEL_HEADER,
    LOAD_HEADER,
    REQUEST_HEADER,
    REQUIREMENTS_HEADER,
    SERVICE_HEADER,
    SUSPICION_HEADER,
    TOKEN_HEADER,
    Header,
    forward_headers,
    pick_headers,
)
from medlarhoist.core.load_headers import format_load, parse_requirements
from medlarhoist.core.quarantine import parse_suspicion
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import (
    Failure,
    Progress,
    ReplayableBody,
    Request,
)
from medlarhoist.node.proxy.exchange import Exchange
from medlarhoist.node.proxy.forwarded import ForwardedCall
from medlarhoist.node.proxy.local import LocalTarget
from medlarhoist.node.proxy.relay import refuse, relay
from medlarhoist.wire.auth import is_token_valid

_NO_TOKEN: Final = Failure(Verdict.DID_NOT_RUN, 'no valid token', 403)
_HEADERS_MISSING: Final = Failure(Verdict.DID_NOT_RUN, 'headers missing', 400)
_TOKEN_CACHE_SIZE: Final = 4096
_CALL_HEADERS: Final = frozenset(
    (
        ACCOUNT_HEADER,
        CONDITION_HEADER,
        DEADLINE_HEADER,
        DOMAIN_HEADER,
        LABEL_HEADER,
        REQUEST_HEADER,
        REQUIREMENTS_HEADER,
        SERVICE_HEADER,
        SUSPICION_HEADER,
        TOKEN_HEADER,
    ),
)
_TOKEN_CACHE_S: Final = 2
_MS_PER_SECOND: Final = 1000


class PeerService:
    """Handles the requests of the peer listener."""

    __slots__ = (
        '_clock',
        '_domain',
        '_drains',
        '_key',
        '_local',
        '_token_expiry',
    )

    def __init__(
        self,
        local: LocalTarget,
        domain: str,
        key: bytes,
        clock: Callable[[], float],
        drains: DomainDrains,
    ) -> None:
        """Start without cached tokens.

        Args:
            local: the target beside this node.
            domain: failure domain of this node.
            key: the key shared by all nodes, which signs tokens.
            clock: seconds since 1970.
            drains: the failure domains that receive no calls, or fewer.
        """
        self._local = local
        self._drains = drains
        self._domain = domain.encode()
        self._key = key
        self._clock = clock
        self._token_expiry: dict[bytes, float] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Handle one request of another node.

        It is refused if its token is invalid or a required header is missing.
        """
        headers = dict(pick_headers(exchange.head.headers, _CALL_HEADERS))
        if not self._is_authentic(headers.get(TOKEN_HEADER, b'')):
            refuse(exchange, _NO_TOKEN)
            return
        call = self._parse_call(headers)
        if call is None:
            refuse(exchange, _HEADERS_MISSING)
            return
        echo = ((REQUEST_HEADER, call.request_id),)
        await self._serve_call(exchange, call, echo)

    async def _serve_call(
        self,
        exchange: Exchange,
        call: ForwardedCall,
        echo: tuple[Header, ...],
    ) -> None:
        progress = Progress()
        request = Request(
            exchange.head.method,
            exchange.head.url,
            forward_headers(exchange.head.headers),
            exchange.head.framing,
            ReplayableBody(exchange.body),
            progress,
            is_idempotent=False,
        )
        try:
            async with asyncio.timeout_at(call.deadline):
                await self._relay_call(exchange, request, call, echo)
        except TimeoutError:
            failure = Failure(progress.verdict, 'deadline is over', 504)
            refuse(exchange, failure, echo)

    async def _relay_call(
        self,
        exchange: Exchange,
        request: Request,
        call: ForwardedCall,
        echo: tuple[Header, ...],
    ) -> None:
        outcome = await self._local.send(request, call)
        if isinstance(outcome, Failure):
            refuse(exchange, outcome, echo)
            return
        try:  # noqa: WPS501
            extra = [*echo, (LOAD_HEADER, format_load(self._local.load))]
            condition = self._local.stated.condition
            if condition.is_restricted:
                extra.append((CONDITION_HEADER, format_condition(condition)))
            await relay(exchange, outcome, extra)
        finally:
            outcome.close()

    def _parse_call(self, headers: dict[bytes, bytes]) -> ForwardedCall | None:
        """Return the call, or None if a required header is missing."""
        request_id = headers.get(REQUEST_HEADER)
        left_ms = parse_left_ms(headers.get(DEADLINE_HEADER))
        service = headers.get(SERVICE_HEADER)
        if request_id is None or left_ms is None or service is None:
            return None
        now = time.monotonic()
        return ForwardedCall(
            request_id=request_id,
            service=service.decode('latin-1'),
            label=headers.get(LABEL_HEADER, b'').decode('latin-1'),
            need=parse_requirements(
                headers.get(REQUIREMENTS_HEADER),
                now + left_ms / _MS_PER_SECOND,
                now,
                is_spilled=self._is_spilled(headers.get(DOMAIN_HEADER, b'')),
            ),
            condition=parse_condition(headers.get(CONDITION_HEADER))
            or NO_CONDITION,
            suspicion=parse_suspicion(headers.get(SUSPICION_HEADER)),
            account=parse_account(headers.get(ACCOUNT_HEADER)),
        )

    def _is_spilled(self, domain: bytes) -> bool:
        """Return whether a call could have stayed in another domain.

        Calls that enter in a drained domain could not, so they are served like
        those of this domain.
        """
        if domain == self._domain:
            return False
        name = domain.decode('latin-1')
        is_drained = name in self._drains.drained
        return not is_drained and not self._drains.is_returning(name)

    def _is_authentic(self, token: bytes) -> bool:
        """Return whether a token is valid.

        Valid tokens are cached for a short time, as a node sends the same one
        for a second.
        """
        now = self._clock()
        if self._token_expiry.get(token, 0) > now:
            return True
        text = token.decode('latin-1')
        if not is_token_valid(self._key, text, int(now)):
            return False
        if len(self._token_expiry) >= _TOKEN_CACHE_SIZE:
            self._token_expiry.clear()
        self._token_expiry[token] = now + _TOKEN_CACHE_S
        return True
