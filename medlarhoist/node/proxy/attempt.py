"""Attempt: the request and the failure of one attempt to serve a call.

An attempt sends a call to one target. A call may take several attempts, each
to another target.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.admission import Load
from medlarhoist.core.condition import Condition
from medlarhoist.core.fingerprint import BODY_PREFIX_BYTES, make_fingerprint
from medlarhoist.core.head_check import Framing
from medlarhoist.core.headers import Header, add_headers
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.body import (
    Body,
    BodyTooLarge,
    IncompleteBody,
    append_piece,
)

REPLAY_LIMIT_BYTES: Final = 65_536
# Statuses that assure a caller that its request has not run and never will.
REFUSED_STATUSES: Final = frozenset((408, 421, 429, 503))
BAD_GATEWAY_STATUS: Final = 502


class Failure(Struct, frozen=True):
    """An attempt that ended without a response to pass on.

    Args:
        verdict: whether the request may have run.
        reason: short phrase for the caller and the log.
        status: HTTP status for the caller.
        is_unreachable: whether no connection to the node could be opened, or
            the connection failed before the response.
        has_arrived: whether the request reached a target that refused it.
            False where its node refused it, which puts no load on the target.
        load: load of the target, as its node reported it with the refusal;
            None if it reported none.
        return_s: value of Retry-After, seconds; zero for no such header.
        condition: what the target last stated of itself, None if unknown.
        is_lost: whether the connection was lost before the response.
        suspicion: what is known of the request if it is suspected to crash
            targets, None if it is not, or if it is unknown. A suspect that
            was refused is not sent to another target.
    """

    verdict: Verdict
    reason: str
    status: int = 503
    is_unreachable: bool = False
    has_arrived: bool = False
    load: Load | None = None
    return_s: float = 0
    condition: Condition | None = None
    is_lost: bool = False
    suspicion: Suspicion | None = None

    @property
    def is_final(self) -> bool:
        """Return whether no other target may be tried."""
        did_not_run = self.verdict is Verdict.DID_NOT_RUN
        return did_not_run and self.suspicion is not None


def failure_for_caller(failure: Failure, verdict: Verdict) -> Failure:
    """Return the failure that is reported to the caller of a failed call.

    An earlier attempt may have run although the last one has not. Statuses
    such as 503 assure the caller that nothing ran, so they are replaced by
    502 without Retry-After in that case.

    Args:
        failure: how the last attempt ended.
        verdict: whether any of the attempts may have run.
    """
    if verdict is Verdict.DID_NOT_RUN or failure.status not in REFUSED_STATUSES:
        return replace(failure, verdict=verdict)
    return replace(
        failure,
        verdict=verdict,
        status=BAD_GATEWAY_STATUS,
        return_s=0,
    )


class Progress:
    """Whether a request has been sent, as shared by all of its attempts.

    Args:
        sent: whether bytes of the request may have reached a target.
    """

    __slots__ = ('sent',)

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent = False

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run, if it got no response."""
        return Verdict.MAY_HAVE_RUN if self.sent else Verdict.DID_NOT_RUN


class ReplayableBody:
    """A request's body, buffered so that a later attempt can send it again.

    Bodies over REPLAY_LIMIT_BYTES are not buffered and can be sent only once.

    Args:
        fault: why reading the body failed; None if it has not failed.
        is_replayable: whether everything read so far is still buffered.
    """

    __slots__ = (
        '_body',
        '_pieces',
        '_prefix',
        '_size',
        'fault',
        'is_replayable',
    )

    def __init__(self, body: Body) -> None:
        """Wrap the body of a caller's or a node's request."""
        self._body = body
        self._pieces: deque[bytes] = deque()
        self._prefix = b''
        self._size = 0
        self.fault: Exception | None = None
        self.is_replayable = True

    @property
    def is_short(self) -> bool:
        """Return whether all has been received and could be sent again."""
        left_bytes = REPLAY_LIMIT_BYTES - self._size
        return self._body.is_whole and self._body.buffered_bytes <= left_bytes

    @property
    def is_awaited(self) -> bool:
        """Return whether everything received has been read and more is due."""
        return self._body.is_awaited

    @property
    def ended_at(self) -> float:
        """Return when its last byte was received; zero before that.

        Seconds of the monotonic clock.
        """
        return self._body.ended_at

    async def read(self, position: int) -> bytes:
        """Return the next bytes of the body, or b'' at its end.

        Args:
            position: number of bytes that the attempt has read. A second
                attempt starts at zero again.

        Raises:
            IncompleteBody: the sender disconnected before the end of the body.
            BodyTooLarge: the body is longer than its limit.
        """
        if self._pieces and position < self._size:
            return b''.join(self._pieces)[position:]
        try:
            piece = await self._body.read()
        except (IncompleteBody, BodyTooLarge) as exc:
            self.fault = exc
            raise
        if piece and self.is_replayable:
            self._store(piece)
        return piece

    @property
    def prefix(self) -> bytes:
        """Return the first BODY_PREFIX_BYTES, or what has been received."""
        missing = BODY_PREFIX_BYTES - len(self._prefix)
        return self._prefix + self._body.peek(missing)

    @property
    def has_prefix(self) -> bool:
        """Return whether no more bytes will be added to the prefix."""
        return self._body.ended or len(self.prefix) == BODY_PREFIX_BYTES

    async def await_prefix(self) -> None:
        """Wait for the prefix, whose bytes stay to be read by attempts."""
        while not self.has_prefix:
            await self._body.await_bytes()

    def _store(self, piece: bytes) -> None:
        self._prefix += piece[: BODY_PREFIX_BYTES - len(self._prefix)]
        append_piece(self._pieces, piece)
        self._size += len(piece)
        self._body.kept_bytes = self._size
        if self._size > REPLAY_LIMIT_BYTES:
            self._pieces.clear()
            self._body.kept_bytes = 0
            self.is_replayable = False


class Request(Struct, frozen=True):
    """The HTTP request that an attempt sends.

    Args:
        method: HTTP method.
        url: path and query.
        headers: headers except those of framing.
        framing: how the body is delimited.
        body: the body, shared by all attempts of the call.
        progress: updated before the first byte is sent.
        is_idempotent: whether the request may run twice.
        waits_to_send: whether a body that is not short is sent only when the
            receiver has asked for it (100 Continue).
        caller_id: the caller's id of the request for log lines, may be empty.
    """

    method: bytes
    url: bytes
    headers: Sequence[Header]
    framing: Framing
    body: ReplayableBody
    progress: Progress
    is_idempotent: bool
    waits_to_send: bool = False
    caller_id: str = ''

    def make_fingerprint(self, key: bytes) -> str:
        """Return the fingerprint; it is final once the body has its prefix.

        Args:
            key: the key of fingerprints of all nodes.
        """
        return make_fingerprint(
            key,
            (self.method, self.url),
            self.headers,
            (self.body.prefix, self.framing.length),
        )


def replace_headers(
    request: Request,
    headers: Sequence[Header],
    added: Iterable[Header] = (),
    *,
    waits_to_send: bool = False,
) -> Request:
    """Return a request with other headers, as it is sent to the next hop.

    Args:
        request: the request as it was received.
        headers: headers except those of framing.
        added: further headers.
        waits_to_send: see Request.
    """
    return replace(
        request,
        headers=add_headers(headers, added),
        waits_to_send=waits_to_send,
    )
