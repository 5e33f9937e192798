"""World: one move on its way, for the benchmark of moves.

Calls are drawn, see bench.synthetic; the decisions are the product's own
functions, or those of a plain timed canary. A step takes effect after
STEP_DELAY_S and evidence arrives after REPORT_DELAY_S; six nodes clamp by
themselves.
"""

from collections.abc import Callable, Iterable, Sequence
from itertools import product
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.moves_cases import Case, find_case
from bench.synthetic import NEW, OLD, SERVICE, Moment, Span, Traffic, draw_rows
from medlarhoist.core.clamp import find_clamp
from medlarhoist.core.command import MovePhase, MoveState
from medlarhoist.core.evidence import (
    NO_ROUTE,
    EvidenceKey,
    EvidenceRow,
    clamped_domains,
    compact_rows,
    merge_rows,
    summarize,
)
from medlarhoist.core.fault_detector import cold_windows
from medlarhoist.core.rollout import Decision, decide
from medlarhoist.core.rollout_plan import COMMIT_MARGIN_MS
from medlarhoist.core.snapshot import FULL_SHARE, Share
from medlarhoist.source.mover import KEPT_WINDOWS

TICK_MS: Final = 250
DECIDE_MS: Final = 500
STEP_DELAY_S: Final = 1
REPORT_DELAY_S: Final = 0.75
BAKE_MS: Final = 2000
NODES_PER_DOMAIN: Final = 2
MS_PER_S: Final = 1000
CANARY_SHARES: Final = (100, 500, 2500, 5000, 10_000)
CANARY_FAILURES: Final = 0.05
CANARY_CALLS: Final = 20

Rows = tuple[EvidenceRow, ...]
Policy = Callable[[MoveState, Rows, Sequence[int], int], Decision]


class Trial(Struct, frozen=True, kw_only=True):
    """What is run for each seed.

    Args:
        case: name of the case.
        is_product: whether the product decides, or the timed canary.
        deadline_ms: time of the move.
        calls_per_s: arrivals; zero leaves those of the case.
    """

    case: str
    is_product: bool
    deadline_ms: int
    calls_per_s: int


class Run(Struct, frozen=True, kw_only=True):
    """What became of one move.

    Args:
        completed: whether it was completed.
        ended_ms: when it ended.
        bad_calls: calls of the new version since its fault showed.
        zero_ms: time from the fault to no share on any node; None where no
            fault showed or the share stayed.
        highest: highest share of a version whose fault showed, of 10,000.
    """

    completed: bool
    ended_ms: int
    bad_calls: int
    zero_ms: int | None
    highest: int


class _Node:
    """One node with its own calls and its own clamp."""

    __slots__ = ('clamped', 'domain', 'rows', 'traffic')

    def __init__(self, domain: str, traffic: Traffic) -> None:
        self.domain = domain
        nodes = NODES_PER_DOMAIN * len(traffic.domains)
        self.traffic = Traffic(
            calls_per_s=traffic.calls_per_s / nodes,
            domains=(domain,),
            routes=traffic.routes,
        )
        self.rows: Rows = ()
        self.clamped = False

    def judge(self, rows: Rows, share: Share, steps: Sequence[int]) -> None:
        """Take new rows in and clamp on strong evidence."""
        windows = {row.window for row in self.rows}
        self.rows = merge_rows([*self.rows, *rows])
        is_due = any(row.window not in windows or row.failed for row in rows)
        if is_due and not self.clamped:
            found = find_clamp(share, self.rows, cold_windows(steps))
            self.clamped = found is not None


