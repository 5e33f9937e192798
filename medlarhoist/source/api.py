"""Api: the HTTP resource API, by which operators control the system.

It is documented in docs/API.md. A source is a control-plane replica. Every
source serves watches and, with the query stale=1, all reads. Writes and other
reads are served by the leader; other sources respond with status 421 and the
address of the leader. A source without a known leader serves its own status.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from loguru import logger
from msgspec import json
from result import Err

from medlarhoist.core.api_messages import (
    ApplyRequest,
    ConfigurationResponse,
    ErrorResponse,
    ReplaceRequest,
)
from medlarhoist.core.command import Outcome, Status
from medlarhoist.core.event import Compacted
from medlarhoist.core.interfaces import (
    Ledger,
    NotLeader,
    OutcomeUnknown,
    StorageFailed,
    find_leader,
)
from medlarhoist.core.schema import SupportedSchema, check_schema
from medlarhoist.core.settings import SourceSettings
from medlarhoist.core.snapshot import SCHEMA
from medlarhoist.core.verdict import Verdict
from medlarhoist.core.whole_number import parse_whole_number
from medlarhoist.source.api_auth import find_operator
from medlarhoist.source.api_input import read_body
from medlarhoist.source.api_read import (
    select_events,
    select_moves,
    select_resources,
)
from medlarhoist.source.api_write import (
    QueueFull,
    WriteAccess,
    build_apply_response,
)
from medlarhoist.utils.clock import MILLISECONDS_PER_SECOND
from medlarhoist.utils.loop import Host
from medlarhoist.utils.web import Site, WebRequest, WebResponse, create_site

CHANNEL: Final = 'api'
MAX_WATCH_WAIT_MS: Final = 30_000
DEFAULT_WATCH_WAIT_MS: Final = 10_000
MAX_NUMBER_DIGITS: Final = 18

StatusView = Callable[[], Any]
OldestSchemaView = Callable[[], SupportedSchema]
ReadHandler = Callable[[WebRequest, str], Awaitable[WebResponse]]

_HTTP_STATUS: Final = {
    Status.ACCEPTED: 200,
    Status.PENDING: 202,
    Status.CONFLICT: 409,
    Status.REFUSED: 422,
    Status.ABANDONED: 422,
    Status.BUSY: 503,
}


class Api:
    """Handles the HTTP requests of operators."""

    __slots__ = (
        '_cfg',
        '_is_closing',
        '_ledger',
        '_oldest_schema',
        '_status',
        '_watch',
        '_writer',
    )

    def __init__(
        self,
        cfg: SourceSettings,
        ledger: Ledger,
        write_access: WriteAccess,
        status: StatusView,
        oldest_schema: OldestSchemaView,
    ) -> None:
        """Take the arguments of create_api."""
        self._cfg = cfg
        self._ledger = ledger
        self._watch = write_access.watch
        self._writer = write_access.writer
        self._status = status
        self._oldest_schema = oldest_schema
        self._is_closing = False

    def close(self) -> None:
        """End waiting requests: watches now, writes after a grace period.

        The site calls this when it stops. See Writer.close for writes.
        """
        self._is_closing = True
        self._writer.close()
        self._watch.notify()

    async def respond(self, request: WebRequest) -> WebResponse:
        """Return the response to one request.

        The body of an error response is an ErrorResponse, whose verdict states
        whether the request may have changed anything.
        """
        authorization = request.headers.get('authorization', '')
        operator = find_operator(self._cfg.operators, authorization)
        if operator is None:
            logger.warning('api: no valid token from {}', request.peer)
            return _problem(401, 'no valid bearer token')
        try:  # noqa: WPS225  each cause has its own status
            return await self._route(request, operator)
        except StorageFailed as exc:
            return _problem(507, f'the disk of this source refused: {exc}')
        except NotLeader:
            return self._redirect()
        except OutcomeUnknown:
            message = 'the outcome is unknown; resend with the same request id'
            return _problem(504, message, Verdict.MAY_HAVE_RUN)
        except QueueFull:
            return _problem(503, 'too many requests wait; try again later')

    async def _route(self, request: WebRequest, operator: str) -> WebResponse:
        path = request.path.rstrip('/')
        if path == '/v1/apply':
            return await self._apply(request, operator)
        if path == '/v1/configuration' and request.method == 'PUT':
            return await self._replace(request, operator)
        if request.method != 'GET':
            return _problem(405, 'only GET is served here')
        for prefix, handler in self._read_handlers().items():
            if path == prefix or path.startswith(f'{prefix}/'):
                rest = path[len(prefix) + 1 :]
                return await handler(request, rest)
        return _problem(404, f'nothing is served at {path}')

    def _read_handlers(self) -> dict[str, ReadHandler]:
        return {
            '/v1/resources': self._get_resources,
            '/v1/configuration': self._get_configuration,
            '/v1/moves': self._get_moves,
            '/v1/requests': self._get_request,
            '/v1/status': self._get_status,
            '/v1/watch': self._get_events,
        }

    async def _apply(self, request: WebRequest, operator: str) -> WebResponse:
        if request.method != 'POST':
            return _problem(405, 'only POST is served here')
        decoded = read_body(request.body, ApplyRequest)
        if isinstance(decoded, Err):
            return _problem(400, decoded.err_value)
        body = decoded.ok_value
        faults = check_schema(SCHEMA, self._oldest_schema())
        outcome = Outcome(status=Status.REFUSED, faults=faults)
        if not faults:
            outcome = await self._writer.apply(operator, body)
        response = build_apply_response(body.request_id, outcome)
        return _json_response(response, _HTTP_STATUS[outcome.status])

    async def _replace(self, request: WebRequest, operator: str) -> WebResponse:
        decoded = read_body(request.body, ReplaceRequest)
        if isinstance(decoded, Err):
            return _problem(400, decoded.err_value)
        body = decoded.ok_value
        outcome = await self._writer.replace(operator, body)
        response = build_apply_response(body.request_id, outcome)
        return _json_response(response, _HTTP_STATUS[outcome.status])

    async def _get_configuration(
        self,
        request: WebRequest,
        rest: str,
    ) -> WebResponse:
        await self._ensure_current(request)
        state = self._ledger.state
        found = ConfigurationResponse(
            revision=state.revision.number,
            version=state.active.version,
            document=state.revision.document.decode(),
        )
        return _json_response(found)

    async def _get_resources(
        self, request: WebRequest, rest: str
    ) -> WebResponse:
        await self._ensure_current(request)
        kind, _, name = rest.partition('/')
        found = select_resources(self._ledger.state, kind, name)
        if name and not found.entries:
            return _problem(404, f'{rest} does not exist')
        return _json_response(found)

    async def _get_moves(self, request: WebRequest, rest: str) -> WebResponse:
        await self._ensure_current(request)
        found = select_moves(self._ledger.state, rest)
        if rest and not found.moves:
            return _problem(404, f'move {rest} does not exist')
        return _json_response(found)

    async def _get_request(self, request: WebRequest, rest: str) -> WebResponse:
        await self._ensure_current(request)
        outcome = self._ledger.state.requests.get(rest)
        if outcome is None:
            return _problem(404, f'request {rest} is not known')
        return _json_response(build_apply_response(rest, outcome))

    async def _get_status(self, request: WebRequest, rest: str) -> WebResponse:
        leader = self._ledger.leader
        is_follower = leader not in {'', self._cfg.name}
        if is_follower and request.query.get('stale') != '1':
            raise NotLeader
        return _json_response(self._status())

    async def _get_events(self, request: WebRequest, rest: str) -> WebResponse:
        newest = str(self._ledger.state.events.last)
        since = parse_whole_number(
            request.query.get('since', newest), MAX_NUMBER_DIGITS
        )
        wait_ms = parse_whole_number(
            request.query.get('wait_ms', str(DEFAULT_WATCH_WAIT_MS)),
            MAX_NUMBER_DIGITS,
        )
        if since is None or wait_ms is None:
            return _problem(400, 'since and wait_ms: whole numbers from 0 up')
        timeout = min(wait_ms, MAX_WATCH_WAIT_MS) / MILLISECONDS_PER_SECOND
        await self._watch.wait_until(
            lambda state: state.events.last > since or self._is_closing,
            timeout,
        )
        found = select_events(self._ledger.state, since)
        if isinstance(found, Compacted):
            problem = ErrorResponse(
                message=f'events before {found.oldest} are no longer kept',
                verdict=Verdict.DID_NOT_RUN,
                oldest=found.oldest,
            )
            return _json_response(problem, 410)
        return _json_response(found)

    async def _ensure_current(self, request: WebRequest) -> None:
        """Wait for all committed commands, unless stale data will do.

        Raises:
            NotLeader: this source does not lead or cannot confirm that it does.
        """
        if request.query.get('stale') != '1':
            await self._ledger.read_barrier()

    def _redirect(self) -> WebResponse:
        """Return status 421 with the leader's API address, if known."""
        peer = find_leader(self._ledger)
        leader = '' if peer is None else peer.api
        problem = ErrorResponse(
            message='another source leads' if leader else 'no source leads',
            verdict=Verdict.DID_NOT_RUN,
            leader=leader,
        )
        return _json_response(problem, 421)


def create_api(
    host: Host,
    cfg: SourceSettings,
    ledger: Ledger,
    write_access: WriteAccess,
    status: StatusView = dict,
    oldest_schema: OldestSchemaView = SupportedSchema,
) -> Site:
    """Serve the resource API on the endpoint that the settings name.

    Args:
        host: the root component of the process.
        cfg: settings of this source.
        ledger: the replicated log.
        write_access: proposes writes to the ledger and watches its state.
        status: returns the body of GET /v1/status, as records or built-ins.
        oldest_schema: returns the oldest content schema among live nodes;
            requests to /v1/apply are refused if these cannot compile the
            schema of this source.

    Returns:
        The listener, which the caller stops.

    Raises:
        OSError: the address cannot be bound.
    """
    api = Api(cfg, ledger, write_access, status, oldest_schema)
    return create_site(host, CHANNEL, cfg.endpoint.api, api.respond, api.close)


def _json_response(record: Any, status: int = 200) -> WebResponse:
    return WebResponse(status=status, body=json.encode(record))


def _problem(
    status: int,
    message: str,
    verdict: Verdict = Verdict.DID_NOT_RUN,
) -> WebResponse:
    return _json_response(
        ErrorResponse(message=message, verdict=verdict), status
    )
