"""Mover: makes the steps of the running moves, on the leader.

It gathers the evidence of the failure domains, asks core.rollout what to do
and proposes the step. A step that was decided on an older record is refused by
the record's step number, so it is made once.
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
from medlarhoist.source.current_version import Settler
from medlarhoist.utils.tasks import cancel_all

TICK_S: Final = 0.2
IDLE_MS: Final = 1000
WINDOW_MS: Final = 1000
KEPT_WINDOWS: Final = 20

Clock = Callable[[], int]
Rows = dict[tuple[EvidenceKey, int], EvidenceRow]


class _Watch:
    """What the leader has gathered about one running move."""

    __slots__ = ('due_ms', 'record', 'rows', 'seen_ms')

    def __init__(self, record: MoveState) -> None:
        self.record = record
        self.due_ms = 0
        self.rows: Rows = {}
        self.seen_ms: list[int] = []

    def add(self, row: EvidenceRow) -> None:
        """Sum a row with what is known of its window."""
        place = (row.key, row.window)
        before = self.rows.get(place)
        parts = (row,) if before is None else (before, row)
        self.rows[place] = merge_rows(parts)[0]
        self.due_ms = 0


class Mover:
    """Decides the running moves while its source leads."""

    __slots__ = (
        '_clock',
        '_ledger',
        '_settler',
        '_tasks',
        '_watches',
        'dropped_rows',
    )

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        """Start with no evidence; the clock gives milliseconds since 1970."""
        self._ledger = ledger
        self._settler = Settler(ledger)
        self._clock = clock
        self._watches: dict[str, _Watch] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.dropped_rows = 0

    def on_report(self, domain: str, rows: tuple[EvidenceRow, ...]) -> None:
        """Take the evidence of a failure domain in.

        Args:
            domain: who reports; rows of another domain are dropped.
            rows: its evidence since its last report; a window that lies
                in the future, by a clock that is ahead, counts as now.
        """
        services = {
            watch.record.service: watch for watch in self._watches.values()
        }
        newest = self._clock() // WINDOW_MS
        self._settler.note(rows)
        for row in rows:
            watch = services.get(row.key.service)
            if watch is None or row.key.domain != domain:
                self.dropped_rows += 1
            elif row.window > newest:
                watch.add(replace(row, window=newest))
            else:
                watch.add(row)

    async def tick(self) -> None:
        """Decide every running move once."""
        now_ms = self._clock()
        if not self._ledger.is_leader:
            self._watches.clear()
            return
        await self._settler.settle(now_ms)
        self._follow(now_ms)
        for watch in tuple(self._watches.values()):
            if self._ledger.state.staged is not None:
                return
            if now_ms >= watch.due_ms or now_ms < watch.due_ms - IDLE_MS:
                watch.due_ms = now_ms + IDLE_MS
                await self._decide(watch, now_ms)

    async def start(self) -> None:
        """Begin to decide."""
        self._tasks = [asyncio.create_task(self._run())]

    async def stop(self) -> None:
        """Stop deciding; the records stay as they are."""
        await cancel_all(self._tasks)
        self._tasks = []

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            'dropped_rows': self.dropped_rows,
            'moves': {
                name: {
                    'record': watch.record,
                    'seen_ms': watch.seen_ms,
                    'rows': len(watch.rows),
                }
                for name, watch in self._watches.items()
            },
        }

    def _follow(self, now_ms: int) -> None:
        running = {
            name: record
            for name, record in self._ledger.state.moves.items()
            if record.phase is MovePhase.RUNNING
        }
        for name in set(self._watches) - set(running):
            self._watches.pop(name)
        for name, record in running.items():
            self._follow_one(name, record, now_ms)

    def _follow_one(self, name: str, record: MoveState, now_ms: int) -> None:
        watch = self._watches.get(name)
        if watch is None or watch.record.started_ms != record.started_ms:
            watch = _Watch(record)
            self._watches[name] = watch
        if not watch.seen_ms or watch.record.step != record.step:
            watch.seen_ms.append(now_ms)
        watch.record = record
        oldest = now_ms // WINDOW_MS - KEPT_WINDOWS
        if any(window < oldest - 1 for _, window in watch.rows):
            rows = compact_rows(watch.rows.values(), oldest, record.new)
            watch.rows = {(row.key, row.window): row for row in rows}

    async def _decide(self, watch: _Watch, now_ms: int) -> None:
        record = watch.record
        series = summarize(watch.rows.values(), record.old, record.new)
        window = now_ms // WINDOW_MS
        clamped = clamped_domains(watch.rows.values(), record.new, window)
        decision = decide(record, series, watch.seen_ms, now_ms, clamped)
        if _is_change(record, decision):
            watch.due_ms = 0
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
            logger.info('mover: the step of {} is unknown', record.move)
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
            logger.exception('mover: a tick failed: {}', exc)


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
