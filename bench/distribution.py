"""Distribution: measures convergence, control bytes and the source's work.

The source runs in this process with a fake log, the nodes of each failure
domain in a child process; all on loopback. Run `python -m bench.distribution`
for the table.
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
PAUSE_SECONDS: Final = 0.1


class Domain:
    """The child process of one failure domain."""

    __slots__ = ('_process', '_reader', 'counts', 'settings', 'swaps')

    def __init__(self, settings: tuple[NodeSettings, ...]) -> None:
        """Keep the settings; nothing runs yet."""
        self.counts: list[Counts] = []
        self.settings = settings
        self.swaps: list[Swap] = []

    async def start(self) -> None:
        """Start the child process."""
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
        """End the child process at once."""
        self._process.kill()
        await self._process.wait()
        await self._reader
        self.swaps.clear()

    async def stop(self) -> None:
        """End the child process."""
        if self._process.returncode is None:
            self._write(b'quit')
            await self._process.wait()
        await self._reader

    async def count(self) -> Counts:
        """Return what the nodes used so far."""
        before = len(self.counts)
        self._write(b'count')
        await wait_until(lambda: len(self.counts) > before)
        return self.counts[-1]

    def in_force_times(self, version: int) -> list[float]:
        """Return when each node put a version in force."""
        return [swap.at for swap in self.swaps if swap.version == version]

    def last_versions(self) -> dict[str, int]:
        """Return the newest version that each node put in force."""
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
    """What the system used up to one moment."""

    at: float
    node_octets: int
    node_cpu: float
    source_octets: int
    source_messages: int
    source_cpu: float


class Row(Struct, frozen=True, kw_only=True):
    """One line of the table.

    Args:
        nodes: number of nodes.
        median_ms: accepted to in force on the last node, median.
        worst_ms: the same, highest.
        staged_ms: staged to accepted, median.
        change_octets: control bytes of a node, a change, over the idle rate.
        whole_octets: bytes of one whole snapshot.
        source_messages: messages of the source, a change.
        source_octets: bytes of the source, a change.
        source_cpu_ms: processor time of the source process, a change.
        idle_octets: control bytes of an idle node, a second.
        idle_cpu: percent of a core of an idle node.
        storm_seconds: from the start of a domain that was killed until all
            of its nodes serve again.
        herd_seconds: the same, for all domains at once.
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


async def _use(fleet: Fleet, domains: list[Domain]) -> Usage:
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
        lambda: all(_is_in_force(each, version) for each in domains)
    )


def _is_in_force(domain: Domain, version: int) -> bool:
    newest = domain.last_versions()
    if len(newest) < len(domain.settings):
        return False
    return set(newest.values()) == {version}


async def _change(
    fleet: Fleet,
    domains: list[Domain],
    version: int,
) -> tuple[float, float]:
    began = time.time()
    await fleet.activate(version, ROUTES)
    accepted = fleet.log.accepted[version]
    await _until_in_force(domains, version)
    last = max(max(domain.in_force_times(version)) for domain in domains)
    return accepted - began, last - accepted


async def _restart(domains: list[Domain], version: int) -> float:
    for killed in domains:
        await killed.kill()
    began = time.monotonic()
    for restarted in domains:
        await restarted.start()
    await _until_in_force(domains, version)
    return time.monotonic() - began


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
    first, idle = await _idle(fleet, domains)
    took = await _change_often(fleet, domains)
    usage = (first, idle, await _use(fleet, domains))
    restarts = (
        await _restart(domains[:1], CHANGES + 1),
        await _restart(domains, CHANGES + 1),
    )
    return _create_row(size, took, usage, restarts)


async def _idle(fleet: Fleet, domains: list[Domain]) -> tuple[Usage, Usage]:
    first = await _use(fleet, domains)
    await asyncio.sleep(IDLE_SECONDS)
    return first, await _use(fleet, domains)


async def _change_often(
    fleet: Fleet,
    domains: list[Domain],
) -> list[tuple[float, float]]:
    took = []
    for number in range(CHANGES):
        took.append(await _change(fleet, domains, number + 2))
        await asyncio.sleep(PAUSE_SECONDS)
    return took


def _create_row(
    size: int,
    took: list[tuple[float, float]],
    usage: tuple[Usage, Usage, Usage],
    restarts: tuple[float, float],
) -> Row:
    first, idle, busy = usage
    quiet = idle.at - first.at
    share = (busy.at - idle.at) / quiet
    extra = (busy.node_octets - idle.node_octets) - share * (
        idle.node_octets - first.node_octets
    )
    whole = Stage(version=1, snapshot=create_snapshot(1, ROUTES))
    in_force = [1000 * each[1] for each in took]
    return Row(
        nodes=size,
        median_ms=statistics.median(in_force),
        worst_ms=max(in_force),
        staged_ms=statistics.median(1000 * each[0] for each in took),
        change_octets=extra / size / CHANGES,
        whole_octets=len(encode(whole)),
        source_messages=(
            (busy.source_messages - idle.source_messages)
            - share * (idle.source_messages - first.source_messages)
        )
        / CHANGES,
        source_octets=(
            (busy.source_octets - idle.source_octets)
            - share * (idle.source_octets - first.source_octets)
        )
        / CHANGES,
        source_cpu_ms=1000
        * (
            (busy.source_cpu - idle.source_cpu)
            - share * (idle.source_cpu - first.source_cpu)
        )
        / CHANGES,
        idle_octets=(idle.node_octets - first.node_octets) / size / quiet,
        idle_cpu=100 * (idle.node_cpu - first.node_cpu) / size / quiet,
        storm_seconds=restarts[0],
        herd_seconds=restarts[1],
    )


def _show(rows: list[Row]) -> None:
    for field in Row.__struct_fields__:
        numbers = [getattr(row, field) for row in rows]
        shown = ''.join(f'{number:>12.2f}' for number in numbers)
        sys.stdout.write(f'{field:<18}{shown}\n')


async def _measure_all(sizes: tuple[int, ...]) -> list[Row]:
    return [await _measure(size) for size in sizes]


def main() -> None:
    """Measure each size and print the table."""
    logger.remove()
    sizes = tuple(int(size) for size in sys.argv[1:]) or SIZES
    _show(asyncio.run(_measure_all(sizes)))


if __name__ == '__main__':
    main()
