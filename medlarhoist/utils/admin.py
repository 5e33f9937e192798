"""Admin: the HTTP listener of each process for the people on call.

GET /dump, /metrics and /healthy; on nodes also PUT and DELETE /target, by
which the target of the same VM announces itself.
"""

from collections.abc import Callable
from typing import Any, Final

from msgspec import DecodeError, ValidationError, json

from medlarhoist.core.target import TargetNotice
from medlarhoist.utils.loop import Host
from medlarhoist.utils.metrics import CONTENT_TYPE, Metrics
from medlarhoist.utils.redact import bound_dump
from medlarhoist.utils.web import Site, WebRequest, WebResponse, create_site

CHANNEL: Final = 'admin'

Dump = Callable[[], Any]
OnTarget = Callable[[TargetNotice], None]
OnTargetGone = Callable[[], None]


class Admin:
    """Answers the requests of one admin listener."""

    __slots__ = ('_dump', '_metrics', '_on_target', '_on_target_gone')

    def __init__(
        self,
        dump: Dump,
        on_target: OnTarget | None,
        on_target_gone: OnTargetGone | None,
        metrics: Metrics | None,
    ) -> None:
        """Keep the callables; see create_admin."""
        self._dump = dump
        self._on_target = on_target
        self._on_target_gone = on_target_gone
        self._metrics = metrics

    async def respond(self, request: WebRequest) -> WebResponse:
        """Answer one request."""
        if request.path == '/target':
            return self._take_target(request)
        if request.method != 'GET':
            return _refuse(405, 'only GET is served here')
        if request.path == '/dump':
            return WebResponse(body=bound_dump(self._dump()))
        if request.path == '/metrics' and self._metrics is not None:
            body = self._metrics.render()
            return WebResponse(body=body, content_type=CONTENT_TYPE)
        if request.path == '/healthy':
            return WebResponse(body=b'{"healthy":true}')
        return _refuse(404, 'serves /dump, /metrics, /healthy and /target')

    def _take_target(self, request: WebRequest) -> WebResponse:
        if self._on_target is None or self._on_target_gone is None:
            return _refuse(404, 'this process has no target beside it')
        if request.method == 'DELETE':
            self._on_target_gone()
            return WebResponse(body=b'{}')
        if request.method != 'PUT':
            return _refuse(405, 'only PUT and DELETE are served here')
        try:
            notice = json.decode(request.body, type=TargetNotice)
        except (DecodeError, ValidationError, UnicodeDecodeError) as exc:
            return _refuse(400, f'body: {exc}')
        self._on_target(notice)
        return WebResponse(body=b'{}')


def create_admin(
    host: Host,
    address: str,
    dump: Dump,
    on_target: OnTarget | None = None,
    on_target_gone: OnTargetGone | None = None,
    metrics: Metrics | None = None,
) -> Site:
    """Serve the admin listener of a process.

    Args:
        host: the root component of the process.
        address: host:port to listen on.
        dump: returns the state of the process as records or built-ins.
        on_target: takes what the target beside this node says of itself.
        on_target_gone: called when that target says that it is gone.
        metrics: the metrics of the process.

    Raises:
        OSError: the address cannot be bound.
    """
    admin = Admin(dump, on_target, on_target_gone, metrics)
    return create_site(host, CHANNEL, address, admin.respond)


def _refuse(status: int, message: str) -> WebResponse:
    return WebResponse(status=status, body=json.encode({'message': message}))
