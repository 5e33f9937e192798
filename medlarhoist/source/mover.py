"""Mover: advances the running moves, on the leader.

A move is the rollout of a target version; evidence is the results of calls to
the old and the new version. The mover collects the evidence from the failure
domains, lets core.rollout decide the next step and proposes it to the ledger.
A step names the step number that it was decided on. It is refused if the
number has changed since, so that it is made once.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec.structs import replace

from medlarhoist.core.command import (
    MovePhase,
    MoveState,
    Status,
    StepMove,
)
from medlarhoist.core.evidence import (
    EvidenceKey,
    EvidenceRow,
    clamped_domains,
    compact_rows,
    merge_rows,
    summarize,
)
from medlarhoist.core.interfaces import Ledger, NotLeader, OutcomeUnknown
from medlarhoist.core.rollout import Decision, decide
from medlarhoist.source.current_version import CurrentVersionSetter
from medlarhoist.utils.tasks import cancel_all

TICK_S: Final = 0.2
DECISION_INTERVAL_MS: Final = 1000
WINDOW_MS: Final = 1000
KEPT_WINDOWS: Final = 20

Clock = Callable[[], int]
Rows = dict[tuple[EvidenceKey, int], EvidenceRow]


class _RunningMove:
    """A running move and the evidence that the leader has received for it.

    The times are in milliseconds since 1970; observed_ms holds when the
    leader first observed each step.
    """

    __slots__ = ('next_decision_ms', 'observed_ms', 'record', 'rows')

    def __init__(self, record: MoveState) -> None:
        self.record = record
        self.next_decision_ms = 0
        self.rows: Rows = {}
        self.observed_ms: list[int] = []

    def add_row(self, row: EvidenceRow) -> None:
        """Add a row to the sum of its window; the next tick decides."""
        index = (row.key, row.window)
        previous = self.rows.get(index)
        parts = (row,) if previous is None else (previous, row)
        self.rows[index] = merge_rows(parts)[0]
        self.next_decision_ms = 0


class Mover:
    """Decides and proposes the steps of running moves on the leader."""

    __slots__ = (
        '_clock',
        '_current_versions',
        '_ledger',
        '_running_moves',
        '_tasks',
        'dropped_rows',
    )

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        """Start without evidence; see create_mover."""
        self._ledger = ledger
        self._current_versions = CurrentVersionSetter(ledger)
        self._clock = clock
        self._running_moves: dict[str, _RunningMove] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.dropped_rows = 0

    def on_report(self, domain: str, rows: tuple[EvidenceRow, ...]) -> None:
        """Add the evidence that a failure domain reports.

        The distributor calls this. Rows of another domain and of services
        without a running move are dropped and counted.

        Args:
            domain: the failure domain that reports.
            rows: its evidence since its last report; a window in the future,
                from a clock that is ahead, counts as the present one.
        """
        moves_by_service = {
            move.record.service: move for move in self._running_moves.values()
        }
        newest = self._clock() // WINDOW_MS
        self._current_versions.record_calls(rows)
        for row in rows:
            move = moves_by_service.get(row.key.service)
            if move is None or row.key.domain != domain:
                self.dropped_rows += 1
            elif row.window > newest:
                move.add_row(replace(row, window=newest))
            else:
                move.add_row(row)

    async def tick(self) -> None:
        """Propose missing current versions, then decide moves.

        A move is decided after new evidence or a proposed step, otherwise
        every DECISION_INTERVAL_MS, but none while a version is staged.
        """
        now_ms = self._clock()
        if not self._ledger.is_leader:
            self._running_moves.clear()
            return
        await self._current_versions.propose_versions(now_ms)
        self._update_moves(now_ms)
        for move in tuple(self._running_moves.values()):
            if self._ledger.state.staged is not None:
                return
            # The second condition holds if the clock was set back.
            if (
                now_ms >= move.next_decision_ms
                or now_ms < move.next_decision_ms - DECISION_INTERVAL_MS
            ):
                move.next_decision_ms = now_ms + DECISION_INTERVAL_MS
                await self._decide(move, now_ms)

    async def start(self) -> None:
        """Start the task that calls `tick` every TICK_S seconds."""
        self._tasks = [asyncio.create_task(self._run())]

    async def stop(self) -> None:
        """Stop the task; the replicated moves stay as they are."""
        await cancel_all(self._tasks)
        self._tasks = []

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            'dropped_rows': self.dropped_rows,
            'moves': {
                name: {
                    'record': move.record,
                    'seen_ms': move.observed_ms,
                    'rows': len(move.rows),
                }
                for name, move in self._running_moves.items()
            },
        }

    def _update_moves(self, now_ms: int) -> None:
        running = {
            name: record
            for name, record in self._ledger.state.moves.items()
            if record.phase is MovePhase.RUNNING
        }
        for name in set(self._running_moves) - set(running):
            self._running_moves.pop(name)
        for name, record in running.items():
            self._update_move(name, record, now_ms)

    def _update_move(self, name: str, record: MoveState, now_ms: int) -> None:
        """Apply a replicated record; a restarted move begins without evidence."""
        move = self._running_moves.get(name)
        if move is None or move.record.started_ms != record.started_ms:
            move = _RunningMove(record)
            self._running_moves[name] = move
        if not move.observed_ms or move.record.step != record.step:
            move.observed_ms.append(now_ms)
        move.record = record
        oldest = now_ms // WINDOW_MS - KEPT_WINDOWS
        if any(window < oldest - 1 for _, window in move.rows):
            rows = compact_rows(move.rows.values(), oldest, record.new)
            move.rows = {(row.key, row.window): row for row in rows}

    async def _decide(self, move: _RunningMove, now_ms: int) -> None:
        record = move.record
        series = summarize(move.rows.values(), record.old, record.new)
        window = now_ms // WINDOW_MS
        clamped = clamped_domains(move.rows.values(), record.new, window)
        decision = decide(record, series, move.observed_ms, now_ms, clamped)
        if _is_change(record, decision):
            move.next_decision_ms = 0
            await self._propose(record, decision, now_ms)

    async def _propose(
        self,
        record: MoveState,
        decision: Decision,
        now_ms: int,
    ) -> None:
        command = StepMove(
            move=record.move,
            expected_step=record.step,
            basis_points=decision.basis_points,
            phase=decision.phase,
            reason=decision.reason,
            evidence=decision.evidence,
            at_ms=now_ms,
            decided_by=self._ledger.leader,
        )
        try:
            outcome = await self._ledger.propose(command)
        except (NotLeader, OutcomeUnknown):
            logger.info(
                'mover: the outcome of a step of {} is unknown',
                record.move,
            )
            return
        if outcome.status in {Status.PENDING, Status.ACCEPTED}:
            logger.info('mover: {}: {}', record.move, decision.reason)

    async def _run(self) -> None:
        while True:
            await self._tick_safely()
            await asyncio.sleep(TICK_S)

    async def _tick_safely(self) -> None:
        try:
            await self.tick()
        except Exception as exc:
            logger.exception('mover: tick failed: {}', exc)


def create_mover(ledger: Ledger, clock: Clock) -> Mover:
    """Return the mover of a source.

    Args:
        ledger: the replicated log.
        clock: returns milliseconds since 1970.
    """
    return Mover(ledger, clock)


def _is_change(record: MoveState, decision: Decision) -> bool:
    return (
        decision.basis_points != record.basis_points
        or decision.phase is not record.phase
    )
