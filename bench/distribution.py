"""Distribution: measures convergence, control bytes and load on the source.

The source runs in this process with a fake log, the nodes of each failure
domain in a child process, all on loopback. Run `python -m bench.distribution`
for the table, with numbers of nodes as arguments to replace the default sizes.
"""

import asyncio
import statistics
import sys
import time
from contextlib import AsyncExitStack
from typing import Final

from loguru import logger
from msgspec import Struct, json

from bench.distribution_fleet import Fleet, create_snapshot, wait_until
from bench.distribution_nodes import Counts, Line, Swap
from medlarhoist.core.settings import NodeSettings
from medlarhoist.utils.traffic import total_octets
from medlarhoist.wire.codec import encode
from medlarhoist.wire.message import Stage

DOMAINS: Final = ('a', 'b', 'c')
SIZES: Final = (6, 24, 60)
CHANGES: Final = 20
ROUTES: Final = 500
IDLE_SECONDS: Final = 6.0
SETTLE_SECONDS: Final = 35.0
CHANGE_INTERVAL_SECONDS: Final = 0.1


class Domain:
    """The child process that runs the nodes of one failure domain.

    Attributes:
        counts: the Counts lines received.
        settings: settings of the nodes.
        swaps: the Swap lines received since the last kill.
    """

    __slots__ = ('_process', '_reader', 'counts', 'settings', 'swaps')

    def __init__(self, settings: tuple[NodeSettings, ...]) -> None:
        """Store the settings; nothing runs before start."""
        self.counts: list[Counts] = []
        self.settings = settings
        self.swaps: list[Swap] = []

    async def start(self) -> None:
        """Start the child process with its nodes."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.distribution_nodes',
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._write(json.encode(self.settings))
        self._reader = asyncio.ensure_future(self._read())

    async def kill(self) -> None:
        """Kill the child process and discard its swaps."""
        self._process.kill()
        await self._process.wait()
        await self._reader
        self.swaps.clear()

    async def stop(self) -> None:
        """Ask the child process to quit, if it runs, and wait for its end."""
        if self._process.returncode is None:
            self._write(b'quit')
            await self._process.wait()
        await self._reader

    async def count(self) -> Counts:
        """Return the resource usage of the child process since its start."""
        before = len(self.counts)
        self._write(b'count')
        await wait_until(lambda: len(self.counts) > before)
        return self.counts[-1]

    def in_force_times(self, version: int) -> list[float]:
        """Return when each node put a version in force, seconds since 1970."""
        return [swap.at for swap in self.swaps if swap.version == version]

    def last_versions(self) -> dict[str, int]:
        """Return the version in force at each node that has one."""
        return {swap.node: swap.version for swap in self.swaps}

    def _write(self, line: bytes) -> None:
        stdin = self._process.stdin
        if stdin is not None:
            stdin.write(b'%s\n' % line)

    async def _read(self) -> None:
        stdout = self._process.stdout
        while stdout is not None:
            line = await stdout.readline()
            if not line:
                return
            decoded: Line = json.decode(line, type=Line)  # type: ignore[arg-type]
            if isinstance(decoded, Swap):
                self.swaps.append(decoded)
            else:
                self.counts.append(decoded)


class Usage(Struct, frozen=True, kw_only=True):
    """Cumulative resource usage of all processes at one time.

    Args:
        at: monotonic time, in seconds.
        node_octets: control bytes sent by all nodes.
        node_cpu: processor time of all nodes, in seconds.
        source_octets: control bytes sent by the source.
        source_messages: control messages sent by the source.
        source_cpu: processor time of the source process, in seconds.
    """

    at: float
    node_octets: int
    node_cpu: float
    source_octets: int
    source_messages: int
    source_cpu: float


class Row(Struct, frozen=True, kw_only=True):
    """Results for one number of nodes: a column of the table.

    Costs of a change exclude what the idle system uses in the same time.

    Args:
        nodes: number of nodes.
        median_ms: time from the activation of a version until it is in force
            at the last node, median of the changes.
        worst_ms: the same, maximum.
        staged_ms: time from staging to activation, median.
        change_octets: control bytes that a node sends per change.
        whole_octets: encoded length of a Stage message with a full snapshot.
        source_messages: messages that the source sends per change.
        source_octets: bytes that the source sends per change.
        source_cpu_ms: processor time of the source process per change.
        idle_octets: control bytes that an idle node sends per second.
        idle_cpu: processor time of an idle node, in percent of a core.
        storm_seconds: time from the restart of one killed domain until the
            version is in force at all nodes again.
        herd_seconds: the same, with all domains killed and restarted.
    """

    nodes: int
    median_ms: float
    worst_ms: float
    staged_ms: float
    change_octets: float
    whole_octets: int
    source_messages: float
    source_octets: float
    source_cpu_ms: float
    idle_octets: float
    idle_cpu: float
    storm_seconds: float
    herd_seconds: float


async def _read_usage(fleet: Fleet, domains: list[Domain]) -> Usage:
    counts = [await domain.count() for domain in domains]
    sent = fleet.sources[0].distributor.traffic.view().sent
    return Usage(
        at=time.monotonic(),
        node_octets=sum(count.octets for count in counts),
        node_cpu=sum(count.cpu_seconds for count in counts),
        source_octets=total_octets(sent),
        source_messages=sum(volume.messages for volume in sent),
        source_cpu=time.process_time(),
    )


async def _until_in_force(domains: list[Domain], version: int) -> None:
    await wait_until(
        lambda: all(_is_in_force(domain, version) for domain in domains)
    )


def _is_in_force(domain: Domain, version: int) -> bool:
    versions = domain.last_versions()
    if len(versions) < len(domain.settings):
        return False
    return set(versions.values()) == {version}


async def _change(
    fleet: Fleet,
    domains: list[Domain],
    version: int,
) -> tuple[float, float]:
    started = time.time()
    await fleet.activate(version, ROUTES)
    accepted = fleet.log.accepted[version]
    await _until_in_force(domains, version)
    last = max(max(domain.in_force_times(version)) for domain in domains)
    return accepted - started, last - accepted


async def _restart(domains: list[Domain], version: int) -> float:
    for killed in domains:
        await killed.kill()
    started = time.monotonic()
    for restarted in domains:
        await restarted.start()
    await _until_in_force(domains, version)
    return time.monotonic() - started


async def _measure(size: int) -> Row:
    fleet = Fleet(sources=1, keepers=3)
    for number in range(size):
        fleet.add_node(DOMAINS[number % len(DOMAINS)], number)
    domains = [
        Domain(
            tuple(
                node.cfg
                for node in fleet.nodes.values()
                if node.cfg.domain == domain
            )
        )
        for domain in DOMAINS
    ]
    fleet.nodes.clear()
    async with AsyncExitStack() as stack:
        await fleet.start()
        stack.push_async_callback(fleet.stop)
        for domain in domains:
            await domain.start()
            stack.push_async_callback(domain.stop)
        return await _measure_fleet(fleet, domains, size)


async def _measure_fleet(
    fleet: Fleet,
    domains: list[Domain],
    size: int,
) -> Row:
    await _until_in_force(domains, 0)
    await _change(fleet, domains, 1)
    await asyncio.sleep(SETTLE_SECONDS)
    start, idle = await _measure_idle(fleet, domains)
    durations = await _change_repeatedly(fleet, domains)
    usage = (start, idle, await _read_usage(fleet, domains))
    restarts = (
        await _restart(domains[:1], CHANGES + 1),
        await _restart(domains, CHANGES + 1),
    )
    return _create_row(size, durations, usage, restarts)


async def _measure_idle(
    fleet: Fleet, domains: list[Domain]
) -> tuple[Usage, Usage]:
    start = await _read_usage(fleet, domains)
    await asyncio.sleep(IDLE_SECONDS)
    return start, await _read_usage(fleet, domains)


async def _change_repeatedly(
    fleet: Fleet,
    domains: list[Domain],
) -> list[tuple[float, float]]:
    durations = []
    for number in range(CHANGES):
        durations.append(await _change(fleet, domains, number + 2))
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    return durations


def _create_row(
    size: int,
    durations: list[tuple[float, float]],
    usage: tuple[Usage, Usage, Usage],
    restarts: tuple[float, float],
) -> Row:
    start, idle, end = usage
    idle_seconds = idle.at - start.at
    idle_ratio = (end.at - idle.at) / idle_seconds
    change_octets = (end.node_octets - idle.node_octets) - idle_ratio * (
        idle.node_octets - start.node_octets
    )
    full = Stage(version=1, snapshot=create_snapshot(1, ROUTES))
    in_force = [1000 * change[1] for change in durations]
    return Row(
        nodes=size,
        median_ms=statistics.median(in_force),
        worst_ms=max(in_force),
        staged_ms=statistics.median(1000 * change[0] for change in durations),
        change_octets=change_octets / size / CHANGES,
        whole_octets=len(encode(full)),
        source_messages=(
            (end.source_messages - idle.source_messages)
            - idle_ratio * (idle.source_messages - start.source_messages)
        )
        / CHANGES,
        source_octets=(
            (end.source_octets - idle.source_octets)
            - idle_ratio * (idle.source_octets - start.source_octets)
        )
        / CHANGES,
        source_cpu_ms=1000
        * (
            (end.source_cpu - idle.source_cpu)
            - idle_ratio * (idle.source_cpu - start.source_cpu)
        )
        / CHANGES,
        idle_octets=(idle.node_octets - start.node_octets)
        / size
        / idle_seconds,
        idle_cpu=100 * (idle.node_cpu - start.node_cpu) / size / idle_seconds,
        storm_seconds=restarts[0],
        herd_seconds=restarts[1],
    )


def _print_table(rows: list[Row]) -> None:
    for field in Row.__struct_fields__:
        numbers = [getattr(row, field) for row in rows]
        columns = ''.join(f'{number:>12.2f}' for number in numbers)
        sys.stdout.write(f'{field:<18}{columns}\n')


async def _measure_all(sizes: tuple[int, ...]) -> list[Row]:
    return [await _measure(size) for size in sizes]


def main() -> None:
    """Measure each number of nodes and print the table."""
    logger.remove()
    sizes = tuple(int(size) for size in sys.argv[1:]) or SIZES
    _print_table(asyncio.run(_measure_all(sizes)))


if __name__ == '__main__':
    main()
