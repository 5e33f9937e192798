"""Client: sends an operator's requests to the sources.

A request goes from source to source until one answers it. A write is resent
under the same request id, so it is made once whatever was lost on the way.
"""

import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any, Final

from msgspec import DecodeError, Struct, ValidationError, json

from medlarhoist.core.api_messages import (
    ApplyRequest,
    ApplyResponse,
    ErrorResponse,
    ReplaceRequest,
)
from medlarhoist.core.command import Status
from medlarhoist.core.verdict import Verdict

ATTEMPT_TIMEOUT_SECONDS: Final = 25.0
RETRY_DELAY_SECONDS: Final = 0.2
ENDS: Final = frozenset((200, 409, 422))
TRY_AGAIN: Final = frozenset((421, 500, 503, 504, 507))


class Reply(Struct, frozen=True, kw_only=True):
    """What one source answered.

    Args:
        status: HTTP status code; zero where no source answered.
        body: whole body.
        verdict: what is known of the request where it was not served.
    """

    status: int
    body: bytes
    verdict: Verdict = Verdict.DID_NOT_RUN

    @property
    def problem(self) -> ErrorResponse:
        """Return the body of a refusal."""
        try:
            return json.decode(self.body, type=ErrorResponse)
        except (DecodeError, ValidationError):
            text = self.body.decode(errors='replace')
            return ErrorResponse(message=text, verdict=self.verdict)


class Client:
    """Talks to the sources as one operator."""

    __slots__ = ('_servers', '_sleep', '_timeout', '_token')

    def __init__(
        self,
        servers: tuple[str, ...],
        token: str,
        timeout: float,
        sleep: Callable[[float], None],
    ) -> None:
        """Keep whom to ask; see create_client."""
        self._servers = list(servers)
        self._token = token
        self._timeout = timeout
        self._sleep = sleep

    def get(self, path: str) -> Reply:
        """Ask for something until a source tells it or time runs out."""
        return self._send('GET', path, b'')

    def apply(self, request: ApplyRequest) -> Reply:
        """Make changes, resending under the same id until they ended."""
        return self._send('POST', '/v1/apply', json.encode(request))

    def replace(self, request: ReplaceRequest) -> Reply:
        """Put a whole configuration, resending it until it ended."""
        return self._send('PUT', '/v1/configuration', json.encode(request))

    def _send(self, method: str, path: str, body: bytes) -> Reply:
        verdict = Verdict.DID_NOT_RUN
        reply = Reply(status=0, body=b'no source was asked')
        for server in self._turns():
            reply = _exchange(server, method, path, body, self._token)
            if reply.verdict is Verdict.MAY_HAVE_RUN:
                verdict = Verdict.MAY_HAVE_RUN
            if _is_final(method, reply):
                return _doubt(reply, verdict)
            self._follow(reply)
        return reply if _is_pending(reply) else _doubt(reply, verdict)

    def _turns(self) -> Iterator[str]:
        end = time.monotonic() + self._timeout
        turn = 0
        while turn < len(self._servers) or time.monotonic() < end:
            server = self._servers.pop(0)
            self._servers.append(server)
            yield server
            turn += 1
            if turn % len(self._servers) == 0:
                self._sleep(RETRY_DELAY_SECONDS)

    def _follow(self, reply: Reply) -> None:
        leader = reply.problem.leader if reply.status == 421 else ''
        if not leader:
            return
        if leader in self._servers:
            self._servers.remove(leader)
        self._servers.insert(0, leader)


def create_client(
    servers: tuple[str, ...],
    token: str,
    timeout: float = 60.0,
    sleep: Callable[[float], None] = time.sleep,
) -> Client:
    """Return a client.

    Args:
        servers: host:port of the resource APIs of the sources, one at least.
        token: bearer token of the operator.
        timeout: seconds after which no further attempt is made.
        sleep: waits for some seconds.
    """
    return Client(servers, token, timeout, sleep)


def fetch(address: str, path: str) -> Reply:
    """Ask one process, without a token, once."""
    return _exchange(address, 'GET', path, b'', '')


def _exchange(
    server: str,
    method: str,
    path: str,
    body: bytes,
    token: str,
) -> Reply:
    conn = HTTPConnection(server, timeout=ATTEMPT_TIMEOUT_SECONDS)
    try:
        conn.connect()
    except OSError as exc:
        text = f'{server}: {exc}'
        return Reply(status=0, body=text.encode())
    try:  # noqa: WPS501 - the connection is closed in any case
        return _ask(conn, method, path, body, token)
    finally:
        conn.close()


def _ask(
    conn: HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    token: str,
) -> Reply:
    headers = {'Authorization': f'Bearer {token}', 'Connection': 'close'}
    try:
        conn.request(method, path, body=body or None, headers=headers)
        response = conn.getresponse()
        content = response.read()
    except (OSError, HTTPException) as exc:
        text = f'{conn.host}:{conn.port}: the answer was lost: {exc!r}'
        return Reply(
            status=0,
            body=text.encode(),
            verdict=Verdict.MAY_HAVE_RUN,
        )
    reply = Reply(status=response.status, body=content)
    if response.status in TRY_AGAIN:
        verdict = _read_verdict(reply)
        return Reply(status=reply.status, body=content, verdict=verdict)
    return reply


def _read_verdict(reply: Reply) -> Verdict:
    if reply.status == 500:
        return Verdict.MAY_HAVE_RUN
    return reply.problem.verdict


def _is_final(method: str, reply: Reply) -> bool:
    if reply.status == 0 or reply.status in TRY_AGAIN:
        return False
    return method == 'GET' or not _is_pending(reply)


def _doubt(reply: Reply, verdict: Verdict) -> Reply:
    """Return a reply that does not deny what an earlier attempt may have done.

    The end of a request is the same for all its copies, a refusal is not.
    """
    if verdict is Verdict.DID_NOT_RUN or reply.status in ENDS:
        return reply
    text = f'an answer was lost, then: {reply.problem.message}'
    status = reply.status if reply.status not in TRY_AGAIN else 0
    return Reply(status=status, body=text.encode(), verdict=verdict)


def _is_pending(reply: Reply) -> bool:
    answer = decode_reply(reply, ApplyResponse)
    return answer is not None and answer.outcome.status is Status.PENDING


def decode_reply(reply: Reply, record_type: Any) -> Any:
    """Return the record of an answer, or None where it is another one."""
    try:
        return json.decode(reply.body, type=record_type)
    except (DecodeError, ValidationError):
        return None
