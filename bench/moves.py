"""Moves: measures the decisions of moves against a plain timed canary.

Run it by `python -m bench.moves --seeds 200`.
"""

import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from statistics import fmean, median
from typing import Final

import defopt

from bench.moves_cases import CASES, find_case
from bench.moves_simulation import MS_PER_S, Run, Trial, run_case

WORKERS: Final = 2
HEADER: Final = (
    f'{"case":26}{"policy":8}{"in time":>9}{"back":>7}{"wrong":>7}'
    f'{"bad calls":>11}{"zero s":>13}{"highest":>10}\n'
)


def format_runs(trial: Trial, runs: Sequence[Run]) -> str:
    """Return the line of the table for the runs of one trial.

    "in time" and "back" count moves that were completed before their
    deadline and that were rolled back; "wrong" counts the wrong end; "zero
    s" is the median and the longest time from the fault to no share.
    """
    good = find_case(trial.case).is_good
    completed = sum(run.completed for run in runs)
    in_time = sum(
        run.completed and run.ended_ms <= trial.deadline_ms for run in runs
    )
    back = len(runs) - completed
    wrong = back if good else completed
    zeros = [run.zero_ms for run in runs if run.zero_ms is not None]
    shown = '-'
    if zeros and not good:
        middle, longest = median(zeros) / MS_PER_S, max(zeros) / MS_PER_S
        shown = f'{middle:.2f}/{longest:.2f}'
    calls = fmean(run.bad_calls for run in runs)
    highest = max(run.highest for run in runs) / 100
    policy = 'product' if trial.is_product else 'canary'
    return (
        f'{trial.case:26}{policy:8}{in_time:9}{back:7}{wrong:7}'
        f'{calls:11.1f}{shown:>13}{highest:9.0f}%\n'
    )


def main(
    *,
    seeds: int = 200,
    case: str = '',
    deadline_s: int = 30,
    calls_per_s: int = 0,
) -> int:
    """Print the table.

    Args:
        seeds: moves of each case and policy.
        case: only cases whose name has this in it.
        deadline_s: time of each move, in seconds.
        calls_per_s: arrivals in every case; zero leaves those of the case.
    """
    trials = [
        Trial(
            case=one.name,
            is_product=is_product,
            deadline_ms=deadline_s * MS_PER_S,
            calls_per_s=calls_per_s,
        )
        for one in CASES
        if case in one.name
        for is_product in (True, False)
    ]
    sys.stdout.write(HEADER)
    with ProcessPoolExecutor(WORKERS) as pool:
        for trial in trials:
            one_seed = partial(run_case, trial)
            runs = tuple(pool.map(one_seed, range(seeds)))
            sys.stdout.write(format_runs(trial, runs))
            sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(defopt.run(main))
