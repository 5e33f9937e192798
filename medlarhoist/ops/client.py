"""Sends an operator's requests to the sources.

The client tries one source after another until it gets a final reply. A write
is resent with the same request id, so that the sources apply it at most once
even if requests or replies are lost.
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
FINAL_STATUSES: Final = frozenset((200, 409, 422))
RETRYABLE_STATUSES: Final = frozenset((421, 500, 503, 504, 507))


class Reply(Struct, frozen=True, kw_only=True):
    """Reply of a source to one request.

    Args:
        status: HTTP status code; zero if there was no HTTP response.
        body: complete body; an error text if status is zero.
        verdict: whether a request that failed may have been executed.
    """

    status: int
    body: bytes
    verdict: Verdict = Verdict.DID_NOT_RUN

    @property
    def error(self) -> ErrorResponse:
        """Return the decoded body of a refusal.

        A body of another form becomes the message of the error.
        """
        try:
            return json.decode(self.body, type=ErrorResponse)
        except (DecodeError, ValidationError):
            text = self.body.decode(errors='replace')
            return ErrorResponse(message=text, verdict=self.verdict)


class Client:
    """Sends requests to the sources on behalf of one operator."""

    __slots__ = ('_servers', '_sleep', '_timeout', '_token')

    def __init__(
        self,
        servers: tuple[str, ...],
        token: str,
        timeout: float,
        sleep: Callable[[float], None],
    ) -> None:
        """Store the parameters; see create_client."""
        self._servers = list(servers)
        self._token = token
        self._timeout = timeout
        self._sleep = sleep

    def get(self, path: str) -> Reply:
        """Send a GET request, retrying until a reply is final or time runs out."""
        return self._send('GET', path, b'')

    def apply(self, request: ApplyRequest) -> Reply:
        """Apply changes, resending with the same id until the outcome is final."""
        return self._send('POST', '/v1/apply', json.encode(request))

    def replace(self, request: ReplaceRequest) -> Reply:
        """Replace the configuration, resending until the outcome is final."""
        return self._send('PUT', '/v1/configuration', json.encode(request))

    def _send(self, method: str, path: str, body: bytes) -> Reply:
        verdict = Verdict.DID_NOT_RUN
        reply = Reply(status=0, body=b'no request was sent')
        for server in self._servers_to_try():
            reply = _exchange(server, method, path, body, self._token)
            if reply.verdict is Verdict.MAY_HAVE_RUN:
                verdict = Verdict.MAY_HAVE_RUN
            if _is_final(method, reply):
                return _keep_uncertainty(reply, verdict)
            self._prefer_leader(reply)
        return (
            reply if _is_pending(reply) else _keep_uncertainty(reply, verdict)
        )

    def _servers_to_try(self) -> Iterator[str]:
        end = time.monotonic() + self._timeout
        attempts = 0
        while attempts < len(self._servers) or time.monotonic() < end:
            server = self._servers.pop(0)
            self._servers.append(server)
            yield server
            attempts += 1
            if attempts % len(self._servers) == 0:
                self._sleep(RETRY_DELAY_SECONDS)

    def _prefer_leader(self, reply: Reply) -> None:
        # A redirect (421) names the leader; it is tried next.
        leader = reply.error.leader if reply.status == 421 else ''
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
    """Return a client for the resource API.

    Args:
        servers: host:port of the resource APIs of the sources, at least one.
        token: bearer token of the operator.
        timeout: seconds after which no further attempt begins; each server is
            tried at least once.
        sleep: waits for a number of seconds.
    """
    return Client(servers, token, timeout, sleep)


def fetch(address: str, path: str, method: str = 'GET') -> Reply:
    """Send one request to a process, without a token or retries."""
    return _exchange(address, method, path, b'', '')


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
    try:  # noqa: WPS501 - close the connection in every case
        return _send_request(conn, method, path, body, token)
    finally:
        conn.close()


def _send_request(
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
        text = f'{conn.host}:{conn.port}: no reply received: {exc!r}'
        return Reply(
            status=0,
            body=text.encode(),
            verdict=Verdict.MAY_HAVE_RUN,
        )
    reply = Reply(status=response.status, body=content)
    if response.status in RETRYABLE_STATUSES:
        verdict = _read_verdict(reply)
        return Reply(status=reply.status, body=content, verdict=verdict)
    return reply


def _read_verdict(reply: Reply) -> Verdict:
    if reply.status == 500:
        return Verdict.MAY_HAVE_RUN
    return reply.error.verdict


def _is_final(method: str, reply: Reply) -> bool:
    if reply.status == 0 or reply.status in RETRYABLE_STATUSES:
        return False
    return method == 'GET' or not _is_pending(reply)


def _keep_uncertainty(reply: Reply, verdict: Verdict) -> Reply:
    """Return a reply whose verdict covers the earlier attempts too.

    A final status holds for every copy of the request. A refusal holds for one
    copy only: an earlier copy without a reply may have been executed.
    """
    if verdict is Verdict.DID_NOT_RUN or reply.status in FINAL_STATUSES:
        return reply
    text = f'no reply to an earlier attempt, then: {reply.error.message}'
    status = reply.status if reply.status not in RETRYABLE_STATUSES else 0
    return Reply(status=status, body=text.encode(), verdict=verdict)


def _is_pending(reply: Reply) -> bool:
    response = decode_reply(reply, ApplyResponse)
    return response is not None and response.outcome.status is Status.PENDING


def decode_reply(reply: Reply, record_type: Any) -> Any:
    """Decode the body of a reply.

    Args:
        reply: reply of a source.
        record_type: expected record.

    Returns:
        The record, or None if the body is something else, such as a refusal.
    """
    try:
        return json.decode(reply.body, type=record_type)
    except (DecodeError, ValidationError):
        return None
