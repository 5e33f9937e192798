"""Sampler: records the versions in force at the nodes over time."""

import threading
import time
from typing import Final

from msgspec import Struct

from bench.fleet import Fleet
from bench.operator import read_dump

PERIOD_SECONDS: Final = 0.05


class Sample(Struct, frozen=True, kw_only=True):
    """Version in force at a node at one time.

    Args:
        node: name of the node.
        version: configuration version, None if none is in force.
        at: monotonic time of the sample, seconds.
    """

    node: str
    version: int | None
    at: float


class Sampler:
    """Reads the dumps of all running nodes in a thread until stopped."""

    __slots__ = ('_fleet', '_stopped', '_thread', 'samples')

    def __init__(self, fleet: Fleet) -> None:
        """Start the thread."""
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.samples: list[Sample] = []
        self._thread.start()

    def stop(self) -> list[Sample]:
        """Stop the thread and return the samples in order of time."""
        self._stopped.set()
        self._thread.join()
        return self.samples

    def _run(self) -> None:
        while not self._stopped.wait(PERIOD_SECONDS):
            for name in tuple(self._fleet.nodes):
                if name in self._fleet.processes:
                    self._sample(name)

    def _sample(self, name: str) -> None:
        dump = read_dump(self._fleet.nodes[name].admin)
        if dump:
            self.samples.append(
                Sample(
                    node=name,
                    version=dump['version'],
                    at=time.monotonic(),
                )
            )


def find_reverts(samples: list[Sample]) -> list[Sample]:
    """Return the samples whose version is below an earlier one of the node.

    Samples without a version, as of a node that starts, are ignored.
    """
    newest: dict[str, int] = {}
    reverts = []
    for sample in samples:
        if sample.version is None:
            continue
        if sample.version < newest.get(sample.node, 0):
            reverts.append(sample)
        newest[sample.node] = max(newest.get(sample.node, 0), sample.version)
    return reverts
