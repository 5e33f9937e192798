"""Attempt: the records of one attempt to get a call answered."""

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.admission import Load
from medlarhoist.core.head_check import Framing
from medlarhoist.core.headers import Header
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.body import Body, BodyTooLarge, ShortBody

REPLAY_LIMIT_BYTES: Final = 65_536
# Statuses that promise a caller that its request has not run and never will.
REFUSED_STATUSES: Final = frozenset((408, 421, 429, 503))
BROKEN_STATUS: Final = 502


class Failure(Struct, frozen=True):
    """An attempt that brought no answer.

    Args:
        verdict: whether the request may have run.
        reason: short phrase for the caller and the log.
        status: HTTP status for the caller.
        is_unreachable: whether the node was not reached, or was lost before
            it answered.
        has_arrived: whether the request reached a target, which then refused
            it; a refusal by its node loads no target.
        load: load of the target, as its node told it with the refusal.
        return_s: when the caller may come back, seconds; zero for not told.
    """

    verdict: Verdict
    reason: str
    status: int = 503
    is_unreachable: bool = False
    has_arrived: bool = False
    load: Load | None = None
    return_s: float = 0


def tell_truly(failure: Failure, verdict: Verdict) -> Failure:
    """Return what a caller is told of a call that had several attempts.

    The last attempt may not have run where an earlier one has. Status 503
    promises that nothing ran, so another one is told then, and no time after
    which to come back.

    Args:
        failure: how the last attempt ended.
        verdict: what is known of all attempts together.
    """
    if verdict is Verdict.DID_NOT_RUN or failure.status not in REFUSED_STATUSES:
        return replace(failure, verdict=verdict)
    return replace(failure, verdict=verdict, status=BROKEN_STATUS, return_s=0)


class Progress:
    """How far a call has come.

    Args:
        sent: whether bytes of it may have reached a target.
    """

    __slots__ = ('sent',)

    def __init__(self) -> None:
        """Start before the first byte."""
        self.sent = False

    @property
    def verdict(self) -> Verdict:
        """Return what is known where no answer came."""
        return Verdict.MAY_HAVE_RUN if self.sent else Verdict.DID_NOT_RUN


class Source:
    """A request's body, kept so that it can be sent once more.

    Args:
        fault: why the body did not come whole, if it did not.
        is_replayable: whether all that was read is still kept.
    """

    __slots__ = ('_body', '_kept', '_kept_bytes', 'fault', 'is_replayable')

    def __init__(self, body: Body) -> None:
        """Read from a body."""
        self._body = body
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self.fault: Exception | None = None
        self.is_replayable = True

    @property
    def is_whole(self) -> bool:
        """Say whether reading needs no wait."""
        return self._body.is_whole

    async def read(self, position: int) -> bytes:
        """Return the piece at a position, nothing at the end.

        Raises:
            ShortBody: the caller is gone.
            BodyTooLarge: the body passed its limit.
        """
        if position < len(self._kept):
            return self._kept[position]
        try:
            piece = await self._body.read()
        except (ShortBody, BodyTooLarge) as exc:
            self.fault = exc
            raise
        if piece and self.is_replayable:
            self._keep(piece)
        return piece

    def _keep(self, piece: bytes) -> None:
        self._kept.append(piece)
        self._kept_bytes += len(piece)
        if self._kept_bytes > REPLAY_LIMIT_BYTES:
            self._kept.clear()
            self.is_replayable = False


class Request(Struct, frozen=True):
    """What one attempt sends.

    Args:
        method: HTTP method.
        url: path and query.
        headers: headers without framing.
        framing: how the body is delimited.
        body: what is sent as the body.
        progress: told before the first byte goes out.
        is_idempotent: whether it may run twice.
    """

    method: bytes
    url: bytes
    headers: list[Header]
    framing: Framing
    body: Source
    progress: Progress
    is_idempotent: bool
