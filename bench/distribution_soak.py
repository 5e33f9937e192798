"""Distribution soak: random restarts, cuts and changes, from a seed.

Run `python -m bench.distribution_soak SEED SECONDS`. A node's versions must
never go down, also across its restarts, and everything converges once all
cuts are healed.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from loguru import logger

from bench.distribution_fleet import Fleet, run_fleet, wait_until

DOMAINS: Final = ('a', 'b')
NODES: Final = 5
PAUSE_SECONDS: Final = 0.3
Fault = Callable[['Soak'], Awaitable[None]]


class Soak:
    """A fleet under faults, and what each node has served."""

    __slots__ = ('changes', 'fleet', 'highest', 'lower', 'random', 'restarts')

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Start without faults."""
        self.changes = 0
        self.fleet = fleet
        self.highest: dict[str, int] = {}
        self.lower: list[str] = []
        self.random = Random(seed)
        self.restarts = 0

    def watch(self, name: str) -> None:
        """Check every version that a node puts in force.

        Those that are lower than one before are kept in `lower`.
        """
        node = self.fleet.nodes[name]
        node.configuration.subscribe(
            lambda compiled: self._note(name, compiled.version)
        )

    def any_node(self) -> str:
        """Return the name of a node."""
        return self.random.choice(sorted(self.fleet.nodes))

    def _note(self, name: str, version: int) -> None:
        before = self.highest.get(name, 0)
        if version < before:
            self.lower.append(f'{name} from {before} to {version}')
        self.highest[name] = version


async def _change(soak: Soak) -> None:
    if soak.fleet.log.state.staged is None:
        soak.changes += 1
        version = soak.fleet.log.state.last_version + 1
        soak.fleet.stage(version)


async def _restart(soak: Soak) -> None:
    name = soak.any_node()
    soak.restarts += 1
    await soak.fleet.nodes[name].stop()
    node = soak.fleet.renew_node(name)
    soak.watch(name)
    await node.start()


async def _cut_sources(soak: Soak) -> None:
    soak.fleet.cut_from_sources(soak.any_node())


async def _cut_nodes(soak: Soak) -> None:
    name = soak.any_node()
    others = [other for other in soak.fleet.nodes if other[0] == name[0]]
    chosen = soak.random.sample(others, 2)
    soak.fleet.cut_from_nodes(name, set(chosen) - {name})


async def _heal(soak: Soak) -> None:
    for node in soak.fleet.nodes.values():
        node.channels.heal()


async def _change_leader(soak: Soak) -> None:
    sources = [source.cfg.name for source in soak.fleet.sources]
    soak.fleet.log.leader = soak.random.choice((*sources, ''))


FAULTS: Final[tuple[Fault, ...]] = (
    _change,
    _change,
    _change,
    _restart,
    _restart,
    _cut_sources,
    _cut_nodes,
    _heal,
    _change_leader,
)


async def run_soak(seed: int, seconds: float) -> Soak:
    """Run faults for a while, heal all and wait until all converges.

    Raises:
        AssertionError: a version went down, or the fleet did not converge.
    """
    fleet = Fleet(sources=3, keepers=3)
    for domain in DOMAINS:
        for number in range(NODES):
            fleet.add_node(domain, number)
    soak = Soak(fleet, seed)
    for name in fleet.nodes:
        soak.watch(name)

    async def scenario(running: Fleet) -> None:  # noqa: WPS430
        await running.until_everywhere(0)
        await _inject(soak, seconds)
        await _converge(soak)

    await run_fleet(fleet, scenario)
    return soak


async def _inject(soak: Soak, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        await soak.random.choice(FAULTS)(soak)
        await asyncio.sleep(soak.random.uniform(0, PAUSE_SECONDS))


async def _converge(soak: Soak) -> None:
    log = soak.fleet.log
    await _heal(soak)
    log.leader = soak.fleet.sources[0].cfg.name
    await wait_until(lambda: log.state.staged is None)
    await _change(soak)
    await wait_until(lambda: log.state.staged is None)
    await soak.fleet.until_everywhere(log.state.active.version)


def main() -> None:
    """Run one soak and print what it did."""
    seed, seconds = int(sys.argv[1]), float(sys.argv[2])
    logger.remove()
    soak = asyncio.run(run_soak(seed, seconds))
    sys.stdout.write(
        f'seed {seed}: {soak.changes} changes, {soak.restarts} restarts, '
        f'highest {max(soak.highest.values())}, '
        f'{len(soak.lower)} versions went down\n'
    )


if __name__ == '__main__':
    main()
