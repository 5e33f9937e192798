"""Writes of the resource API: one version is staged at a time.

Requests queue until the staged version has ended. What the operator is told
comes from the replicated state, so it is the same on every source.
"""

import asyncio
from collections.abc import Callable
from math import inf
from typing import Final

from loguru import logger
from msgspec import Struct

from medlarhoist.core.api_messages import (
    ApplyAnswer,
    ApplyRequest,
    ReplaceRequest,
)
from medlarhoist.core.command import Apply, Outcome, Replace, Status
from medlarhoist.core.interfaces import Ledger, NotLeader
from medlarhoist.core.resource import Change, Move, TargetVersion, key_of
from medlarhoist.core.state import State
from medlarhoist.core.verdict import Verdict
from medlarhoist.source.current_version import find_unsettled
from medlarhoist.source.in_force import InForceVersion
from medlarhoist.source.requests import find_outcome
from medlarhoist.source.transition_apply import text_of
from medlarhoist.source.watch import StateWatch, create_state_watch

APPLY_TIMEOUT_SECONDS: Final = 20.0
TURN_SECONDS: Final = 0.5
STOP_GRACE_SECONDS: Final = 3.0
QUEUE_LIMIT: Final = 256
CHANGES_SHOWN: Final = 5

_VERDICTS: Final = {
    Status.PENDING: Verdict.MAY_HAVE_RUN,
    Status.ACCEPTED: Verdict.RAN,
}


class QueueFull(Exception):
    """Too many requests wait; this one was not looked at."""


class Writer:
    """Puts the requests of operators through the ledger."""

    __slots__ = (
        '_clock',
        '_in_force',
        '_ledger',
        '_lock',
        '_stop_at',
        '_waiting',
        '_watch',
    )

    def __init__(
        self,
        ledger: Ledger,
        watch: StateWatch,
        clock: Callable[[], int],
        in_force: InForceVersion,
    ) -> None:
        """Keep the parts; see create_writing."""
        self._ledger = ledger
        self._watch = watch
        self._clock = clock
        self._in_force = in_force
        self._lock = asyncio.Lock()
        self._stop_at = inf
        self._waiting = 0

    def close(self) -> None:
        """Have the requests that wait answered soon, as the source stops."""
        now = asyncio.get_running_loop().time()
        self._stop_at = now + STOP_GRACE_SECONDS

    async def apply(self, operator: str, request: ApplyRequest) -> Outcome:
        """Make an operator's changes; see `_run`."""
        command = Apply(
            request_id=request.request_id,
            operator=operator,
            changes=request.changes,
            at_ms=self._clock(),
        )
        return await self._run(command, describe_changes(request.changes))

    async def replace(self, operator: str, request: ReplaceRequest) -> Outcome:
        """Put a whole configuration in force; see `_run`."""
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
        return await self._run(command, text)

    async def start_move(
        self,
        operator: str,
        service: str,
        label: str,
        duration_ms: int,
    ) -> Outcome:
        """Start a move of a service to a version, by a time from now.

        The same order again is answered as the first one was.

        Args:
            operator: who asks.
            service: name of the service.
            label: version that shall have the traffic.
            duration_ms: time that the move may take, milliseconds.

        Returns:
            The end of the request; busy while the version that the service
            has now is not known, since the move would have nothing to leave.
        """
        name = f'{service}-{label}'
        known = self._find_move(name)
        if known is not None:
            return known
        if service in find_unsettled(self._ledger.state):
            return Outcome(status=Status.BUSY)
        now_ms = self._clock()
        request = ApplyRequest(
            request_id=f'move-{name}-{now_ms}',
            changes=list_move_changes(service, label, now_ms + duration_ms),
        )
        outcome = await self.apply(operator, request)
        # Another copy of the order may have been the first.
        return self._find_move(name) or outcome

    async def wait_in_force(self) -> None:
        """Wait until nodes have the active version in force, not for long."""
        await self._in_force.wait_for(self._ledger.state.active.version)

    def _find_move(self, name: str) -> Outcome | None:
        if not self._ledger.is_leader:
            raise NotLeader
        if name not in self._ledger.state.moves:
            return None
        version = self._ledger.state.active.version
        return Outcome(status=Status.ACCEPTED, version=version)

    async def _run(self, command: Apply | Replace, summary: str) -> Outcome:
        """Put a command through the ledger and wait for its end.

        What was accepted is told once the nodes have put it in force.

        Returns:
            The end of the request; pending where it takes longer than
            APPLY_TIMEOUT_SECONDS, busy where it stayed in the queue.

        Raises:
            QueueFull: surely not logged.
            NotLeader: surely not logged by this call.
            OutcomeUnknown: it may yet commit.
        """
        if not self._ledger.is_leader:
            raise NotLeader
        end = asyncio.get_running_loop().time() + APPLY_TIMEOUT_SECONDS
        outcome = await self._propose_in_turn(command, end)
        if outcome.status is Status.PENDING:
            outcome = await self._wait_for_end(command.request_id, outcome, end)
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

    async def _propose_in_turn(
        self,
        command: Apply | Replace,
        end: float,
    ) -> Outcome:
        if self._waiting >= QUEUE_LIMIT:
            raise QueueFull
        self._waiting += 1
        try:  # noqa: WPS501 - the count must go down again
            async with self._lock:
                return await self._propose(command, end)
        finally:
            self._waiting -= 1

    async def _propose(
        self,
        command: Apply | Replace,
        end: float,
    ) -> Outcome:
        loop = asyncio.get_running_loop()
        outcome = Outcome(status=Status.BUSY)
        while outcome.status is Status.BUSY:
            known = find_outcome(self._ledger.state, command)
            if known is not None:
                return known
            if loop.time() >= min(end, self._stop_at):
                break
            if not self._ledger.is_leader:
                raise NotLeader
            if await self._watch.wait_until(_is_free, TURN_SECONDS):
                outcome = await self._ledger.propose(command)
        return outcome

    async def _wait_for_end(
        self,
        request_id: str,
        pending: Outcome,
        end: float,
    ) -> Outcome:
        def has_ended(state: State) -> bool:  # noqa: WPS430
            known = state.requests.get(request_id, pending)
            return known.status is not Status.PENDING

        loop = asyncio.get_running_loop()
        ended = False
        while not ended and loop.time() < min(end, self._stop_at):
            ended = await self._watch.wait_until(has_ended, TURN_SECONDS)
        return self._ledger.state.requests.get(request_id, pending)


