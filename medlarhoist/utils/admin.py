"""Admin listener: HTTP endpoints of each process for operators.

Serves GET /dump, /metrics and /healthy. On a node the target on the same VM
also registers by PUT /target and deregisters by DELETE /target, and DELETE
/quarantine/FINGERPRINT releases a request.
"""

from collections.abc import Callable
from typing import Any, Final

from msgspec import json

from medlarhoist.core.target import TargetNotice
from medlarhoist.utils.loop import Host
from medlarhoist.utils.metrics import CONTENT_TYPE, Metrics
from medlarhoist.utils.redact import encode_dump
from medlarhoist.utils.web import (
    JSON_ERRORS,
    Site,
    WebRequest,
    WebResponse,
    create_site,
)

CHANNEL: Final = 'admin'

Dump = Callable[[], Any]
OnTargetNotice = Callable[[TargetNotice], str | None]
OnTargetRemoved = Callable[[], None]
Release = Callable[[str], bool]
QUARANTINE_PATH: Final = '/quarantine/'


class Admin:
    """Handles the requests of one admin listener."""

    __slots__ = (
        '_dump',
        '_metrics',
        '_on_target_notice',
        '_on_target_removed',
        '_release',
    )

    def __init__(
        self,
        dump: Dump,
        on_target_notice: OnTargetNotice | None,
        on_target_removed: OnTargetRemoved | None,
        metrics: Metrics | None,
        release: Release | None,
    ) -> None:
        """Store the callbacks; see create_admin."""
        self._release = release
        self._dump = dump
        self._on_target_notice = on_target_notice
        self._on_target_removed = on_target_removed
        self._metrics = metrics

    async def respond(self, request: WebRequest) -> WebResponse:
        """Return the response to a request."""
        if request.path == '/target':
            return self._handle_target(request)
        if request.path.startswith(QUARANTINE_PATH):
            return self._handle_release(request)
        if request.method != 'GET':
            return _refuse(405, 'only GET is served here')
        if request.path == '/dump':
            return WebResponse(body=encode_dump(self._dump()))
        if request.path == '/metrics' and self._metrics is not None:
            body = self._metrics.render()
            return WebResponse(body=body, content_type=CONTENT_TYPE)
        if request.path == '/healthy':
            return WebResponse(body=b'{"healthy":true}')
        return _refuse(404, 'serves /dump, /metrics, /healthy and /target')

    def _handle_release(self, request: WebRequest) -> WebResponse:
        if request.method != 'DELETE':
            return _refuse(405, 'only DELETE is served here')
        fingerprint = request.path.removeprefix(QUARANTINE_PATH)
        if self._release is None or not self._release(fingerprint):
            return _refuse(404, 'no such request is suspected here')
        return WebResponse(body=b'{}')

    def _handle_target(self, request: WebRequest) -> WebResponse:
        if self._on_target_notice is None or self._on_target_removed is None:
            return _refuse(404, 'this process has no target beside it')
        if request.method == 'DELETE':
            self._on_target_removed()
            return WebResponse(body=b'{}')
        if request.method != 'PUT':
            return _refuse(405, 'only PUT and DELETE are served here')
        try:
            notice = json.decode(request.body, type=TargetNotice)
        except JSON_ERRORS as exc:
            return _refuse(400, f'body: {exc}')
        fault = self._on_target_notice(notice)
        return _refuse(400, fault) if fault else WebResponse(body=b'{}')


def create_admin(
    host: Host,
    address: str,
    dump: Dump,
    on_target_notice: OnTargetNotice | None = None,
    on_target_removed: OnTargetRemoved | None = None,
    metrics: Metrics | None = None,
    release: Release | None = None,
) -> Site:
    """Start the admin listener of a process.

    Args:
        host: the root component of the process.
        address: host:port to listen on.
        dump: returns the state of the process as records or built-in types;
            called for each GET /dump.
        on_target_notice: called with each notice that the target of this node
            sends; returns why it is refused, if it is. None on a source, which
            has no target.
        on_target_removed: called when the target deregisters.
        metrics: rendered for GET /metrics; None serves no metrics.
        release: called with the fingerprint of a request that an operator
            releases from quarantine; returns whether it was suspected. None on
            a source, which has no requests.

    Raises:
        OSError: the address cannot be bound.
    """
    admin = Admin(
        dump,
        on_target_notice,
        on_target_removed,
        metrics,
        release,
    )
    return create_site(host, CHANNEL, address, admin.respond)


def _refuse(status: int, message: str) -> WebResponse:
    return WebResponse(status=status, body=json.encode({'message': message}))
