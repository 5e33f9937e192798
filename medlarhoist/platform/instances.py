"""Listeners of a node for its instance and for the platform's readiness check.

They hold no state of their own: heartbeats are passed to the node as notices
of its target, and readiness is read from the node.
"""

from loguru import logger
from result import Err

from medlarhoist.node.app import NodeApp
from medlarhoist.node.target_registration import TargetRegistration
from medlarhoist.platform.announcement import read_heartbeat, read_leave
from medlarhoist.platform.names import HEARTBEAT_PATH, LEAVE_PATH, READY_PATH
from medlarhoist.platform.settings import Deployment
from medlarhoist.utils.loop import Host
from medlarhoist.utils.web import Site, WebRequest, WebResponse, create_site

CHANNEL = 'instances'
READY_CHANNEL = 'readiness'


class InstanceApi:
    """HTTP API of a node for the heartbeats and leaves of its instance."""

    __slots__ = ('_domain', '_registration')

    def __init__(self, registration: TargetRegistration, domain: str) -> None:
        """Pass heartbeats and leaves to the registration of the target.

        Args:
            registration: tracks the target beside the node.
            domain: failure domain of the node.
        """
        self._domain = domain
        self._registration = registration

    async def respond(self, request: WebRequest) -> WebResponse:
        """Handle a heartbeat or a leave.

        Returns:
            Status 200, 400 for a heartbeat or leave that the instance can't
            have sent, 404 for any other request.
        """
        heartbeat = HEARTBEAT_PATH.fullmatch(request.path)
        leave = LEAVE_PATH.fullmatch(request.path)
        if request.method == 'POST' and heartbeat is not None:
            return await self._handle_heartbeat(
                heartbeat.group(1), request.body
            )
        if request.method == 'POST' and leave is not None:
            return await self._handle_leave(leave.group(1), request.body)
        return WebResponse(status=404, body=b'{}')

    async def _handle_heartbeat(self, run_id: str, body: bytes) -> WebResponse:
        read = read_heartbeat(run_id, body, self._domain)
        if isinstance(read, Err):
            return _refuse(read.err_value)
        return _respond(await self._registration.accept(read.ok_value))

    async def _handle_leave(self, run_id: str, body: bytes) -> WebResponse:
        read = read_leave(body)
        if isinstance(read, Err):
            return _refuse(read.err_value)
        return _respond(
            await self._registration.accept_leave(run_id, read.ok_value)
        )


class ReadinessApi:
    """HTTP API that reports whether a node accepts calls."""

    __slots__ = ('_app',)

    def __init__(self, app: NodeApp) -> None:
        """Report the readiness of a node."""
        self._app = app

    async def respond(self, request: WebRequest) -> WebResponse:
        """Return status 200 if the node accepts calls, 503 if not."""
        if request.path != READY_PATH:
            return WebResponse(status=404, body=b'{}')
        return WebResponse(
            status=200 if self._app.is_ready else 503, body=b'{}'
        )


def create_node_sites(
    deployment: Deployment,
    host: Host,
    app: NodeApp,
) -> tuple[Site, ...]:
    """Open the node's listeners for its instance and for readiness checks.

    Args:
        deployment: the addresses that the platform assigned.
        host: event loop of the process.
        app: the node.

    Raises:
        OSError: an address cannot be bound.
    """
    instances = InstanceApi(app.target_registration, deployment.process.domain)
    readiness = ReadinessApi(app)
    return (
        create_site(host, CHANNEL, deployment.control, instances.respond),
        create_site(
            host, READY_CHANNEL, deployment.readiness, readiness.respond
        ),
    )


def _respond(fault: str) -> WebResponse:
    return WebResponse(status=400 if fault else 200, body=b'{}')


def _refuse(fault: str) -> WebResponse:
    logger.warning('target: refused: {}', fault)
    return _respond(fault)
