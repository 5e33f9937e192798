"""Moves: compares the rollout decisions of the product with a timed canary.

A move is the rollout of a target version. Run it by `python -m bench.moves --seeds 200`.
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
    """Return the table row for the runs of one trial.

    "in time" counts moves that were completed before their deadline and "back"
    those that were rolled back; "wrong" counts healthy versions rolled back or
    faulty ones completed. "zero s" is the median and the maximum time from the
    fault until the new version has no share.
    """
    is_good = find_case(trial.case).is_good
    completed = sum(run.completed for run in runs)
    in_time = sum(
        run.completed and run.ended_ms <= trial.deadline_ms for run in runs
    )
    back = len(runs) - completed
    wrong = back if is_good else completed
    zeros_ms = [run.zero_ms for run in runs if run.zero_ms is not None]
    zero_text = '-'
    if zeros_ms and not is_good:
        middle_s, longest_s = (
            median(zeros_ms) / MS_PER_S,
            max(zeros_ms) / MS_PER_S,
        )
        zero_text = f'{middle_s:.2f}/{longest_s:.2f}'
    bad_calls = fmean(run.bad_calls for run in runs)
    highest = max(run.highest for run in runs) / 100
    policy = 'product' if trial.is_product else 'canary'
    return (
        f'{trial.case:26}{policy:8}{in_time:9}{back:7}{wrong:7}'
        f'{bad_calls:11.1f}{zero_text:>13}{highest:9.0f}%\n'
    )


def main(
    *,
    seeds: int = 200,
    case: str = '',
    deadline_s: int = 30,
    calls_per_s: int = 0,
) -> int:
    """Run all trials and print the table.

    Args:
        seeds: number of moves of each case and policy.
        case: run only cases whose name contains this text.
        deadline_s: deadline of each move after its start, in seconds.
        calls_per_s: arrival rate in every case; zero uses that of the case.
    """
    trials = [
        Trial(
            case=candidate.name,
            is_product=is_product,
            deadline_ms=deadline_s * MS_PER_S,
            calls_per_s=calls_per_s,
        )
        for candidate in CASES
        if case in candidate.name
        for is_product in (True, False)
    ]
    sys.stdout.write(HEADER)
    with ProcessPoolExecutor(WORKERS) as pool:
        for trial in trials:
            run_seed = partial(run_case, trial)
            runs = tuple(pool.map(run_seed, range(seeds)))
            sys.stdout.write(format_runs(trial, runs))
            sys.stdout.flush()
    return 0


if __name__ == '__main__':
    sys.exit(defopt.run(main))
