"""Calls soak: random faults on the calls' path, by seed.

Targets refuse, fail and slow down, connections are cut on every hop, targets
drain and nodes come and go, under load with mixed deadlines. In the end what
callers were told is compared with what the targets recorded.
"""

import asyncio
import random
import sys
from collections import Counter
from collections.abc import Callable

import defopt
from loguru import logger
from msgspec import Struct, structs

from bench.calls_mesh import Mesh
from medlarhoist.core.target import TargetPhase
from medlarhoist.standin.load import Plan, Summary, run_load
from medlarhoist.standin.target_options import Fault

NODES = 4
SLOTS = 6
RATE = 60.0
PAUSE_S = 0.05
DEADLINES_MS = (5, 40, 400, 3000)


class Verdicts(Struct, frozen=True):
    """What one run found.

    Args:
        sent: requests sent.
        whole: whole answers.
        repeated: ids that ran more than once.
        untrue: ids told "did not run" that ran, or told 200 that did not.
        crossed: answers that belonged to another request.
        peak: most requests at once on one target.
        errors: errors that the nodes logged.
    """

    sent: int
    whole: int
    repeated: tuple[str, ...]
    untrue: tuple[str, ...]
    crossed: int
    peak: int
    errors: int = 0

    @property
    def is_good(self) -> bool:
        """Say whether all that must hold did."""
        is_true = not self.repeated and not self.untrue
        is_quiet = not self.crossed and not self.errors
        return is_true and is_quiet and self.peak <= SLOTS


def _switch_refusing(mesh: Mesh, number: int, draw: random.Random) -> None:
    state = mesh.targets[number].state
    state.is_refusing = not state.is_refusing


def _change_fault(mesh: Mesh, number: int, draw: random.Random) -> None:
    state = mesh.targets[number].state
    state.options = structs.replace(
        state.options,
        fault=draw.choice(tuple(Fault)),
        fault_share=draw.random(),
    )


def _cut_target(mesh: Mesh, number: int, draw: random.Random) -> None:
    mesh.targets[number].abort_connections(draw.random())


def _cut_node(mesh: Mesh, number: int, draw: random.Random) -> None:
    mesh.cut_node(number)


def _drain(mesh: Mesh, number: int, draw: random.Random) -> None:
    phase = draw.choice(tuple(TargetPhase))
    mesh.notify(number, mesh.targets[number].port, phase)


FAULTS: tuple[Callable[[Mesh, int, random.Random], None], ...] = (
    _switch_refusing,
    _change_fault,
    _cut_target,
    _cut_node,
    _drain,
)


async def run_seed(seed: int, seconds: float) -> Verdicts:
    """Run one seed and return what it found."""
    draw = random.Random(seed)  # noqa: S311
    mesh = Mesh()
    errors: list[str] = []
    sink = logger.add(errors.append, level='ERROR')
    for number in range(NODES):
        await mesh.add('ab'[number % 2], slots=SLOTS, work_ms=10)
    loads = [
        asyncio.ensure_future(
            run_load(
                Plan(
                    addresses=tuple(cfg.entry for cfg in mesh.settings),
                    rate=RATE,
                    seconds=seconds,
                    method='POST',
                    body_bytes=draw.choice((0, 10, 200_000)),
                    headers=(f'X-Deadline-Ms: {left_ms}',),
                    prefix=f'within-{left_ms}',
                ),
            ),
        )
        for left_ms in DEADLINES_MS
    ]
    while not all(load.done() for load in loads):
        fault = draw.choice(FAULTS)
        fault(mesh, draw.randrange(NODES), draw)
        await asyncio.sleep(PAUSE_S * draw.random())
    summaries = [load.result() for load in loads]
    await mesh.close()
    logger.remove(sink)
    found = compare_outcomes(mesh, summaries)
    return structs.replace(found, errors=len(errors))


def compare_outcomes(mesh: Mesh, summaries: list[Summary]) -> Verdicts:
    """Compare what callers were told with what the targets recorded."""
    ran: Counter[str] = Counter()
    for record in mesh.records:
        ran.update(record.ran)
    told: dict[str, str] = {}
    for summary in summaries:
        told.update(summary.outcomes)
    return Verdicts(
        sum(one.sent for one in summaries),
        sum(one.whole for one in summaries),
        tuple(name for name, times in ran.items() if times > 1),
        tuple(filter(lambda name: _is_untrue(told[name], ran[name]), told)),
        sum(one.crossed for one in summaries),
        max(one.peak for one in mesh.records),
    )


def _is_untrue(outcome: str, times: int) -> bool:
    if outcome == 'did-not-run':
        return times > 0
    return outcome == '200' and times == 0


def main(*, seed: int = 1, runs: int = 10, seconds: float = 3.0) -> None:
    """Run seeds in a row; the exit code is 1 where anything did not hold.

    Args:
        seed: the first seed.
        runs: number of seeds.
        seconds: length of each run.
    """
    is_good = True
    for number in range(seed, seed + runs):
        found = asyncio.run(run_seed(number, seconds))
        is_good = is_good and found.is_good
        print(f'seed {number}: {found}')  # noqa: WPS421
    sys.exit(not is_good)


if __name__ == '__main__':
    defopt.run(main)
