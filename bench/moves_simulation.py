"""Moves simulation: one rollout in virtual time, for the benchmark of moves.

Calls are drawn by bench.synthetic. Decisions are made by the functions of the
product, or by a canary with fixed times. A step takes effect after
STEP_DELAY_S, and evidence reaches the source after REPORT_DELAY_S. Each of the
six nodes clamps on its own evidence, that is, it limits the new version's
share.
"""

from collections.abc import Callable, Iterable, Sequence
from itertools import product
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.moves_cases import Case, find_case
from bench.synthetic import (
    NEW,
    OLD,
    SERVICE,
    CallContext,
    SampleInterval,
    Traffic,
    sample_rows,
)
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
    """Parameters of runs that differ only in their seed.

    Args:
        case: name of the case.
        is_product: whether the product decides; the timed canary otherwise.
        deadline_ms: deadline of the move after its start, milliseconds.
        calls_per_s: arrival rate; zero uses that of the case.
    """

    case: str
    is_product: bool
    deadline_ms: int
    calls_per_s: int


class Run(Struct, frozen=True, kw_only=True):
    """Result of one move; times are milliseconds.

    Args:
        completed: whether it was completed.
        ended_ms: time from the start to the last decision.
        bad_calls: calls to the new version from its first fault until zero_ms.
        zero_ms: time from the first fault until no node sends calls to the new
            version; None if there was no fault or the share stayed.
        highest: highest share after the first fault, in basis points.
    """

    completed: bool
    ended_ms: int
    bad_calls: int
    zero_ms: int | None
    highest: int


class _Node:
    """A node with its calls, its evidence and its clamp."""

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

    def evaluate(self, rows: Rows, share: Share, steps: Sequence[int]) -> None:
        """Add new evidence and clamp if it shows a fault."""
        windows = {row.window for row in self.rows}
        self.rows = merge_rows([*self.rows, *rows])
        has_new_evidence = any(
            row.window not in windows or row.failed for row in rows
        )
        if has_new_evidence and not self.clamped:
            clamp = find_clamp(share, self.rows, cold_windows(steps))
            self.clamped = clamp is not None


class _Simulation:
    """State of a move: nodes, steps in force and evidence in transit."""

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
        """Set the share that every node routes by."""
        self.share = basis_points
        self.steps_ms.append(self.now_ms)

    def tick(self) -> None:
        """Advance by TICK_MS: draw calls and let nodes evaluate them."""
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
        for node in self.nodes:
            rows = self._draw(node)
            drawn.extend(rows)
            if self.clamps:
                node.evaluate(rows, share, steps)
        self._record_fault(drawn)
        due_ms = self.now_ms + round(REPORT_DELAY_S * MS_PER_S)
        self.reports.append((due_ms, tuple(drawn)))

    def receive_evidence(self) -> Rows:
        """Return all evidence that has reached the source, compacted."""
        arrived_rows = [
            rows for due_ms, rows in self.reports if due_ms <= self.now_ms
        ]
        self.reports = self.reports[len(arrived_rows) :]
        new_rows = [row for rows in arrived_rows for row in rows]
        self.rows = merge_rows([*self.rows, *new_rows])
        oldest = self.now_ms // MS_PER_S - KEPT_WINDOWS
        self.rows = compact_rows(self.rows, oldest, NEW)
        return self.rows

    def _draw(self, node: _Node) -> Rows:
        span = SampleInterval(
            at_s=self.now_ms / MS_PER_S,
            length_s=TICK_MS / MS_PER_S,
            window=self.now_ms // MS_PER_S,
            new_for_s=self._new_for_s(),
        )
        share = 0 if node.clamped else self.share
        rows = sample_rows(
            self.random,
            node.traffic,
            self.case.health_of,
            span,
            share,
        )
        nodes = int(self.now_ms % MS_PER_S == 0)
        rows = [replace(row, nodes=nodes) for row in rows]
        if node.clamped and nodes:
            key = EvidenceKey(node.domain, SERVICE, NO_ROUTE, NEW)
            row = EvidenceRow(
                key=key,
                window=span.window,
                nodes=0,
                clamped=1,
            )
            rows.append(row)
        return tuple(rows)

    def _record_fault(self, rows: Iterable[EvidenceRow]) -> None:
        new = [row for row in rows if row.key.label == NEW and not row.clamped]
        if self.fault_ms is None and self._has_fault(new):
            self.fault_ms = self.now_ms
        if self.fault_ms is None or self.zero_ms is not None:
            return
        self.bad_calls += sum(row.succeeded + row.failed for row in new)
        if self.share == 0 or all(node.clamped for node in self.nodes):
            self.zero_ms = self.now_ms - self.fault_ms
        else:
            self.highest = max(self.highest, self.share)

    def _has_fault(self, new: Sequence[EvidenceRow]) -> bool:
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

    def _moment(self, row: EvidenceRow, label: str) -> CallContext:
        return CallContext(
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
    steps_ms: Sequence[int],
    now_ms: int,
) -> Decision:
    """Decide by the rules of the product; steps_ms are the times of steps."""
    clamped = clamped_domains(rows, NEW, now_ms // MS_PER_S)
    series = summarize(rows, OLD, NEW)
    return decide(move, series, steps_ms, now_ms, clamped)


def decide_canary(
    move: MoveState,
    rows: Rows,
    steps_ms: Sequence[int],
    now_ms: int,
) -> Decision:
    """Decide by fixed times of steps and a fixed limit of failures."""
    since = steps_ms[-1] // MS_PER_S if steps_ms else 0
    new = [row for row in rows if row.key.label == NEW and row.window >= since]
    failed = sum(row.failed for row in new)
    calls = failed + sum(row.succeeded for row in new)
    if calls >= CANARY_CALLS and failed > CANARY_FAILURES * calls:
        return _decision(0, MovePhase.ROLLED_BACK)
    rollout_ms = move.deadline_ms - COMMIT_MARGIN_MS
    index = now_ms * len(CANARY_SHARES) // rollout_ms
    if index >= len(CANARY_SHARES):
        return _decision(FULL_SHARE, MovePhase.COMPLETED)
    return _decision(CANARY_SHARES[index], MovePhase.RUNNING)


def run_case(trial: Trial, seed: int) -> Run:
    """Run one move until its deadline and the delay of a step after it."""
    policy = decide_product if trial.is_product else decide_canary
    case = find_case(trial.case, trial.calls_per_s)
    simulation = _Simulation(case, seed, clamps=trial.is_product)
    move = MoveState(
        move='m',
        service=SERVICE,
        old=OLD,
        new=NEW,
        deadline_ms=trial.deadline_ms,
        bake_ms=BAKE_MS,
    )
    ended_ms = 0
    while simulation.now_ms < trial.deadline_ms + MS_PER_S * STEP_DELAY_S:
        simulation.tick()
        in_force = (
            simulation.now_ms - STEP_DELAY_S * MS_PER_S >= move.stepped_ms
        )
        if in_force and simulation.share != move.basis_points:
            simulation.set_share(move.basis_points)
        if simulation.now_ms % DECIDE_MS or not in_force:
            continue
        if move.phase is not MovePhase.RUNNING:
            continue
        decision = policy(
            move,
            simulation.receive_evidence(),
            simulation.steps_ms,
            simulation.now_ms,
        )
        move = _apply(move, decision, simulation.now_ms)
        ended_ms = simulation.now_ms
    return Run(
        completed=move.phase is MovePhase.COMPLETED,
        ended_ms=ended_ms,
        bad_calls=simulation.bad_calls,
        zero_ms=simulation.zero_ms,
        highest=simulation.highest,
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
