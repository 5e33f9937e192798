"""Writes of the resource API: proposes operators' requests to the ledger.

Only one version is staged at a time. Requests queue until the staged version
is activated or abandoned. Outcomes are read from the replicated state, so each
source returns the same one.
"""

import asyncio
from collections.abc import Callable
from math import inf
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.api_messages import (
    ApplyRequest,
    ApplyResponse,
    ReplaceRequest,
)
from medlarhoist.core.command import Apply, Outcome, Replace, Status
from medlarhoist.core.interfaces import Ledger, NotLeader
from medlarhoist.core.resource import Change, Move, TargetVersion, key_of
from medlarhoist.core.state import State
from medlarhoist.core.verdict import Verdict
from medlarhoist.source.current_version import services_without_current
from medlarhoist.source.in_force import InForceVersion
from medlarhoist.source.requests import find_outcome
from medlarhoist.source.transition_apply import format_key
from medlarhoist.source.watch import StateWatch, create_state_watch

APPLY_TIMEOUT_SECONDS: Final = 20.0
RECHECK_SECONDS: Final = 0.5
STOP_GRACE_SECONDS: Final = 3.0
QUEUE_LIMIT: Final = 256
MAX_DESCRIBED_CHANGES: Final = 5

_VERDICTS: Final = {
    Status.PENDING: Verdict.MAY_HAVE_RUN,
    Status.ACCEPTED: Verdict.RAN,
}


class QueueFull(Exception):
    """Too many requests are queued; this one was not proposed."""


