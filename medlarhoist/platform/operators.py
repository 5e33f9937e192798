"""Operators: the listener of a source for the platform's operators."""

from typing import Any, Final

from msgspec import DecodeError, Struct, ValidationError, field, json
from result import Err

from medlarhoist.core.command import MovePhase, MoveState, Outcome, Status
from medlarhoist.core.interfaces import NotLeader, OutcomeUnknown, find_leader
from medlarhoist.core.settings import Peer
from medlarhoist.platform.configuration import read_configuration
from medlarhoist.platform.names import (
    GET_CONFIGURATION_PATH,
    MOVE_PATH,
    MOVE_STATES,
    PUT_CONFIGURATION_PATH,
    START_MOVE_PATH,
)
from medlarhoist.platform.settings import Deployment
from medlarhoist.source.api_write import QueueFull
from medlarhoist.source.app import SourceApp
from medlarhoist.source.ledger_link import peer_at
from medlarhoist.source.standby import Spare
from medlarhoist.utils.loop import Host
from medlarhoist.utils.web import Site, WebAnswer, WebRequest, create_site

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


class _Move(Struct, kw_only=True):
    """Body that starts a move."""

    service: str
    label: str = field(name='target_version')
    duration_s: float


class Operators:
    """Answers operators on a source."""

    __slots__ = ('_app', '_told')

    def __init__(self, app: SourceApp, told: Deployment) -> None:
        """Speak for a source."""
        self._app = app
        self._told = told

    async def respond(self, request: WebRequest) -> WebAnswer:
        """Answer one request."""
        try:
            return await self._route(request)
        except NotLeader:
            leader = find_leader(self._app.ledger)
            return redirect(self._told, leader, request.path)
        except (OutcomeUnknown, QueueFull) as exc:
            return _refuse(503, repr(exc))

    async def _route(self, request: WebRequest) -> WebAnswer:
        move = MOVE_PATH.fullmatch(request.path)
        if request.method == 'GET' and move is not None:
            return await self._get_move(move.group(1))
        if request.method == 'GET' and request.path == GET_CONFIGURATION_PATH:
            return await self._get_configuration()
        if request.method == 'POST' and request.path == PUT_CONFIGURATION_PATH:
            return await self._put_configuration(request.body)
        if request.method == 'POST' and request.path == START_MOVE_PATH:
            return await self._start_move(request.body)
        return _refuse(404, 'nothing is served here')

    async def _put_configuration(self, body: bytes) -> WebAnswer:
        read = read_configuration(body)
        if isinstance(read, Err):
            return _refuse(400, read.err_value)
        writer = self._app.write_access.writer
        return _answer(await writer.replace(OPERATOR, read.ok_value))

    async def _get_configuration(self) -> WebAnswer:
        await self._app.ledger.read_barrier()
        revision = self._app.ledger.state.revision
        if not revision.number:
            return _refuse(503, 'no configuration yet')
        return WebAnswer(body=revision.document)

    async def _start_move(self, body: bytes) -> WebAnswer:
        try:
            told = json.decode(body, type=_Move)
        except (DecodeError, ValidationError, UnicodeDecodeError) as exc:
            return _refuse(400, f'move: {exc}')
        duration_ms = round(told.duration_s * _MS_PER_SECOND)
        writer = self._app.write_access.writer
        outcome = await writer.start_move(
            OPERATOR,
            told.service,
            told.label,
            duration_ms,
        )
        return _answer(outcome)

    async def _get_move(self, service: str) -> WebAnswer:
        await self._app.ledger.read_barrier()
        moves = self._app.ledger.state.moves.values()
        own = [move for move in moves if move.service == service]
        if not own:
            return _refuse(404, 'the service was never moved')
        newest = max(own, key=lambda move: move.started_ms)
        if newest.phase is MovePhase.COMPLETED:
            # The targets of the old version end as soon as this is told.
            await self._app.write_access.writer.wait_in_force()
        return _tell(newest)


def create_source_sites(
    told: Deployment,
    host: Host,
    app: SourceApp,
) -> tuple[Site, ...]:
    """Serve operators on the address that the platform chose.

    Raises:
        OSError: the address cannot be bound.
    """
    operators = Operators(app, told)
    return (create_site(host, CHANNEL, told.control, operators.respond),)


def create_spare_sites(
    told: Deployment,
    host: Host,
    spare: Spare,
) -> tuple[Site, ...]:
    """Send operators from a spare source to one that leads.

    Raises:
        OSError: the address cannot be bound.
    """

    async def respond(request: WebRequest) -> WebAnswer:  # noqa: WPS430
        place = spare.places.get(spare.leader)
        leader = None if place is None else peer_at(spare.leader, place)
        return redirect(told, leader, request.path)

    return (create_site(host, CHANNEL, told.control, respond),)


def redirect(told: Deployment, leader: Peer | None, path: str) -> WebAnswer:
    """Send an operator to the source that leads."""
    if leader is None:
        return _refuse(503, 'no source leads')
    host = leader.control.partition(':')[0]
    port = told.control.rpartition(':')[2]
    location = f'http://{host}:{port}{path}'
    return WebAnswer(status=307, body=b'{}', headers={'Location': location})


def _tell(move: MoveState) -> WebAnswer:
    told = {'state': MOVE_STATES[move.phase], 'target_version': move.new}
    return WebAnswer(body=json.encode(told))


def _answer(outcome: Outcome) -> WebAnswer:
    status = _STATUSES[outcome.status]
    if status == 200:
        return WebAnswer(body=b'{}')
    faults = [f'{fault.source}: {fault.message}' for fault in outcome.faults]
    return _refuse(status, '; '.join(faults) or outcome.status.value)


def _refuse(status: int, message: str) -> WebAnswer:
    body: Any = {'error': message}
    return WebAnswer(status=status, body=json.encode(body))
