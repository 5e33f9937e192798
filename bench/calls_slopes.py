"""Calls slopes: how the resource use of a node grows with its load.

Processor time is measured over call rates, and memory over open connections of
callers. A straight line is fitted to each.
"""

import asyncio
import statistics
import time

import defopt
import msgspec

from bench.calls import Fleet, read_processor_s, read_rss_kb
from medlarhoist.standin.load import Plan, run_load
from medlarhoist.standin.load_client import LoadConnection, open_connection

RATES = (50.0, 100.0, 200.0, 400.0)
CONNECTIONS = (0, 250, 500, 1000, 2000)
LOAD_S = 3.0
SETTLE_S = 0.5
_RAW = b'GET / HTTP/1.1\r\nHost: bench\r\nX-Request-Id: b\r\n\r\n'


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A straight line through measured points.

    Args:
        name: what was measured.
        points: load and measured value of each measurement.
        slope: growth of the value per unit of load.
        start: value of the line at load zero.
        error: largest distance of a measured value from the line.
    """

    name: str
    points: tuple[tuple[float, float], ...]
    slope: float
    start: float
    error: float


def fit(name: str, points: list[tuple[float, float]]) -> Slope:
    """Return the least squares line through points (load, value)."""
    loads = [load for load, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(loads, values)
    distances = [
        abs(value - line.slope * load - line.intercept)
        for load, value in points
    ]
    return Slope(
        name=name,
        points=tuple(points),
        slope=line.slope,
        start=line.intercept,
        error=max(distances),
    )


async def measure_processor(fleet: Fleet, way: str, nodes: list[int]) -> Slope:
    """Return the line of cores used by nodes over calls a second.

    Args:
        fleet: started processes.
        way: way of the calls, a key of fleet.addresses.
        nodes: process ids of the nodes on that way.
    """
    points = []
    for rate in RATES:
        plan = Plan(
            addresses=(fleet.addresses[way],),
            rate=rate,
            seconds=LOAD_S,
        )
        before = read_processor_s(nodes)
        began = time.perf_counter()
        await run_load(plan)
        took_s = time.perf_counter() - began
        cores = (read_processor_s(nodes) - before) / took_s
        points.append((rate, round(cores, 4)))
    return fit(f'cores over calls/s, {way}', points)


async def measure_memory(fleet: Fleet) -> Slope:
    """Return the line of a node's resident KiB over open connections."""
    conns: list[LoadConnection] = []
    points = []
    for count in CONNECTIONS:
        while len(conns) < count:
            conn = await open_connection(fleet.addresses['one hop'])
            assert conn is not None
            await conn.send(_RAW)
            conns.append(conn)
        await asyncio.sleep(SETTLE_S)
        rss_kb = read_rss_kb(fleet.pids['near'])
        points.append((float(count), float(rss_kb)))
    for conn in conns:
        conn.close()
    return fit('KiB over connections', points)


async def measure(fleet: Fleet) -> list[Slope]:
    """Return the lines of processor time and memory."""
    local_node = [fleet.pids['near']]
    both_nodes = [*local_node, fleet.pids['far']]
    return [
        await measure_processor(fleet, 'one hop', local_node),
        await measure_processor(fleet, 'two hops', both_nodes),
        await measure_memory(fleet),
    ]


def main() -> None:
    """Measure the slopes of calls and print them as JSON lines."""
    fleet = Fleet()
    try:
        fleet.start()
        slopes = asyncio.run(measure(fleet))
    finally:
        fleet.stop()
    for slope in slopes:
        print(msgspec.json.encode(slope).decode())  # noqa: WPS421


if __name__ == '__main__':
    defopt.run(main)