class Writer:
    """Proposes the requests of operators to the ledger, one at a time."""

    __slots__ = (
        '_clock',
        '_in_force',
        '_ledger',
        '_lock',
        '_queued',
        '_stop_at',
        '_watch',
    )

    def __init__(
        self,
        ledger: Ledger,
        watch: StateWatch,
        clock: Callable[[], int],
        in_force: InForceVersion,
    ) -> None:
        """Take the arguments of create_write_access."""
        self._ledger = ledger
        self._watch = watch
        self._clock = clock
        self._in_force = in_force
        self._lock = asyncio.Lock()
        self._stop_at = inf
        self._queued = 0

    def close(self) -> None:
        """Limit waiting requests to STOP_GRACE_SECONDS, as the source stops."""
        now = asyncio.get_running_loop().time()
        self._stop_at = now + STOP_GRACE_SECONDS

    async def apply(self, operator: str, request: ApplyRequest) -> Outcome:
        """Apply an operator's changes; returns and raises as `_submit`."""
        command = Apply(
            request_id=request.request_id,
            operator=operator,
            changes=request.changes,
            at_ms=self._clock(),
        )
        return await self._submit(command, describe_changes(request.changes))

    async def replace(self, operator: str, request: ReplaceRequest) -> Outcome:
        """Replace the whole configuration; returns and raises as `_submit`."""
        command = Replace(
            request_id=request.request_id,
            operator=operator,
            revision=request.revision,
            base=request.base,
            resources=request.resources,
            document=request.document.encode(),
            at_ms=self._clock(),
        )
        count = len(request.resources)
        text = (
            f'replace {request.base} by {request.revision}, {count} resources'
        )
        return await self._submit(command, text)

    async def start_move(
        self,
        operator: str,
        service: str,
        label: str,
        duration_ms: int,
    ) -> Outcome:
        """Start a move, the rollout of a version of a service.

        A repeated request has no further effect: it is accepted if the move
        exists, whatever its phase.

        Args:
            operator: name of the operator, for the audit log.
            service: name of the service.
            label: version that the traffic moves to.
            duration_ms: time from now until the move's deadline, milliseconds.

        Returns:
            The outcome; busy while the service has no current version, since
            the move would have no old version.

        Raises:
            QueueFull: the request was not logged.
            NotLeader: the request was not logged by this call.
            StorageFailed: the request was not logged, as the disk failed.
            OutcomeUnknown: the request may still be committed.
        """
        name = f'{service}-{label}'
        existing = self._find_started_move(name)
        if existing is not None:
            return existing
        if service in services_without_current(self._ledger.state):
            return Outcome(status=Status.BUSY)
        now_ms = self._clock()
        request = ApplyRequest(
            request_id=f'move-{name}-{now_ms}',
            changes=list_move_changes(service, label, now_ms + duration_ms),
        )
        outcome = await self.apply(operator, request)
        # A concurrent copy of the request may have started the move.
        return self._find_started_move(name) or outcome

    async def wait_in_force(self) -> None:
        """Wait until nodes have the active version in force.

        A version is in force on a node that routes by it. The wait is short:
        see InForceVersion.wait_for.
        """
        await self._in_force.wait_for(self._ledger.state.active.version)

    def _find_started_move(self, name: str) -> Outcome | None:
        if not self._ledger.is_leader:
            raise NotLeader
        if name not in self._ledger.state.moves:
            return None
        version = self._ledger.state.active.version
        return Outcome(status=Status.ACCEPTED, version=version)

    async def _submit(self, command: Apply | Replace, summary: str) -> Outcome:
        """Propose a command and wait for its outcome.

        An accepted outcome is returned after the nodes have put the version
        in force, or after the limit of InForceVersion.wait_for.

        Returns:
            The outcome; pending if it takes longer than
            APPLY_TIMEOUT_SECONDS, busy if the request was still queued then.
            Both come earlier if the source stops.

        Raises:
            QueueFull: the command was not logged.
            NotLeader: the command was not logged by this call.
            StorageFailed: the command was not logged, as the disk failed.
            OutcomeUnknown: the command may still be committed.
        """
        if not self._ledger.is_leader:
            raise NotLeader
        end = asyncio.get_running_loop().time() + APPLY_TIMEOUT_SECONDS
        outcome = await self._propose_queued(command, end)
        if outcome.status is Status.PENDING:
            outcome = await self._wait_for_outcome(
                command.request_id,
                outcome,
                end,
            )
        if outcome.status is Status.ACCEPTED:
            await self._in_force.wait_for(outcome.version)
        logger.info(
            'audit: {} asked {} to {}: {}, version {}',
            command.operator,
            command.request_id,
            summary,
            outcome.status.value,
            outcome.version,
        )
        return outcome

    async def _propose_queued(
        self,
        command: Apply | Replace,
        end: float,
    ) -> Outcome:
        if self._queued >= QUEUE_LIMIT:
            raise QueueFull
        self._queued += 1
        try:  # noqa: WPS501 - the count goes down on errors too
            async with self._lock:
                return await self._propose(command, end)
        finally:
            self._queued -= 1

    async def _propose(
        self,
        command: Apply | Replace,
        end: float,
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        outcome = Outcome(status=Status.BUSY)
        while outcome.status is Status.BUSY:
            existing = find_outcome(self._ledger.state, command)
            if existing is not None:
                return existing
            if loop.time() >= min(end, self._stop_at):
                break
            if not self._ledger.is_leader:
                raise NotLeader
            if await self._watch.wait_until(
                _has_no_staged_version,
                RECHECK_SECONDS,
            ):
                outcome = await self._ledger.propose(command)
        return outcome

    async def _wait_for_outcome(
        self,
        request_id: str,
        pending: Outcome,
        end: float,
    ) -> Outcome:
        def has_final_outcome(state: State) -> bool:  # noqa: WPS430
            outcome = state.requests.get(request_id, pending)
            return outcome.status is not Status.PENDING

        loop = asyncio.get_running_loop()
        ended = False
        while not ended and loop.time() < min(end, self._stop_at):
            ended = await self._watch.wait_until(
                has_final_outcome,
                RECHECK_SECONDS,
            )
        return self._ledger.state.requests.get(request_id, pending)


class WriteAccess(Struct, frozen=True):
    """Write access to the ledger, shared by the listeners of a source.

    Args:
        writer: queues requests and proposes them.
        watch: waits for changes of the replicated state.
    """

    writer: Writer
    watch: StateWatch


def create_write_access(
    ledger: Ledger,
    clock: Callable[[], int],
    in_force: InForceVersion,
) -> WriteAccess:
    """Return the writer of a source and the watch that it waits with.

    Args:
        ledger: the replicated log.
        clock: returns milliseconds since 1970.
        in_force: waits until nodes have put a version in force.
    """
    watch = create_state_watch(ledger)
    return WriteAccess(Writer(ledger, watch, clock, in_force), watch)


def list_move_changes(
    service: str,
    label: str,
    deadline_ms: int,
) -> tuple[Change, ...]:
    """Return the changes that add a target version and a move to it.

    Args:
        service: name of the service.
        label: version that the traffic moves to.
        deadline_ms: deadline of the move, milliseconds since 1970.
    """
    version = TargetVersion(
        name=f'{service}/{label}',
        service=service,
        label=label,
    )
    move = Move(
        name=f'{service}-{label}',
        service=service,
        new=label,
        deadline_ms=deadline_ms,
    )
    return tuple(
        Change(key=key_of(resource), resource=resource)
        for resource in (version, move)
    )


def build_apply_response(request_id: str, outcome: Outcome) -> ApplyResponse:
    """Return the response body for an outcome, with its verdict."""
    verdict = _VERDICTS.get(outcome.status, Verdict.DID_NOT_RUN)
    return ApplyResponse(
        request_id=request_id,
        outcome=outcome,
        verdict=verdict,
    )


def describe_changes(changes: tuple[Change, ...]) -> str:
    """Return the first changes as text, for a line of the audit log."""
    texts = [
        f'{"put" if change.resource else "delete"} {format_key(change.key)}'
        for change in changes[:MAX_DESCRIBED_CHANGES]
    ]
    omitted = len(changes) - len(texts)
    if omitted:
        texts.append(f'{omitted} more')
    return ', '.join(texts)


def _has_no_staged_version(state: State) -> bool:
    return state.staged is None
