"""Calls: measures the latency and processor time that nodes add to a call.

A call takes one of several ways: direct to the target, through one or two
nodes, or through a baseline proxy. Short blocks of calls on each way alternate
in random order, so that other load on the machine affects all ways equally.
"""

import asyncio
import os
import random
import resource
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path

import defopt
import msgspec
from hdrh.histogram import HdrHistogram

from bench.calls_node import NodeStarted
from medlarhoist.standin.load_client import LoadConnection, open_connection

RATE = 141.0
BLOCK_S = 1.0
WARM_UP_CALLS = 50
WORKERS = 16
THROUGHPUT_S = 2.0
_US = 1_000_000
_REQUEST = b'GET /seats HTTP/1.1\r\nHost: bench\r\nX-Request-Id: b\r\n\r\n'
# The event loop may wake late, so the last part of a wait is polled.
_SPIN_S = 0.003
_BASELINES = {
    'bytes': 'copied bytes',
    'net': 'circuits.net',
    'web': 'circuits.web',
}
_MAX_LATENCY_US = 10_000_000
_IMPORTS = (
    ('bare', 'pass'),
    ('asyncio', 'import asyncio'),
    ('proxy', 'import medlarhoist.node.proxy'),
)


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements of one way.

    Args:
        way: name of the way, such as `one hop`.
        calls: calls whose latency was measured.
        p50_us: median latency, microseconds.
        p99_us: 99th percentile of the latency, microseconds.
        added_p50_us: median latency minus that of direct calls, microseconds.
        added_p99_us: 99th percentile minus that of direct calls, microseconds.
        throughput: calls a second of WORKERS concurrent callers.
        node_us: processor time of all nodes and baselines per call at that
            throughput, microseconds.
    """

    way: str
    calls: int
    p50_us: int
    p99_us: int
    added_p50_us: int
    added_p99_us: int
    throughput: int
    node_us: int


class Fleet:
    """The processes of one measurement.

    Args:
        addresses: address that callers connect to, by way.
        pids: process id by name, of nodes and baselines without the target.
    """

    __slots__ = ('_processes', 'addresses', 'pids')

    def __init__(self) -> None:
        """Create a fleet without processes."""
        self._processes: list[subprocess.Popen[str]] = []
        self.addresses: dict[str, str] = {}
        self.pids: dict[str, int] = {}

    def start(self) -> None:
        """Start a target, two nodes and the baselines."""
        port = self._launch(
            'medlarhoist.standin.target',
            '--service=bookings',
            '--label=v1',
            '--work-ms=0',
            '--slots=200',
        )
        local = self.launch_node('near', f'--target-port={port}')
        remote = self.launch_node('far', f'--peer={local.peer}')
        self.addresses['direct'] = f'127.0.0.1:{port}'
        self.addresses['one hop'] = local.entry
        self.addresses['two hops'] = remote.entry
        for kind in _BASELINES:
            baseline_port = self._launch(
                'bench.calls_baselines',
                f'--kind={kind}',
                f'--target-port={port}',
            )
            self.addresses[_BASELINES[kind]] = f'127.0.0.1:{baseline_port}'
            self.pids[_BASELINES[kind]] = self._processes[-1].pid

    def stop(self) -> None:
        """Kill every process that was started."""
        for process in self._processes:
            process.kill()
            process.wait()

    def launch_node(self, name: str, *options: str) -> NodeStarted:
        """Start a node with options of bench.calls_node; return its addresses."""
        line = self._launch('bench.calls_node', f'--name={name}', *options)
        started = msgspec.json.decode(line, type=NodeStarted)
        self.pids[name] = started.pid
        return started

    def _launch(self, module: str, *options: str) -> str:
        process = subprocess.Popen(
            (sys.executable, '-m', module, *options),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._processes.append(process)
        assert process.stdout is not None
        return process.stdout.readline().strip()


async def measure_latency(
    addresses: dict[str, str],
    rate: float,
    rounds: int,
    seed: int,
) -> dict[str, HdrHistogram]:
    """Return a histogram of latencies in microseconds by way.

    Args:
        addresses: address by way.
        rate: calls a second during a block.
        rounds: blocks of BLOCK_S on each way.
        seed: seed of the order of the ways, which differs in every round.
    """
    histograms = {}
    conns = {}
    for way, address in addresses.items():
        histograms[way] = HdrHistogram(1, _MAX_LATENCY_US, 3)
        conns[way] = await _open(address)
        for _ in range(WARM_UP_CALLS):
            await conns[way].send(_REQUEST)
    ways = list(addresses)
    rng = random.Random(seed)  # noqa: S311
    for _ in range(rounds):
        rng.shuffle(ways)
        for way in ways:
            await _send_block(conns[way], rate, histograms[way])
    for conn in conns.values():
        conn.close()
    return histograms


async def _send_block(
    conn: LoadConnection,
    rate: float,
    histogram: HdrHistogram,
) -> None:
    began = time.perf_counter()
    for number in range(int(rate * BLOCK_S)):
        send_at = began + number / rate
        await asyncio.sleep(max(0, send_at - time.perf_counter() - _SPIN_S))
        while time.perf_counter() < send_at:
            await asyncio.sleep(0)
        started = time.perf_counter()
        result = await conn.send(_REQUEST)
        assert result.status == 200, result
        took_us = int((time.perf_counter() - started) * _US)
        histogram.record_value(took_us)


async def measure_throughput(address: str, seconds: float) -> int:
    """Return the calls a second of WORKERS callers that never pause."""
    done = 0
    end = time.perf_counter() + seconds

    async def send_calls() -> None:  # noqa: WPS430
        nonlocal done  # noqa: WPS420
        conn = await _open(address)
        while time.perf_counter() < end:
            result = await conn.send(_REQUEST)
            assert result.status == 200, result
            done += 1
        conn.close()

    await asyncio.gather(*(send_calls() for _ in range(WORKERS)))
    return int(done / seconds)


async def _open(address: str) -> LoadConnection:
    conn = await open_connection(address)
    assert conn is not None, address
    return conn


def read_processor_s(pids: Iterable[int]) -> float:
    """Return the total processor time of live processes, seconds."""
    ticks = 0
    for pid in pids:
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        user, system = fields.split()[11:13]
        ticks += int(user) + int(system)
    return ticks / os.sysconf('SC_CLK_TCK')


def read_rss_kb(pid: int) -> int:
    """Return the resident memory of a process, KiB."""
    return _read_memory_kb(pid, 'VmRSS')


def read_peak_rss_kb(pid: int) -> int:
    """Return the highest resident memory of a process so far, KiB."""
    return _read_memory_kb(pid, 'VmHWM')


def _read_memory_kb(pid: int, field: str) -> int:
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in status.splitlines() if field in line)
    return int(line.split()[1])


def measure_imports() -> dict[str, int]:
    """Return the resident memory of an interpreter by import, KiB."""
    rss_kb = {}
    for name, statement in _IMPORTS:
        process = subprocess.Popen(
            (sys.executable, '-c', f'{statement};print(flush=True);input()'),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert process.stdout is not None
        process.stdout.readline()
        rss_kb[name] = read_rss_kb(process.pid)
        process.kill()
        process.communicate()
    return rss_kb


async def measure(
    fleet: Fleet,
    rate: float,
    rounds: int,
    seed: int,
) -> list[Row]:
    """Return the measurements of every way, `direct` first."""
    histograms = await measure_latency(fleet.addresses, rate, rounds, seed)
    rows = []
    direct = histograms['direct']
    for way, histogram in histograms.items():
        before = read_processor_s(fleet.pids.values())
        throughput = await measure_throughput(
            fleet.addresses[way], THROUGHPUT_S
        )
        processor_s = read_processor_s(fleet.pids.values()) - before
        p50, p99 = (
            int(histogram.get_value_at_percentile(percentile))
            for percentile in (50, 99)
        )
        rows.append(
            Row(
                way=way,
                calls=int(histogram.total_count),
                p50_us=p50,
                p99_us=p99,
                added_p50_us=p50 - int(direct.get_value_at_percentile(50)),
                added_p99_us=p99 - int(direct.get_value_at_percentile(99)),
                throughput=throughput,
                node_us=int(processor_s * _US / (throughput * THROUGHPUT_S)),
            ),
        )
    return rows


def format_table(rows: list[Row]) -> str:
    """Return the rows as a plain text table with a header line."""
    lines = [
        'way             calls  p50 us  p99 us  +p50 us  +p99 us  calls/s  '
        'node us',
    ]
    for row in rows:
        lines.append(
            f'{row.way:14}  {row.calls:5}  {row.p50_us:6}  {row.p99_us:6}  '
            f'{row.added_p50_us:7}  {row.added_p99_us:7}  {row.throughput:7}  '
            f'{row.node_us:7}',
        )
    return '\n'.join(lines)


def main(*, rate: float = RATE, rounds: int = 10, seed: int = 1) -> None:
    """Measure calls on every way and print a table.

    Args:
        rate: calls a second on each way.
        rounds: blocks of one second on each way.
        seed: seed of the order of the blocks.
    """
    fleet = Fleet()
    try:  # noqa: WPS501
        fleet.start()
        rows = asyncio.run(measure(fleet, rate, rounds, seed))
        memory = {name: read_rss_kb(pid) for name, pid in fleet.pids.items()}
    finally:
        fleet.stop()
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    machine_load = os.getloadavg()[0]
    report = (
        f'{rate:g} calls/s, {rounds} blocks of {BLOCK_S:g} s, seed {seed}; '
        f'load of the machine {machine_load:.1f} on {os.cpu_count()} cores',
        format_table(rows),
        f'RSS of nodes, KiB: {memory}',
        f'RSS after imports, KiB: {measure_imports()}',
        f'processor time of all processes: {usage.ru_utime:.1f} s',
    )
    print('\n'.join(report))  # noqa: WPS421


if __name__ == '__main__':
    defopt.run(main)
