"""Listener of a source for the platform's operators."""

from typing import Any, Final
from urllib.parse import unquote

from msgspec import Struct, field, json
from result import Err

from medlarhoist.core.command import MovePhase, MoveState, Outcome, Status
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown, find_leader
from medlarhoist.core.settings import Peer
from medlarhoist.platform.configuration import Seconds, read_configuration
from medlarhoist.platform.names import (
    DRAIN_PATH,
    GET_CONFIGURATION_PATH,
    MOVE_PATH,
    MOVE_STATES,
    PUT_CONFIGURATION_PATH,
    START_MOVE_PATH,
)
from medlarhoist.platform.settings import Deployment
from medlarhoist.source.api_write import QueueFull
from medlarhoist.source.app import SourceApp
from medlarhoist.source.domain_drain import set_drain
from medlarhoist.source.ledger_link import peer_from_endpoint
from medlarhoist.source.standby import Standby
from medlarhoist.utils.loop import Host
from medlarhoist.utils.web import (
    JSON_ERRORS,
    Site,
    WebRequest,
    WebResponse,
    create_site,
)

CHANNEL: Final = 'operators'
OPERATOR: Final = 'platform'
_MS_PER_SECOND: Final = 1000

_STATUSES: Final = {
    Status.ACCEPTED: 200,
    Status.CONFLICT: 412,
    Status.REFUSED: 400,
    Status.ABANDONED: 400,
    Status.PENDING: 503,
    Status.BUSY: 503,
}


class _StartMove(Struct, kw_only=True):
    """Body of a request to start a move (the rollout of a version)."""

    service: str
    label: str = field(name='target_version')
    duration_s: Seconds


class OperatorApi:
    """HTTP API of a source for the platform's operators."""

    __slots__ = ('_app', '_deployment')

    def __init__(self, app: SourceApp, deployment: Deployment) -> None:
        """Serve the configuration and the moves of a source."""
        self._app = app
        self._deployment = deployment

    async def respond(self, request: WebRequest) -> WebResponse:
        """Handle one request.

        Returns:
            Status 307 if another source leads, 503 if none does, if the
            outcome is unknown or if the queue of writes is full.
        """
        try:
            return await self._route(request)
        except NotLeader:
            leader = find_leader(self._app.ledger)
            return redirect_to_leader(self._deployment, leader, request.path)
        except (OutcomeUnknown, QueueFull) as exc:
            return _error_response(503, repr(exc))

    async def _route(self, request: WebRequest) -> WebResponse:
        move = MOVE_PATH.fullmatch(request.path)
        if request.method == 'GET' and move is not None:
            return await self._get_move(move.group(1))
        if request.method == 'GET' and request.path == GET_CONFIGURATION_PATH:
            return await self._get_configuration()
        if request.method == 'POST' and request.path == PUT_CONFIGURATION_PATH:
            return await self._put_configuration(request.body)
        if request.method == 'POST' and request.path == START_MOVE_PATH:
            return await self._start_move(request.body)
        drain = DRAIN_PATH.fullmatch(request.path)
        if request.method == 'POST' and drain is not None:
            return await self._set_drain(*drain.groups())
        return _error_response(404, 'nothing is served here')

    async def _put_configuration(self, body: bytes) -> WebResponse:
        read = read_configuration(body)
        if isinstance(read, Err):
            return _error_response(400, read.err_value)
        writer = self._app.write_access.writer
        return _outcome_response(await writer.replace(OPERATOR, read.ok_value))

    async def _get_configuration(self) -> WebResponse:
        await self._app.ledger.read_barrier()
        revision = self._app.ledger.state.revision
        if not revision.number:
            return _error_response(503, 'no configuration yet')
        return WebResponse(body=revision.document)

    async def _start_move(self, body: bytes) -> WebResponse:
        try:
            start = json.decode(body, type=_StartMove)
        except JSON_ERRORS as exc:
            return _error_response(400, f'move: {exc}')
        duration_ms = round(start.duration_s * _MS_PER_SECOND)
        writer = self._app.write_access.writer
        outcome = await writer.start_move(
            OPERATOR,
            start.service,
            start.label,
            duration_ms,
        )
        return _outcome_response(outcome)

    async def _set_drain(self, domain: str, action: str) -> WebResponse:
        outcome = await set_drain(
            self._app.write_access.writer,
            self._app.ledger,
            OPERATOR,
            unquote(domain),
            is_drained=action == 'start',
        )
        return _outcome_response(outcome)

    async def _get_move(self, service: str) -> WebResponse:
        await self._app.ledger.read_barrier()
        moves = self._app.ledger.state.moves.values()
        found = [move for move in moves if move.service == service]
        if not found:
            return _error_response(404, 'the service was never moved')
        newest = max(found, key=lambda move: move.started_ms)
        if newest.phase is MovePhase.COMPLETED:
            # The platform stops the targets of the old version as soon as it
            # reads `completed`, so nodes get time to route by the new version
            # first.
            await self._app.write_access.writer.wait_in_force()
        return _move_response(newest)


def create_source_sites(
    deployment: Deployment,
    host: Host,
    app: SourceApp,
) -> tuple[Site, ...]:
    """Open the listener for operators on a source that is in the group.

    Args:
        deployment: the address that the platform assigned.
        host: event loop of the process.
        app: the source.

    Raises:
        OSError: the address cannot be bound.
    """
    operators = OperatorApi(app, deployment)
    return (create_site(host, CHANNEL, deployment.control, operators.respond),)


def create_standby_sites(
    deployment: Deployment,
    host: Host,
    standby: Standby,
) -> tuple[Site, ...]:
    """Open the listener for operators on a standby source.

    It redirects every request to the leader.

    Args:
        deployment: the address that the platform assigned.
        host: event loop of the process.
        standby: the source, which has no member slot in the group.

    Raises:
        OSError: the address cannot be bound.
    """

    async def respond(request: WebRequest) -> WebResponse:  # noqa: WPS430
        endpoint = standby.endpoints.get(standby.leader)
        leader = (
            None
            if endpoint is None
            else peer_from_endpoint(standby.leader, endpoint)
        )
        return redirect_to_leader(deployment, leader, request.path)

    return (create_site(host, CHANNEL, deployment.control, respond),)


def redirect_to_leader(
    deployment: Deployment, leader: Peer | None, path: str
) -> WebResponse:
    """Return a redirect to the leader.

    Args:
        deployment: its control port is the same on every source.
        leader: the leader; without one the response is status 503.
        path: path of the request.
    """
    if leader is None:
        return _error_response(503, 'no source leads')
    host = leader.control.partition(':')[0]
    port = deployment.control.rpartition(':')[2]
    location = f'http://{host}:{port}{path}'
    return WebResponse(status=307, body=b'{}', headers={'Location': location})


def _move_response(move: MoveState) -> WebResponse:
    content = {'state': MOVE_STATES[move.phase], 'target_version': move.new}
    return WebResponse(body=json.encode(content))


def _outcome_response(outcome: Outcome) -> WebResponse:
    status = _STATUSES[outcome.status]
    if status == 200:
        return WebResponse(body=b'{}')
    faults = [f'{fault.source}: {fault.message}' for fault in outcome.faults]
    return _error_response(status, '; '.join(faults) or outcome.status.value)


def _error_response(status: int, message: str) -> WebResponse:
    body: Any = {'error': message}
    return WebResponse(status=status, body=json.encode(body))
