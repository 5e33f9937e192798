"""Slope processes: measures real processes, idle and while changes arrive.

One source and one failure domain of several sizes, on loopback.
"""

import os
import shutil
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any, Final

from msgspec import Struct

from bench.fleet import Fleet, create_fleet, wait_until
from bench.operator import (
    base_resources,
    create_operator,
    find_leader,
    is_in_force_everywhere,
    put,
    read_dump,
)
from bench.slopes import Point, Slope, fit
from medlarhoist.core.resource import Route

SIZES: Final = (4, 8, 16, 24)
READY_SECONDS: Final = 60
IDLE_SECONDS: Final = 10
CHANGES: Final = 20
KEEPERS: Final = 3
TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
USER_FIELD: Final = 11
SYSTEM_FIELD: Final = 12


class Usage(Struct, frozen=True, kw_only=True):
    """Cumulative resource usage of one process.

    Args:
        processor_seconds: processor time.
        octets: control bytes sent.
    """

    processor_seconds: float
    octets: float


class Cost(Struct, frozen=True, kw_only=True):
    """Costs for one number of nodes, means over the nodes.

    Args:
        idle_percent: processor time of an idle node, in percent of a core.
        idle_octets: control bytes sent by an idle node per second.
        change_octets: control bytes sent by a node per change, in addition to
            the idle rate.
        source_ms: processor time of the source per change, idle time included.
        source_octets: bytes sent by the source per change, idle traffic
            included.
        resident_kb: resident memory of a node, in kilobytes.
        converge_ms: time from the outcome of a change until it is in force
            at all nodes, median.
    """

    idle_percent: float
    idle_octets: float
    change_octets: float
    source_ms: float
    source_octets: float
    resident_kb: float
    converge_ms: float


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / TICKS_PER_SECOND


def resident_kb(pid: int) -> float:
    """Return the resident memory of a process in kilobytes, 0 if unknown."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return float(line.split()[1])
    return 0


def _sent(view: dict[str, Any]) -> float:
    return float(sum(row['octets'] for row in view['sent']))


def _read_usage(fleet: Fleet, name: str) -> Usage:
    pid = fleet.processes[name].pid
    if name in fleet.nodes:
        view = read_dump(fleet.nodes[name].admin)['distribution']
    else:
        view = read_dump(fleet.sources[name].admin)['distributor']
    return Usage(
        processor_seconds=processor_seconds(pid),
        octets=_sent(view['traffic']),
    )


def _mean(numbers: list[float]) -> float:
    return sum(numbers) / len(numbers)


def _change_all(fleet: Fleet) -> float:
    """Make changes one after another and return the median of their times.

    In milliseconds, from the outcome of a change until it is in force.
    """
    client = create_operator(fleet)
    times = []
    for number in range(CHANGES):
        route = Route(
            name='seats',
            prefix='/seats',
            service='bookings',
            idempotent=True,
            timeout_ms=1000 + number,
        )
        outcome = put(client, f'slope-{number:04}', route)
        accepted = time.monotonic()
        if outcome is None:
            raise RuntimeError('the outcome of a change is unknown')
        wait_until(
            partial(is_in_force_everywhere, fleet, outcome.version),
            READY_SECONDS,
        )
        times.append(time.monotonic() - accepted)
    return sorted(times)[len(times) // 2] * 1000


def _start(fleet: Fleet, nodes: int) -> None:
    fleet.plan_sources(('a',))
    for number in range(nodes):
        fleet.plan_node(f'a{number}', 'a')
    fleet.start_source('s1')
    wait_until(lambda: bool(find_leader(fleet)), READY_SECONDS)
    for name in fleet.nodes:
        fleet.start_node(name)
    client = create_operator(fleet)
    wait_until(lambda: is_in_force_everywhere(fleet, 0), READY_SECONDS)
    outcome = put(client, 'base-resources', *base_resources('v1', 'v2'))
    version = outcome.version if outcome else 0
    if not wait_until(
        lambda: is_in_force_everywhere(fleet, version), READY_SECONDS
    ):
        raise RuntimeError(
            'the nodes did not put the base configuration in force'
        )


def measure_size(nodes: int) -> Cost:
    """Return the costs of one failure domain with a number of nodes."""
    fleet = create_fleet()
    try:
        _start(fleet, nodes)
        return _measure_started(fleet)
    finally:
        fleet.close()
        shutil.rmtree(fleet.folder)


def _measure_started(fleet: Fleet) -> Cost:
    start = _read_all_usage(fleet)
    time.sleep(IDLE_SECONDS)
    idle = _read_all_usage(fleet)
    started = time.monotonic()
    converge_ms = _change_all(fleet)
    seconds = time.monotonic() - started
    end = _read_all_usage(fleet)
    idle_usage = _mean_difference(fleet, start, idle)
    change_usage = _mean_difference(fleet, idle, end)
    idle_octets = idle_usage.octets / IDLE_SECONDS
    change_octets = change_usage.octets - idle_octets * seconds
    source_seconds = _processor_difference('s1', idle, end)
    pids = [fleet.processes[name].pid for name in fleet.nodes]
    return Cost(
        idle_percent=idle_usage.processor_seconds / IDLE_SECONDS * 100,
        idle_octets=idle_octets,
        change_octets=max(change_octets, 0) / CHANGES,
        source_ms=source_seconds * 1000 / CHANGES,
        source_octets=(end['s1'].octets - idle['s1'].octets) / CHANGES,
        resident_kb=_mean([resident_kb(pid) for pid in pids]),
        converge_ms=converge_ms,
    )


def _read_all_usage(fleet: Fleet) -> dict[str, Usage]:
    return {name: _read_usage(fleet, name) for name in (*fleet.nodes, 's1')}


def _processor_difference(
    name: str,
    before: dict[str, Usage],
    after: dict[str, Usage],
) -> float:
    return after[name].processor_seconds - before[name].processor_seconds


def _mean_difference(
    fleet: Fleet,
    before: dict[str, Usage],
    after: dict[str, Usage],
) -> Usage:
    """Return the mean usage of a node between two readings."""
    names = tuple(fleet.nodes)
    return Usage(
        processor_seconds=_mean(
            [_processor_difference(name, before, after) for name in names]
        ),
        octets=_mean(
            [after[name].octets - before[name].octets for name in names]
        ),
    )


def measure_processes() -> tuple[Slope, ...]:
    """Measure all sizes, print each cost and fit it to the number of nodes."""
    costs = {size: measure_size(size) for size in SIZES}
    rows = (
        ('idle node processor', '% core', 'idle_percent'),
        ('idle node bytes', 'B/s', 'idle_octets'),
        ('node bytes a change', 'B', 'change_octets'),
        ('source processor a change', 'ms', 'source_ms'),
        ('source bytes a change', 'B', 'source_octets'),
        ('node resident memory', 'KB', 'resident_kb'),
        ('convergence', 'ms', 'converge_ms'),
    )
    slopes = []
    for name, unit, field in rows:
        points = tuple(
            Point(size=size, value=getattr(cost, field))
            for size, cost in costs.items()
        )
        slope = fit(name, 'node', unit, points)
        values = ', '.join(f'{point.value:.2f}' for point in points)
        sys.stdout.write(f'{name:28} {values} {unit}\n')
        slopes.append(slope)
    return tuple(slopes)
