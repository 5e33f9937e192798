"""Entry: routes the calls of callers.

A call is routed once, by one configuration.
"""

from random import Random
from typing import Final

from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import (
    find_parent_id,
    read_request_id,
)
from medlarhoist.core.headers import Header, find_header
from medlarhoist.core.resource import Route
from medlarhoist.core.split import Splitter
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.call import Call
from medlarhoist.node.proxy.call_attempts import CallAttempts
from medlarhoist.node.proxy.call_log import log_unrouted
from medlarhoist.node.proxy.exchange import Exchange
from medlarhoist.node.proxy.parts import ProxyParts
from medlarhoist.node.proxy.reader import Head
from medlarhoist.node.proxy.relay import refuse

_NO_CONFIGURATION: Final = Failure(
    Verdict.DID_NOT_RUN,
    'no configuration yet',
)
_NO_ROUTE: Final = Failure(Verdict.DID_NOT_RUN, 'no route', 404)
_STOPPING: Final = Failure(Verdict.DID_NOT_RUN, 'node is stopping')


class EntryService:
    """Handles the requests of the entry listener.

    Args:
        attempts: sends routed calls to targets.
        is_draining: whether new calls are refused.
    """

    __slots__ = (
        '_added_headers',
        '_parts',
        '_splitter',
        'attempts',
        'is_draining',
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
        self._splitter = Splitter(Random())  # noqa: S311  spreads load only
        self.attempts = CallAttempts(parts)
        self.is_draining = False

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
        names = self._parts.header_names
        headers = exchange.head.headers
        parent_id = find_parent_id(names, read_request_id(names, headers))
        account = self._parts.accounts.admit(
            compiled, route, headers, parent_id
        )
        if isinstance(account, Failure):
            self._refuse_unrouted(exchange, account)
            return
        service = compiled.services[self._splitter.pick(route)]
        label = self._parts.selector.pick_label(compiled, service)
        call = Call(
            exchange,
            route,
            service.name,
            label,
            names,
            self._added_headers,
        )
        call.version = compiled.version
        call.is_nested = parent_id in self._parts.local.running
        self._parts.accounts.assign(compiled, call, account, parent_id)
        share = compiled.shares.get(service.name)
        if share is not None:
            call.fallback_label = share.old
        await self.attempts.serve(exchange, call)

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


def _find_route(compiled: Compiled, head: Head) -> Route | None:
    host = find_header(head.headers, b'host') or b''
    return compiled.match(head.url.decode('latin-1'), host.decode('latin-1'))
