"""Suspects: finds requests that crash the target beside this node.

The connection of a request to its target is lost for many reasons. The target
has ended if it refuses connections then, or if another run announces itself
soon after.
"""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from loguru import logger
from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.quarantine import Quarantine, SuspectRuns, Suspicion
from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure, Request
from medlarhoist.node.proxy.call_log import log_death

PROBE_TIMEOUT_S: Final = 0.3
# Within this time after a loss, another run shows that the last one has ended.
NEXT_RUN_S: Final = 3.0
MAX_LOSSES: Final = 256
# A suspect usually completes in this time, and is cleared then.
# A response that arrives this long after a loss was sent after it.
SURVIVAL_S: Final = 0.05
SUSPECT_RETRY_S: Final = 0.3
_MS_PER_SECOND: Final = 1000


class SuspectRun(Struct, frozen=True):
    """One run of a request at the target.

    Args:
        request: the request.
        known: what was known of it when it began, None if it was no suspect.
        began: when it began, seconds of the monotonic clock.
    """

    request: Request
    known: Suspicion | None
    began: float


class Loss(Struct, frozen=True):
    """A run whose connection was lost while the target seemed to go on.

    Args:
        fingerprint: identifies the request.
        run: the run.
        at: when it was lost, seconds of the monotonic clock.
    """

    fingerprint: str
    run: SuspectRun
    at: float


