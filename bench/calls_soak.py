"""Calls soak: injects random faults into a mesh under load, by seed.

Targets refuse, fail and slow down, connections are closed on every hop, and
targets drain and become ready again, leave and are replaced, nodes restart, one
target names a limit, and one request crashes each target that runs it, under
load with mixed deadlines. Some calls carry an unknown key. At the end, the
outcomes that callers received are compared with the requests that the targets
recorded.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

import defopt
from loguru import logger
from msgspec import Struct, structs

from bench.calls_mesh import Mesh
from bench.calls_static import compile_sample
from medlarhoist.core.accounts import digest_key
from medlarhoist.core.compile import Compiled
from medlarhoist.core.resource import Account
from medlarhoist.core.target import TargetPhase
from medlarhoist.standin.load import Plan, Summary, run_load
from medlarhoist.standin.target_options import Fault
from medlarhoist.standin.target_server import CRASH_PATH
from medlarhoist.utils.tasks import cancel_all, start_task

NODES = 4
SLOTS = 6
LIMIT = 3
LIMITED = 0
RATE = 60.0
RESTART_SHARE = 0.03
MAX_FAULT_INTERVAL_S = 0.05
DEADLINES_MS = (5, 40, 400, 3000)
DEADLY_RATE = 8.0
DOWN_S = 0.3
KEY_LINE = 'Authorization: Token known'
STRANGER = 'stranger'
STRANGER_RATE = 20.0
# Three runs show that a request crashes its targets; three more are allowed.
MAX_CRASHES = 6


class Verdicts(Struct, frozen=True):
    """Results of one seed.

    Args:
        sent: requests sent.
        whole: complete responses with a status below 500.
        repeated: ids of requests that ran more than once.
        untrue: ids of requests that ran although their caller received "did
            not run", or did not run although it received status 200.
        crossed: mismatched responses, which belong to another request.
        peak: highest number of concurrent requests on one target.
        after_leave: requests that a target started although the process that
            sent them had heard that it leaves.
        above_limit: requests above those that the limited target accepts.
        errors: errors that the nodes logged.
        crashes: targets that one request has crashed.
        convicted: requests that are refused as they crash targets.
        strangers: ids of requests that ran without a known key.
    """

    sent: int
    whole: int
    repeated: tuple[str, ...]
    untrue: tuple[str, ...]
    crossed: int
    peak: int
    after_leave: int = 0
    above_limit: float = 0
    errors: int = 0
    crashes: int = 0
    convicted: int = 0
    strangers: tuple[str, ...] = ()

    @property
    def is_passed(self) -> bool:
        """Return whether no invariant was violated."""
        are_outcomes_true = not self.repeated and not self.untrue
        is_clean = not self.crossed and not self.errors
        are_targets_heard = not self.after_leave and self.above_limit <= 0
        is_within_slots = self.peak <= SLOTS
        is_contained = self.crashes <= MAX_CRASHES and self.convicted <= 1
        return all(
            (
                are_outcomes_true,
                is_clean,
                are_targets_heard,
                is_within_slots,
                is_contained,
                not self.strangers,
            )
        )


def _toggle_refusing(mesh: Mesh, number: int, rng: random.Random) -> None:
    state = mesh.targets[number].state
    state.is_refusing = not state.is_refusing


def _change_fault(mesh: Mesh, number: int, rng: random.Random) -> None:
    state = mesh.targets[number].state
    state.options = structs.replace(
        state.options,
        fault=rng.choice(tuple(Fault)),
        fault_share=rng.random(),
    )


def _cut_target_connections(
    mesh: Mesh, number: int, rng: random.Random
) -> None:
    mesh.targets[number].abort_connections(rng.random())


def _reset_peer_connections(
    mesh: Mesh, number: int, rng: random.Random
) -> None:
    mesh.reset_peer_connections(number)


def _change_phase(mesh: Mesh, number: int, rng: random.Random) -> None:
    phase = rng.choice(tuple(TargetPhase))
    mesh.notify(number, mesh.targets[number].port, phase)


def _leave(mesh: Mesh, number: int, rng: random.Random) -> None:
    if number != LIMITED:
        mesh.targets[number].state.is_leaving = True


def _replace_target(mesh: Mesh, number: int, rng: random.Random) -> None:
    if number != LIMITED:
        mesh.start_run(number, f'run-{rng.random()}')


FAULTS: tuple[Callable[[Mesh, int, random.Random], None], ...] = (
    _toggle_refusing,
    _change_fault,
    _cut_target_connections,
    _reset_peer_connections,
    _change_phase,
    _leave,
    _replace_target,
)


def _prepare_crashes(mesh: Mesh) -> list[int]:
    """Let targets crash; return a list that gets the index of each that does."""
    crashes: list[int] = []
    for number, target in enumerate(mesh.targets):
        target.state.crash = partial(_crash, mesh, number, crashes)
    return crashes


def _crash(mesh: Mesh, number: int, crashes: list[int]) -> None:
    """Crash a target, which starts again at the same address.

    Args:
        mesh: the nodes and targets.
        number: index of the target.
        crashes: gets the index of each crashed target.
    """
    crashes.append(number)
    target = mesh.targets[number]
    target.close()
    target.abort_connections(1)
    start_task(_start_again(mesh, number, f'crash-{len(crashes)}'))


async def _start_again(mesh: Mesh, number: int, run_id: str) -> None:
    await asyncio.sleep(DOWN_S)
    await mesh.targets[number].start(mesh.targets[number].port)
    mesh.start_run(number, run_id)


def _start_loads(
    mesh: Mesh,
    seconds: float,
    rng: random.Random,
) -> list[asyncio.Task[Summary]]:
    plan = Plan(
        addresses=tuple(cfg.entry for cfg in mesh.settings),
        rate=RATE,
        seconds=seconds,
        method='POST',
    )
    loads = [
        start_task(
            run_load(
                structs.replace(
                    plan,
                    body_bytes=rng.choice((0, 10, 200_000)),
                    headers=(f'X-Deadline-Ms: {deadline_ms}', KEY_LINE),
                    prefix=f'within-{deadline_ms}',
                ),
            ),
        )
        for deadline_ms in DEADLINES_MS
    ]
    deadly = structs.replace(
        plan,
        rate=DEADLY_RATE,
        method='GET',
        paths=(CRASH_PATH,),
        headers=(KEY_LINE,),
        prefix='deadly',
    )
    strangers = structs.replace(
        plan,
        rate=STRANGER_RATE,
        headers=('Authorization: Token unknown',),
        prefix=STRANGER,
    )
    others = [start_task(run_load(other)) for other in (deadly, strangers)]
    return [*loads, *others]


def _compile_account() -> Compiled:
    account = Account(name='studio', key_digests=(digest_key(b'known'),))
    snapshot = structs.replace(compile_sample().snapshot, accounts=(account,))
    return Compiled(snapshot, '')


async def run_seed(seed: int, seconds: float) -> Verdicts:
    """Run the load with the faults of one seed and return the results."""
    rng = random.Random(seed)  # noqa: S311
    mesh = Mesh(_compile_account())
    errors: list[str] = []
    sink = logger.add(errors.append, level='ERROR')
    for number in range(NODES):
        await mesh.add('ab'[number % 2], slots=SLOTS, work_ms=10)
    crashes = _prepare_crashes(mesh)
    loads = _start_loads(mesh, seconds, rng)
    spreading = start_task(mesh.spread_suspicions())
    mesh.targets[LIMITED].state.limit = LIMIT
    began = time.monotonic()
    while not all(load.done() for load in loads):
        if rng.random() < RESTART_SHARE:
            await mesh.restart(rng.randrange(NODES))
        fault = rng.choice(FAULTS)
        fault(mesh, rng.randrange(NODES), rng)
        await asyncio.sleep(MAX_FAULT_INTERVAL_S * rng.random())
    await cancel_all((spreading,))
    summaries = [load.result() for load in loads]
    await mesh.close()
    logger.remove(sink)
    excess = _count_excess(mesh, time.monotonic() - began)
    return structs.replace(
        compare_outcomes(mesh, summaries),
        errors=len(errors),
        above_limit=excess,
        crashes=len(crashes),
        convicted=_count_convicted(mesh),
    )


def _count_convicted(mesh: Mesh) -> int:
    records = mesh.quarantines[0].export(time.monotonic())
    return sum(record.is_quarantined for record in records)


def _count_excess(mesh: Mesh, seconds: float) -> float:
    """Return the requests to the limited target that exceed what it accepts.

    Until its first response after the start or a restart of its node, callers
    of that node may fill its slots.
    """
    record = mesh.records[LIMITED]
    arrivals = record.ran_count + record.shed
    unheard = SLOTS * (1 + mesh.restarts[LIMITED])
    return arrivals - unheard - 1.5 * LIMIT * seconds - 5


def compare_outcomes(mesh: Mesh, summaries: list[Summary]) -> Verdicts:
    """Compare the outcomes of requests with the records of the targets."""
    runs_by_id: Counter[str] = Counter()
    for record in mesh.records:
        runs_by_id.update(record.ran)
    outcomes: dict[str, str] = {}
    for summary in summaries:
        outcomes.update(summary.outcomes)
    return Verdicts(
        sum(load_summary.sent for load_summary in summaries),
        sum(load_summary.whole for load_summary in summaries),
        tuple(
            request_id for request_id, runs in runs_by_id.items() if runs > 1
        ),
        tuple(
            filter(
                lambda request_id: _is_untrue(
                    outcomes[request_id], runs_by_id[request_id]
                ),
                outcomes,
            )
        ),
        sum(load_summary.crossed for load_summary in summaries),
        max(target_record.peak for target_record in mesh.records),
        sum(target_record.after_leave for target_record in mesh.records),
        strangers=tuple(
            request_id
            for request_id in runs_by_id
            if request_id.startswith(STRANGER)
        ),
    )


def _is_untrue(outcome: str, runs: int) -> bool:
    if outcome == 'did-not-run':
        return runs > 0
    return outcome == '200' and runs == 0


def main(*, seed: int = 1, runs: int = 10, seconds: float = 3.0) -> None:
    """Run seeds in sequence; exit with 1 if an invariant was violated.

    Args:
        seed: the first seed.
        runs: number of seeds.
        seconds: duration of the load of each seed.
    """
    is_passed = True
    for number in range(seed, seed + runs):
        verdicts = asyncio.run(run_seed(number, seconds))
        is_passed = is_passed and verdicts.is_passed
        print(f'seed {number}: {verdicts}')  # noqa: WPS421
    sys.exit(not is_passed)


if __name__ == '__main__':
    defopt.run(main)
