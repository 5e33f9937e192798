"""Prints what becomes of a load under each policy.

python -m bench.experiment --seed 1
"""

import defopt

from bench.experiment.loads import SLOTS, TARGETS, scale_load
from bench.experiment.policies import POLICIES
from bench.experiment.simulation import World

LOADS = (0.8, 1.0, 1.2, 1.5)
ROW = '{:>4} {:<13} {:<8} {:>8} {:>7} {:>6} {:>8} {:>7}'


def run(*, seed: int = 1, seconds: int = 30) -> None:
    """Replay the load in virtual time.

    :param seed: of all that is drawn.
    :param seconds: virtual time for which requests come.
    """
    titles = ('policy', 'kind', 'requests', 'in time', 'late', 'refused')
    print(ROW.format('load', *titles, 'failed'))  # noqa: WPS421
    for load in LOADS:
        for name, policy in POLICIES.items():
            world = World(scale_load(load), TARGETS, SLOTS, seed, policy)
            for kind, tally in world.run(seconds).items():
                if tally.total:
                    counts = (tally.in_time, tally.late, tally.refused)
                    row = (load, name, kind, tally.total, *counts)
                    print(ROW.format(*row, tally.failed))  # noqa: WPS421


if __name__ == '__main__':
    defopt.run(run)