class TargetSuspects:
    """The suspects among the requests to the target beside this node.

    Args:
        address: host:port of the last target, also of one that leaves; empty
            before the first one.
        quarantine: the suspects that this node knows of.
        deaths: runs of requests that ended with their target.
        refused: requests that were not sent as they are suspects.
    """

    __slots__ = (
        '_key',
        '_losses',
        '_next_end',
        '_probe',
        '_runs',
        'address',
        'deaths',
        'quarantine',
        'refused',
    )

    def __init__(self, key: bytes, quarantine: Quarantine) -> None:
        """Start without running requests.

        Args:
            key: the key of fingerprints.
            quarantine: the suspects that this node knows of.
        """
        self._key = key
        self._losses: list[Loss] = []
        self._next_end = asyncio.Event()
        self._probe: asyncio.Task[bool] | None = None
        self._runs = SuspectRuns()
        self.address = ''
        self.quarantine = quarantine
        self.deaths = 0
        self.refused = 0

    async def await_turn(
        self,
        request: Request,
        until: float,
    ) -> Failure | None:
        """Wait until a request may run at the target, or refuse it.

        A suspect waits for the end of the run that decides on it. A body that
        is still to be asked for is left with its sender, and the request is
        checked when it begins.

        Args:
            request: the request, which has no slot yet.
            until: when to stop waiting, seconds of the monotonic clock.
        """
        if not request.body.has_prefix:
            return None
        while record := self._find(request):
            reason = self._runs.find_refusal_reason(record)
            if not reason:
                return None
            left_s = until - time.monotonic()
            if record.wait_ms or left_s <= 0:
                self.refused += 1
                return refuse_suspect(record, reason)
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._next_end.wait()
        return None

    async def begin(
        self,
        request: Request,
        release: Callable[[], None],
    ) -> SuspectRun | None:
        """Begin to run a request that has a slot.

        Args:
            request: the request.
            release: releases its slot; called if no run begins.

        Returns:
            The run, for which end, handle_failure or handle_loss is called
            once; None if it is not the request's turn.
        """
        run: SuspectRun | None = None
        try:  # noqa: WPS501  the caller may leave meanwhile
            run = await self._begin(request)
        finally:
            if run is None:
                release()
        return run

    async def _begin(self, request: Request) -> SuspectRun | None:
        now = time.monotonic()
        if not self.quarantine.entries:
            return SuspectRun(request, None, now)
        await request.body.await_prefix()
        record = self._find(request)
        if record is None:
            return SuspectRun(request, None, now)
        if self._runs.find_refusal_reason(record):
            return None
        if record.is_quarantined:
            record = self.quarantine.begin_trial(record.fingerprint, now)
            logger.bind(
                request=request.caller_id, fingerprint=record.fingerprint
            ).warning('quarantine: a request runs for a trial')
        self._runs.begin(record)
        return SuspectRun(request, record, now)

    def end(self, run: SuspectRun, *, has_completed: bool = False) -> None:
        """Record that a request does not run any more.

        Args:
            run: the run.
            has_completed: whether its response is complete and shows that the
                target has run it.
        """
        if run.known is not None:
            self._runs.end(run.known.fingerprint)
            self._next_end.set()
            self._next_end = asyncio.Event()
        if has_completed and self._losses:
            self._forget_survived(run)
        if not has_completed or not self.quarantine.entries:
            return
        # Another run of it may have made it a suspect meanwhile.
        fingerprint = run.request.make_fingerprint(self._key)
        if self.quarantine.clear(fingerprint, time.monotonic()):
            logger.bind(
                request=run.request.caller_id, fingerprint=fingerprint
            ).info('quarantine: cleared a request that has completed')

    async def handle_failure(
        self,
        failure: Failure,
        run: SuspectRun,
    ) -> Failure:
        """Return the failure of a run, with what it shows of the request."""
        if not failure.is_lost:
            self.end(run)
            return failure
        return replace(failure, suspicion=await self.handle_loss(run))

    async def handle_loss(self, run: SuspectRun) -> Suspicion | None:
        """Record a request whose connection to the target was lost.

        Args:
            run: the run of the request.

        Returns:
            What is known of the request if the target has ended; None if it
            goes on, or if the request was cleared meanwhile.
        """
        try:
            if not run.request.body.has_prefix:
                return None
            fingerprint = run.request.make_fingerprint(self._key)
            loss = Loss(fingerprint, run, time.monotonic())
            if await self._has_ended():
                return self._record_death(loss)
        finally:
            self.end(run)
        self._losses = [*self._losses[1 - MAX_LOSSES :], loss]
        return None

    def start_run(self) -> None:
        """Record that another run of the target has announced itself."""
        limit = time.monotonic() - NEXT_RUN_S
        losses = self._losses
        self._losses = []
        for loss in losses:
            if loss.at > limit:
                self._record_death(loss)

    def _forget_survived(self, run: SuspectRun) -> None:
        """Forget the losses that a run of a request has outlived.

        They did not come from the end of the target. One that is full resets
        connections as well.
        """
        survived_at = time.monotonic() - SURVIVAL_S
        self._losses = [
            loss
            for loss in self._losses
            if not run.began < loss.at < survived_at
        ]

    def _find(self, request: Request) -> Suspicion | None:
        """Return what is known of a request, None if it is no suspect."""
        if not self.quarantine.entries:
            return None
        fingerprint = request.make_fingerprint(self._key)
        return self.quarantine.find(fingerprint, time.monotonic())

    def _record_death(self, loss: Loss) -> Suspicion | None:
        self.deaths += 1
        run = loss.run
        record = self.quarantine.record_death(
            loss.fingerprint,
            run.known,
            time.monotonic(),
        )
        log_death(run.request, loss.fingerprint, record)
        return record

    async def _has_ended(self) -> bool:
        """Return whether the target refuses connections.

        Requests that are lost together share one attempt to connect.
        """
        if self._probe is None or self._probe.done():
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(
                _refuses_connections(self.address),
            )
        return await asyncio.shield(self._probe)


def refuse_suspect(record: Suspicion, reason: str) -> Failure:
    """Return the refusal of a suspect, which no other target shall run.

    Args:
        record: what is known of it.
        reason: why it is refused.
    """
    return Failure(
        Verdict.DID_NOT_RUN,
        reason,
        return_s=record.wait_ms / _MS_PER_SECOND or SUSPECT_RETRY_S,
        suspicion=record,
    )


async def _refuses_connections(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as exc:
        logger.debug('target: whether it has ended is unknown: {}', exc)
        return False
    writer.transport.abort()
    return False
