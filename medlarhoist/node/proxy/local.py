"""Local: the target beside this node, its slots and its queue.

Every call to the target passes here, whether its caller sent it to this node
or another node did. What is refused here was not sent to the target.
"""

import time
from collections.abc import Callable
from random import Random

from msgspec import Struct, structs

from medlarhoist.core.admission import (
    CallRequirements,
    Load,
    retry_after_seconds,
)
from medlarhoist.core.deadline import left_for_next_hop_ms
from medlarhoist.core.header_names import (
    HeaderNames,
    is_mismatched_response,
    is_refusal,
    read_request_id,
)
from medlarhoist.core.headers import REQUEST_HEADER, Header, find_header
from medlarhoist.core.presence import is_same_run
from medlarhoist.core.resource import Service
from medlarhoist.core.target import TargetNotice, TargetPhase
from medlarhoist.core.verdict import SERVER_FAULT_STATUS, Verdict
from medlarhoist.node.proxy.attempt import Failure, Request
from medlarhoist.node.proxy.call_log import log_refusal
from medlarhoist.node.proxy.client import Answer
from medlarhoist.node.proxy.pool import Pool, send_request
from medlarhoist.node.proxy.slots import Slots

_FindService = Callable[[str], Service | None]


class Order(Struct, frozen=True, kw_only=True):
    """What a call asks of the target's node.

    Args:
        request_id: unique for each attempt.
        service: name of the service.
        label: version that the entry node chose, empty for any.
        need: how urgent it is.
    """

    request_id: bytes
    service: str
    label: str
    need: CallRequirements

    @property
    def deadline(self) -> float:
        """Return the end of the call, seconds of the monotonic clock."""
        return self.need.deadline


class LocalTarget:
    """The target of this VM, as its node speaks for it."""

    __slots__ = (
        '_dialect',
        '_draw',
        '_find_service',
        '_is_draining',
        '_notice',
        '_pool',
        '_running',
        '_slots',
        'crossed',
        'refused',
    )

    def __init__(
        self, find_service: _FindService, dialect: HeaderNames
    ) -> None:
        """Start without a target.

        Args:
            find_service: finds a service in the configuration in force.
            dialect: the headers that the target knows.
        """
        self._dialect = dialect
        self._draw = Random()  # noqa: S311  spreads returns only
        self._find_service = find_service
        self._notice: TargetNotice | None = None
        self._pool = Pool('')
        self._running: set[str] = set()
        self._slots = Slots(self._count_slots)
        self._is_draining = False
        self.refused = 0
        self.crossed = 0

    @property
    def load(self) -> Load:
        """Return the present load."""
        return self._slots.load

    @property
    def peak(self) -> int:
        """Return the most slots that were ever in use at once."""
        return self._slots.peak

    def is_running(self, caller_id: str) -> bool:
        """Say whether the target works on the request of that id."""
        return bool(caller_id) and caller_id in self._running

    def set_notice(self, notice: TargetNotice | None) -> None:
        """Take what the target says of itself, None when it is gone."""
        before = self._notice
        self._notice = notice
        if notice is None or notice.phase is not TargetPhase.READY:
            self._slots.refuse_waiters()
        if notice is None:
            return
        if before is None or not is_same_run(before, notice):
            self._pool.close_idle()
            self._pool = Pool(notice.address)

    def start_draining(self) -> None:
        """Refuse all new calls, since this node is about to stop."""
        self._is_draining = True
        self._slots.refuse_waiters()

    async def send(self, request: Request, order: Order) -> Answer | Failure:
        """Send one call to the target, or refuse it before.

        Returns:
            The answer, whose close must be called, or the failure.
        """
        caller_id = read_request_id(self._dialect, request.headers)
        fault = await self._admit(order)
        if fault:
            self.refused += 1
            load = self.load
            left_s = order.deadline - time.monotonic()
            log_refusal(caller_id, fault, load, left_s)
            return Failure(
                Verdict.DID_NOT_RUN,
                fault,
                load=load,
                return_s=retry_after_seconds(load, self._draw),
            )
        started = time.monotonic()
        sent = self._address(request, order)
        self._running.add(caller_id)
        try:
            outcome = await send_request(self._pool, sent)
        except BaseException:
            self._slots.free_later()
            raise
        finally:
            # A target makes its calls before it answers.
            self._running.discard(caller_id)
        if isinstance(outcome, Failure):
            self._end_failed(outcome)
            return outcome
        # A failure that comes at once does not make the target a quick one.
        counts = outcome.head.status < SERVER_FAULT_STATUS
        outcome.on_settled(
            lambda is_whole: self._slots.finish(
                order.need,
                started,
                is_whole=is_whole,
                is_sample=counts,
            ),
        )
        return self._check(outcome, sent, order)

    def sweep(self, now: float) -> None:
        """Close connections that were idle for long."""
        self._pool.sweep(now)

    def close(self) -> None:
        """Cut the connections to the target."""
        self._slots.refuse_waiters()
        self._pool.close()

    def _count_slots(self) -> int:
        """Return the slots of the target, none where it is gone."""
        notice = self._notice
        if notice is None:
            return 0
        service = self._find_service(notice.service)
        if service is None:
            return notice.slots
        self._pool.limit = service.connections
        return min(notice.slots, service.slots)

    def _check(
        self,
        answer: Answer,
        sent: Request,
        order: Order,
    ) -> Answer | Failure:
        headers = answer.head.headers
        echoed = find_header(headers, REQUEST_HEADER)
        is_other = echoed is not None and echoed != order.request_id
        if is_other or is_mismatched_response(
            self._dialect, sent.headers, headers
        ):
            self.crossed += 1
            answer.discard()
            return Failure(Verdict.MAY_HAVE_RUN, 'crossed answer', 502)
        if is_refusal(self._dialect, answer.head.status, headers):
            answer.close()
            return Failure(
                Verdict.DID_NOT_RUN,
                'refused by the target',
                has_arrived=True,
            )
        return answer

    def _address(self, request: Request, order: Order) -> Request:
        """Return the request with the headers that the target expects."""
        left_ms = left_for_next_hop_ms(order.deadline, time.monotonic())
        deadline = self._dialect.deadline
        headers: list[Header] = [
            header for header in request.headers if header[0] != deadline
        ]
        headers.append((REQUEST_HEADER, order.request_id))
        headers.append((deadline, b'%d' % left_ms))
        if self._dialect.expected_target and self._notice is not None:
            run_id = self._notice.run_id.encode()
            headers.append((self._dialect.expected_target, run_id))
        return structs.replace(request, headers=headers)

    async def _admit(self, order: Order) -> str:
        """Take a slot for a call, or return why it has none."""
        fault = self._find_fault(order)
        if fault:
            return fault
        if not await self._slots.acquire(order.need):
            return 'no slot'
        # Another target may be here after a wait.
        fault = self._find_fault(order)
        if fault:
            self._slots.release()
        return fault

    def _find_fault(self, order: Order) -> str:
        notice = self._notice
        if self._is_draining:
            return 'node is stopping'
        if notice is None:
            return 'no target here'
        if notice.service != order.service:
            return 'a target of another service is here'
        if order.label not in {'', notice.label}:
            return 'another target is here'
        if notice.phase is not TargetPhase.READY:
            return f'target is {notice.phase}'
        return ''

    def _end_failed(self, failure: Failure) -> None:
        if failure.verdict is Verdict.DID_NOT_RUN:
            self._slots.release()
        else:
            self._slots.free_later()
