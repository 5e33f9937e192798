"""Prints the outcomes of requests by load and admission policy.

Run it by `python -m bench.experiment --seed 1`.
"""

import defopt

from bench.experiment.loads import SLOTS, TARGETS, scale_load
from bench.experiment.policies import POLICIES
from bench.experiment.simulation import Simulation

LOADS = (0.8, 1.0, 1.2, 1.5)
ROW = '{:>4} {:<13} {:<8} {:>8} {:>7} {:>6} {:>8} {:>7}'


def run(*, seed: int = 1, seconds: int = 30) -> None:
    """Simulate every load with every policy and print a table.

    :param seed: seed of arrivals, work and routing.
    :param seconds: virtual time during which requests arrive.
    """
    titles = ('policy', 'kind', 'requests', 'in time', 'late', 'refused')
    print(ROW.format('load', *titles, 'failed'))  # noqa: WPS421
    for load in LOADS:
        for name, policy in POLICIES.items():
            simulation = Simulation(
                scale_load(load), TARGETS, SLOTS, seed, policy
            )
            for kind, tally in simulation.run(seconds).items():
                if tally.total:
                    counts = (tally.in_time, tally.late, tally.refused)
                    row = (load, name, kind, tally.total, *counts)
                    print(ROW.format(*row, tally.failed))  # noqa: WPS421


if __name__ == '__main__':
    defopt.run(run)
