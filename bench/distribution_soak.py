"""Distribution soak: random restarts, partitions and changes, from a seed.

Run `python -m bench.distribution_soak SEED SECONDS`. A node must never put a
lower version in force than before, even across its restarts, and all nodes
must converge on the newest version once all partitions are healed. Runs of
targets leave meanwhile; then, a late notice must not bring one of them back.
How long a node was behind a member that it can connect to is measured.
"""

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from random import Random
from typing import Final

from loguru import logger

from bench.calls_static import create_notice
from bench.distribution_fleet import (
    Fleet,
    NodeProcess,
    run_fleet,
    wait_until,
)
from medlarhoist.core.target import TargetNotice, TargetPhase

DOMAINS: Final = ('a', 'b')
NODES: Final = 5
MAX_PAUSE_SECONDS: Final = 0.3
SAMPLE_SECONDS: Final = 0.05
BORN_MS: Final = 1_700_000_000_000
# A notice may be late by seconds.
MAX_LATE_SECONDS: Final = 30.0
# A node that was disturbed has this time to learn of withdrawals.
CONTACT_SECONDS: Final = 3.0
Fault = Callable[['Soak'], Awaitable[None]]


class Soak:
    """A fleet under random faults, and the versions that its nodes served.

    Attributes:
        changes: number of versions staged.
        last_versions: last version that each node put in force.
        longest_behind: longest time for which a node was behind a member of
            its domain that it can connect to, seconds.
        left: node, time and notice of each run that has left.
        regressions: descriptions of the cases in which a node went back to a
            lower version; empty if the fleet is correct.
        restarts: number of nodes restarted.
        returned: nodes that use a run that has left; empty if the fleet is
            correct.
    """

    __slots__ = (
        'changes',
        'fleet',
        'last_versions',
        'left',
        'longest_behind',
        'random',
        'regressions',
        'restarts',
        'returned',
    )

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Prepare a soak; the seed determines the faults and pauses."""
        self.changes = 0
        self.fleet = fleet
        self.last_versions: dict[str, int] = {}
        self.left: list[tuple[str, float, TargetNotice]] = []
        self.longest_behind: float = 0
        self.regressions: list[str] = []
        self.returned: list[str] = []
        self.random = Random(seed)
        self.restarts = 0

    def watch(self, name: str) -> None:
        """Check each version that a node puts in force from now on.

        A version lower than the node's previous one is added to
        `regressions`. A replaced node must be watched anew.
        """
        node = self.fleet.nodes[name]
        node.configuration.subscribe(
            lambda compiled: self._record(name, compiled.version)
        )

    def random_node(self) -> str:
        """Return the name of a random node."""
        return self.random.choice(sorted(self.fleet.nodes))

    def _record(self, name: str, version: int) -> None:
        before = self.last_versions.get(name, 0)
        if version < before:
            self.regressions.append(f'{name} from {before} to {version}')
        self.last_versions[name] = version


async def _measure_behind(soak: Soak) -> None:
    behind: dict[tuple[str, str], float] = {}
    while True:
        await asyncio.sleep(SAMPLE_SECONDS)
        now = time.monotonic()
        behind = {pair: behind.get(pair, now) for pair in _list_behind(soak)}
        since = min(behind.values(), default=now)
        soak.longest_behind = max(soak.longest_behind, now - since)


def _list_behind(soak: Soak) -> Iterator[tuple[str, str]]:
    """Yield each node with each member that it is behind and can reach."""
    for name, node in soak.fleet.nodes.items():
        for other_name, other in soak.fleet.nodes.items():
            if _is_behind(node, other):
                yield name, other_name


def _is_behind(node: NodeProcess, other: NodeProcess) -> bool:
    """Return whether a node has an older version than a member it can reach.

    False where it has none, as it has just started.
    """
    if node.version is None or other.cfg.domain != node.cfg.domain:
        return False
    if node.channels.is_blocked(other.cfg.control):
        return False
    return (other.version or 0) > node.version


async def _change(soak: Soak) -> None:
    if soak.fleet.log.state.staged is None:
        soak.changes += 1
        version = soak.fleet.log.state.last_version + 1
        soak.fleet.stage(version)


async def _restart(soak: Soak) -> None:
    name = soak.random_node()
    soak.restarts += 1
    await soak.fleet.nodes[name].stop()
    node = soak.fleet.replace_node(name)
    soak.watch(name)
    await node.start()


async def _leave(soak: Soak) -> None:
    name = soak.random_node()
    number = len(soak.left)
    notice = create_notice(f'i-{number}', BORN_MS + number)
    registration = soak.fleet.nodes[name].registration
    await registration.accept(notice)
    await registration.accept_leave(notice.run_id, notice.born_ms)
    soak.left.append((name, time.monotonic(), notice))


async def _partition_from_sources(soak: Soak) -> None:
    soak.fleet.partition_from_sources(soak.random_node())


async def _partition_from_nodes(soak: Soak) -> None:
    name = soak.random_node()
    others = [other for other in soak.fleet.nodes if other[0] == name[0]]
    selected = soak.random.sample(others, 2)
    soak.fleet.partition_from_nodes(name, set(selected) - {name})


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
    _leave,
    _partition_from_sources,
    _partition_from_nodes,
    _heal,
    _change_leader,
)


async def run_soak(seed: int, seconds: float) -> Soak:
    """Inject faults, heal all partitions and wait until the nodes converge.

    The fleet has two failure domains of five nodes and three sources.

    Args:
        seed: seed of the faults and pauses.
        seconds: how long faults are injected.

    Returns:
        The finished soak; the caller checks its regressions.

    Raises:
        AssertionError: the fleet did not converge.
    """
    fleet = Fleet(sources=3, keepers=3)
    for domain in DOMAINS:
        for number in range(NODES):
            fleet.add_node(domain, number)
    soak = Soak(fleet, seed)
    for name in fleet.nodes:
        soak.watch(name)

    async def scenario(running: Fleet) -> None:  # noqa: WPS430
        await running.wait_until_in_force(0)
        measuring = asyncio.ensure_future(_measure_behind(soak))
        await _inject(soak, seconds)
        measuring.cancel()
        await _converge(soak)
        await _deliver_late_notices(soak)

    await run_fleet(fleet, scenario)
    return soak


async def _inject(soak: Soak, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        await soak.random.choice(FAULTS)(soak)
        await asyncio.sleep(soak.random.uniform(0, MAX_PAUSE_SECONDS))


async def _converge(soak: Soak) -> None:
    log = soak.fleet.log
    await _heal(soak)
    log.leader = soak.fleet.sources[0].cfg.name
    await wait_until(lambda: log.state.staged is None)
    await _change(soak)
    await wait_until(lambda: log.state.staged is None)
    await soak.fleet.wait_until_in_force(log.state.active.version)


async def _deliver_late_notices(soak: Soak) -> None:
    """Deliver notices of runs that have left, and record those in use."""
    await asyncio.sleep(CONTACT_SECONDS)
    nodes = soak.fleet.nodes
    for left_name, left_at, notice in soak.left:
        if time.monotonic() - left_at < MAX_LATE_SECONDS:
            await nodes[left_name].registration.accept(notice)
    soak.returned = [
        name
        for name, node in nodes.items()
        for target in node.registry.local_targets()
        if target.phase is TargetPhase.READY
    ]


def main() -> None:
    """Run one soak and print its counts."""
    seed, seconds = int(sys.argv[1]), float(sys.argv[2])
    logger.remove()
    soak = asyncio.run(run_soak(seed, seconds))
    sys.stdout.write(
        f'seed {seed}: {soak.changes} changes, {soak.restarts} restarts, '
        f'highest {max(soak.last_versions.values())}, '
        f'{len(soak.regressions)} versions went down, '
        f'{len(soak.left)} runs left, {len(soak.returned)} came back, '
        f'longest behind {soak.longest_behind:.2f} s\n'
    )


if __name__ == '__main__':
    main()