class _World:
    """A move on its way: nodes, rows under way and steps under way."""

    __slots__ = (
        'bad_calls',
        'case',
        'clamps',
        'fault_ms',
        'highest',
        'nodes',
        'now_ms',
        'random',
        'reports',
        'rows',
        'share',
        'steps_ms',
        'zero_ms',
    )

    def __init__(self, case: Case, seed: int, *, clamps: bool) -> None:
        self.case = case
        self.clamps = clamps
        self.random = Random(seed)
        self.now_ms = 0
        self.share = 0
        self.steps_ms: list[int] = []
        self.rows: Rows = ()
        self.reports: list[tuple[int, Rows]] = []
        self.fault_ms: int | None = None
        self.zero_ms: int | None = None
        self.bad_calls = 0
        self.highest = 0
        self.nodes = [
            _Node(domain, case.traffic)
            for domain, _ in product(
                case.traffic.domains,
                range(NODES_PER_DOMAIN),
            )
        ]

    def set_share(self, basis_points: int) -> None:
        """Put a step in force on every node."""
        self.share = basis_points
        self.steps_ms.append(self.now_ms)

    def tick(self) -> None:
        """Draw the calls of a tick and let nodes judge them."""
        self.now_ms += TICK_MS
        share = Share(
            service=SERVICE,
            move='m',
            old=OLD,
            new=NEW,
            basis_points=self.share,
        )
        steps = [at_ms // MS_PER_S for at_ms in self.steps_ms]
        drawn: list[EvidenceRow] = []
        for one in self.nodes:
            rows = self._draw(one)
            drawn.extend(rows)
            if self.clamps:
                one.judge(rows, share, steps)
        self._watch_fault(drawn)
        due_ms = self.now_ms + round(REPORT_DELAY_S * MS_PER_S)
        self.reports.append((due_ms, tuple(drawn)))

    def arrived(self) -> Rows:
        """Return all evidence that has reached the source."""
        arrived = [rows for due, rows in self.reports if due <= self.now_ms]
        self.reports = self.reports[len(arrived) :]
        fresh = [row for rows in arrived for row in rows]
        self.rows = merge_rows([*self.rows, *fresh])
        oldest = self.now_ms // MS_PER_S - KEPT_WINDOWS
        self.rows = compact_rows(self.rows, oldest, NEW)
        return self.rows

    def _draw(self, one: _Node) -> Rows:
        span = Span(
            at_s=self.now_ms / MS_PER_S,
            length_s=TICK_MS / MS_PER_S,
            window=self.now_ms // MS_PER_S,
            new_for_s=self._new_for_s(),
        )
        share = 0 if one.clamped else self.share
        rows = draw_rows(
            self.random,
            one.traffic,
            self.case.health_of,
            span,
            share,
        )
        nodes = int(self.now_ms % MS_PER_S == 0)
        rows = [replace(row, nodes=nodes) for row in rows]
        if one.clamped and nodes:
            key = EvidenceKey(one.domain, SERVICE, NO_ROUTE, NEW)
            row = EvidenceRow(
                key=key,
                window=span.window,
                nodes=0,
                clamped=1,
            )
            rows.append(row)
        return tuple(rows)

    def _watch_fault(self, rows: Iterable[EvidenceRow]) -> None:
        new = [row for row in rows if row.key.label == NEW and not row.clamped]
        if self.fault_ms is None and self._is_bad_now(new):
            self.fault_ms = self.now_ms
        if self.fault_ms is None or self.zero_ms is not None:
            return
        self.bad_calls += sum(row.succeeded + row.failed for row in new)
        if self.share == 0 or all(one.clamped for one in self.nodes):
            self.zero_ms = self.now_ms - self.fault_ms
        else:
            self.highest = max(self.highest, self.share)

    def _is_bad_now(self, new: Sequence[EvidenceRow]) -> bool:
        if self.case.is_good:
            return False
        return any(
            self.case.health_of(self._moment(row, NEW))
            != self.case.health_of(self._moment(row, OLD))
            for row in new
        )

    def _new_for_s(self) -> float:
        first_ms = self.steps_ms[0] if self.steps_ms else self.now_ms
        return (self.now_ms - first_ms) / MS_PER_S

    def _moment(self, row: EvidenceRow, label: str) -> Moment:
        return Moment(
            at_s=self.now_ms / MS_PER_S,
            domain=row.key.domain,
            route=row.key.route,
            label=label,
            basis_points=self.share,
            new_for_s=self._new_for_s(),
        )


def decide_product(
    move: MoveState,
    rows: Rows,
    seen_ms: Sequence[int],
    now_ms: int,
) -> Decision:
    """Decide as the product does."""
    clamped = clamped_domains(rows, NEW, now_ms // MS_PER_S)
    series = summarize(rows, OLD, NEW)
    return decide(move, series, seen_ms, now_ms, clamped)


def decide_canary(
    move: MoveState,
    rows: Rows,
    seen_ms: Sequence[int],
    now_ms: int,
) -> Decision:
    """Decide by a timetable and a fixed threshold of failures."""
    since = seen_ms[-1] // MS_PER_S if seen_ms else 0
    new = [row for row in rows if row.key.label == NEW and row.window >= since]
    failed = sum(row.failed for row in new)
    calls = failed + sum(row.succeeded for row in new)
    if calls >= CANARY_CALLS and failed > CANARY_FAILURES * calls:
        return _decision(0, MovePhase.ROLLED_BACK)
    whole_ms = move.deadline_ms - COMMIT_MARGIN_MS
    index = now_ms * len(CANARY_SHARES) // whole_ms
    if index >= len(CANARY_SHARES):
        return _decision(FULL_SHARE, MovePhase.COMPLETED)
    return _decision(CANARY_SHARES[index], MovePhase.RUNNING)


def run_case(trial: Trial, seed: int) -> Run:
    """Run one move to its end and a little longer."""
    policy = decide_product if trial.is_product else decide_canary
    case = find_case(trial.case, trial.calls_per_s)
    world = _World(case, seed, clamps=trial.is_product)
    move = MoveState(
        move='m',
        service=SERVICE,
        old=OLD,
        new=NEW,
        deadline_ms=trial.deadline_ms,
        bake_ms=BAKE_MS,
    )
    ended_ms = 0
    while world.now_ms < trial.deadline_ms + MS_PER_S * STEP_DELAY_S:
        world.tick()
        in_force = world.now_ms - STEP_DELAY_S * MS_PER_S >= move.stepped_ms
        if in_force and world.share != move.basis_points:
            world.set_share(move.basis_points)
        if world.now_ms % DECIDE_MS or not in_force:
            continue
        if move.phase is not MovePhase.RUNNING:
            continue
        decision = policy(move, world.arrived(), world.steps_ms, world.now_ms)
        move = _apply(move, decision, world.now_ms)
        ended_ms = world.now_ms
    return Run(
        completed=move.phase is MovePhase.COMPLETED,
        ended_ms=ended_ms,
        bad_calls=world.bad_calls,
        zero_ms=world.zero_ms,
        highest=world.highest,
    )


def _apply(move: MoveState, decision: Decision, now_ms: int) -> MoveState:
    if (
        decision.basis_points == move.basis_points
        and decision.phase is move.phase
    ):
        return move
    return replace(
        move,
        basis_points=decision.basis_points,
        phase=decision.phase,
        step=move.step + 1,
        stepped_ms=now_ms,
        reason=decision.reason,
    )


def _decision(basis_points: int, phase: MovePhase) -> Decision:
    return Decision(basis_points=basis_points, phase=phase, reason='')