class Writing(Struct, frozen=True):
    """What the listeners of a source write through.

    Args:
        writer: takes the requests in turn.
        watch: tells of changes of the replicated state.
    """

    writer: Writer
    watch: StateWatch


def create_writing(
    ledger: Ledger,
    clock: Callable[[], int],
    in_force: InForceVersion,
) -> Writing:
    """Return the writer of a source, and the watch that it waits with.

    Args:
        ledger: the replicated log.
        clock: returns milliseconds since 1970.
        in_force: tells when nodes have put a version in force.
    """
    watch = create_state_watch(ledger)
    return Writing(Writer(ledger, watch, clock, in_force), watch)


def list_move_changes(
    service: str,
    label: str,
    deadline_ms: int,
) -> tuple[Change, ...]:
    """Return the changes that start a move to a version.

    Args:
        service: name of the service.
        label: version that shall have the traffic.
        deadline_ms: end of the move, milliseconds since 1970.
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


def answer_outcome(request_id: str, outcome: Outcome) -> ApplyAnswer:
    """Return what the operator is told of an outcome."""
    verdict = _VERDICTS.get(outcome.status, Verdict.DID_NOT_RUN)
    return ApplyAnswer(
        request_id=request_id,
        outcome=outcome,
        verdict=verdict,
    )


def describe_changes(changes: tuple[Change, ...]) -> str:
    """Return what some changes put and delete, cut to a short line."""
    texts = [
        f'{"put" if change.resource else "delete"} {text_of(change.key)}'
        for change in changes[:CHANGES_SHOWN]
    ]
    left_out = len(changes) - len(texts)
    if left_out:
        texts.append(f'{left_out} more')
    return ', '.join(texts)


def _is_free(state: State) -> bool:
    return state.staged is None
