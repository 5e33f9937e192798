"""Api: the resource API that operators drive the system by, over HTTP.

Docs are in docs/API.md. Any source serves watches and the status; writes and
other reads are served by the leader, the rest name it with status 421.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from loguru import logger
from msgspec import json
from result import Err

from medlarhoist.core.api_messages import (
    ApplyRequest,
    ConfigurationAnswer,
    Problem,
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
from medlarhoist.core.schema import SchemaFloor, check_schema
from medlarhoist.core.settings import SourceSettings
from medlarhoist.core.snapshot import SCHEMA
from medlarhoist.core.verdict import Verdict
from medlarhoist.source.api_auth import find_operator
from medlarhoist.source.api_input import read_body
from medlarhoist.source.api_read import (
    select_events,
    select_moves,
    select_resources,
)
from medlarhoist.source.api_write import (
    QueueFull,
    Writing,
    answer_outcome,
)
from medlarhoist.utils.clock import MILLISECONDS_PER_SECOND
from medlarhoist.utils.loop import Host
from medlarhoist.utils.web import Site, WebAnswer, WebRequest, create_site

CHANNEL: Final = 'api'
WATCH_LIMIT_MS: Final = 30_000
WATCH_DEFAULT_MS: Final = 10_000
DIGITS_LIMIT: Final = 18

StatusView = Callable[[], Any]
FloorView = Callable[[], SchemaFloor]
Serve = Callable[[WebRequest, str], Awaitable[WebAnswer]]

_HTTP_STATUS: Final = {
    Status.ACCEPTED: 200,
    Status.PENDING: 202,
    Status.CONFLICT: 409,
    Status.REFUSED: 422,
    Status.ABANDONED: 422,
    Status.BUSY: 503,
}


class Api:
    """Answers the requests of operators."""

    __slots__ = (
        '_cfg',
        '_is_closing',
        '_ledger',
        '_lowest',
        '_status',
        '_watch',
        '_writer',
    )

    def __init__(
        self,
        cfg: SourceSettings,
        ledger: Ledger,
        writing: Writing,
        status: StatusView,
        lowest_schema: FloorView,
    ) -> None:
        """Keep the parts; see create_api."""
        self._cfg = cfg
        self._ledger = ledger
        self._watch = writing.watch
        self._writer = writing.writer
        self._status = status
        self._lowest = lowest_schema
        self._is_closing = False

    def close(self) -> None:
        """Answer what waits: watches at once, writes after a grace time."""
        self._is_closing = True
        self._writer.close()
        self._watch.notify()

    async def respond(self, request: WebRequest) -> WebAnswer:
        """Answer one request; every refusal has a verdict."""
        authorization = request.headers.get('authorization', '')
        operator = find_operator(self._cfg.operators, authorization)
        if operator is None:
            logger.warning('api: no valid token from {}', request.peer)
            return _refuse(401, 'no valid bearer token')
        try:  # noqa: WPS225  each cause has an answer of its own
            return await self._route(request, operator)
        except StorageFailed as exc:
            return _refuse(507, f'the disk of this source refused: {exc}')
        except NotLeader:
            return self._redirect()
        except OutcomeUnknown:
            message = 'the outcome is unknown; resend with the same request id'
            return _refuse(504, message, Verdict.MAY_HAVE_RUN)
        except QueueFull:
            return _refuse(503, 'too many requests wait; try again later')

    async def _route(self, request: WebRequest, operator: str) -> WebAnswer:
        path = request.path.rstrip('/')
        if path == '/v1/apply':
            return await self._apply(request, operator)
        if path == '/v1/configuration' and request.method == 'PUT':
            return await self._replace(request, operator)
        if request.method != 'GET':
            return _refuse(405, 'only GET is served here')
        for prefix, serve in self._reads().items():
            if path == prefix or path.startswith(f'{prefix}/'):
                rest = path[len(prefix) + 1 :]
                return await serve(request, rest)
        return _refuse(404, f'nothing is served at {path}')

    def _reads(self) -> dict[str, Serve]:
        return {
            '/v1/resources': self._get_resources,
            '/v1/configuration': self._get_configuration,
            '/v1/moves': self._get_moves,
            '/v1/requests': self._get_request,
            '/v1/status': self._get_status,
            '/v1/watch': self._get_events,
        }

    async def _apply(self, request: WebRequest, operator: str) -> WebAnswer:
        if request.method != 'POST':
            return _refuse(405, 'only POST is served here')
        read = read_body(request.body, ApplyRequest)
        if isinstance(read, Err):
            return _refuse(400, read.err_value)
        wanted = read.ok_value
        faults = check_schema(SCHEMA, self._lowest())
        outcome = Outcome(status=Status.REFUSED, faults=faults)
        if not faults:
            outcome = await self._writer.apply(operator, wanted)
        answer = answer_outcome(wanted.request_id, outcome)
        return _answer(answer, _HTTP_STATUS[outcome.status])

    async def _replace(self, request: WebRequest, operator: str) -> WebAnswer:
        read = read_body(request.body, ReplaceRequest)
        if isinstance(read, Err):
            return _refuse(400, read.err_value)
        wanted = read.ok_value
        outcome = await self._writer.replace(operator, wanted)
        answer = answer_outcome(wanted.request_id, outcome)
        return _answer(answer, _HTTP_STATUS[outcome.status])

    async def _get_configuration(
        self,
        request: WebRequest,
        rest: str,
    ) -> WebAnswer:
        await self._catch_up(request)
        state = self._ledger.state
        found = ConfigurationAnswer(
            revision=state.revision.number,
            version=state.active.version,
            document=state.revision.document.decode(),
        )
        return _answer(found)

    async def _get_resources(self, request: WebRequest, rest: str) -> WebAnswer:
        await self._catch_up(request)
        kind, _, name = rest.partition('/')
        found = select_resources(self._ledger.state, kind, name)
        if name and not found.entries:
            return _refuse(404, f'{rest} does not exist')
        return _answer(found)

    async def _get_moves(self, request: WebRequest, rest: str) -> WebAnswer:
        await self._catch_up(request)
        found = select_moves(self._ledger.state, rest)
        if rest and not found.moves:
            return _refuse(404, f'move {rest} does not exist')
        return _answer(found)

    async def _get_request(self, request: WebRequest, rest: str) -> WebAnswer:
        await self._catch_up(request)
        outcome = self._ledger.state.requests.get(rest)
        if outcome is None:
            return _refuse(404, f'request {rest} is not known')
        return _answer(answer_outcome(rest, outcome))

    async def _get_status(self, request: WebRequest, rest: str) -> WebAnswer:
        leader = self._ledger.leader
        is_led = leader not in {'', self._cfg.name}
        if is_led and request.query.get('stale') != '1':
            raise NotLeader
        return _answer(self._status())

    async def _get_events(self, request: WebRequest, rest: str) -> WebAnswer:
        newest = str(self._ledger.state.events.last)
        since = _read_number(request.query.get('since', newest))
        wait_ms = _read_number(
            request.query.get('wait_ms', str(WATCH_DEFAULT_MS)),
        )
        if since is None or wait_ms is None:
            return _refuse(400, 'since and wait_ms: whole numbers from 0 up')
        timeout = min(wait_ms, WATCH_LIMIT_MS) / MILLISECONDS_PER_SECOND
        await self._watch.wait_until(
            lambda state: state.events.last > since or self._is_closing,
            timeout,
        )
        found = select_events(self._ledger.state, since)
        if isinstance(found, Compacted):
            problem = Problem(
                message=f'events before {found.oldest} are no longer kept',
                verdict=Verdict.DID_NOT_RUN,
                oldest=found.oldest,
            )
            return _answer(problem, 410)
        return _answer(found)

    async def _catch_up(self, request: WebRequest) -> None:
        if request.query.get('stale') != '1':
            await self._ledger.read_barrier()

    def _redirect(self) -> WebAnswer:
        peer = find_leader(self._ledger)
        leader = '' if peer is None else peer.api
        problem = Problem(
            message='another source leads' if leader else 'no source leads',
            verdict=Verdict.DID_NOT_RUN,
            leader=leader,
        )
        return _answer(problem, 421)


def create_api(
    host: Host,
    cfg: SourceSettings,
    ledger: Ledger,
    writing: Writing,
    status: StatusView = dict,
    lowest_schema: FloorView = SchemaFloor,
) -> Site:
    """Serve the resource API on the address that the sources agree on.

    Args:
        host: the root component of the process.
        cfg: settings of this source.
        ledger: the replicated log.
        writing: puts writes through it.
        status: returns what GET /v1/status tells, as records or built-ins.
        lowest_schema: returns the oldest content schema among live nodes.

    Raises:
        OSError: the address cannot be bound.
    """
    api = Api(cfg, ledger, writing, status, lowest_schema)
    return create_site(host, CHANNEL, cfg.endpoint.api, api.respond, api.close)


def _read_number(text: str) -> int | None:
    if text.isascii() and text.isdigit() and len(text) <= DIGITS_LIMIT:
        return int(text)
    return None


def _answer(record: Any, status: int = 200) -> WebAnswer:
    return WebAnswer(status=status, body=json.encode(record))


def _refuse(
    status: int,
    message: str,
    verdict: Verdict = Verdict.DID_NOT_RUN,
) -> WebAnswer:
    return _answer(Problem(message=message, verdict=verdict), status)
