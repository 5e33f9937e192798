"""Instances: the listeners of a node for its instance and for the platform.

Both say what the product already knows: notices of the target go to the node,
and whether the node takes calls is asked of it.
"""

from loguru import logger
from result import Err

from medlarhoist.node.app import NodeApp
from medlarhoist.node.target_registration import Announcer
from medlarhoist.platform.announcement import read_heartbeat, read_leave
from medlarhoist.platform.names import HEARTBEAT_PATH, LEAVE_PATH, READY_PATH
from medlarhoist.platform.settings import Deployment
from medlarhoist.utils.loop import Host
from medlarhoist.utils.web import Site, WebAnswer, WebRequest, create_site

CHANNEL = 'instances'
READY_CHANNEL = 'readiness'


class Instances:
    """Answers the instance beside a node."""

    __slots__ = ('_announcer',)

    def __init__(self, announcer: Announcer) -> None:
        """Speak for a node."""
        self._announcer = announcer

    async def respond(self, request: WebRequest) -> WebAnswer:
        """Answer one request."""
        heartbeat = HEARTBEAT_PATH.fullmatch(request.path)
        leave = LEAVE_PATH.fullmatch(request.path)
        if request.method == 'POST' and heartbeat is not None:
            return self._take(heartbeat.group(1), request.body)
        if request.method == 'POST' and leave is not None:
            self._announcer.lose(leave.group(1), read_leave(request.body))
            return WebAnswer(body=b'{}')
        return WebAnswer(status=404, body=b'{}')

    def _take(self, run_id: str, body: bytes) -> WebAnswer:
        read = read_heartbeat(run_id, body)
        if isinstance(read, Err):
            logger.warning('target: refused: {}', read.err_value)
            return WebAnswer(status=400, body=b'{}')
        self._announcer.hear(read.ok_value)
        return WebAnswer(body=b'{}')


class Readiness:
    """Answers whether a node takes calls."""

    __slots__ = ('_app',)

    def __init__(self, app: NodeApp) -> None:
        """Speak for a node."""
        self._app = app

    async def respond(self, request: WebRequest) -> WebAnswer:
        """Answer one request."""
        if request.path != READY_PATH:
            return WebAnswer(status=404, body=b'{}')
        return WebAnswer(status=200 if self._app.is_ready else 503, body=b'{}')


def create_node_sites(
    told: Deployment,
    host: Host,
    app: NodeApp,
) -> tuple[Site, ...]:
    """Serve the addresses that the platform chose.

    Raises:
        OSError: an address cannot be bound.
    """
    instances = Instances(app.announcer)
    readiness = Readiness(app)
    return (
        create_site(host, CHANNEL, told.control, instances.respond),
        create_site(host, READY_CHANNEL, told.readiness, readiness.respond),
    )
