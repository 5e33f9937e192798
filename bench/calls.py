"""Calls: measures what nodes add to a call, against going direct.

The ways take turns in short blocks of one run, so that whatever else the
machine does falls on all of them alike.
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

from bench.calls_node import Started
from medlarhoist.standin.load_client import LoadConnection, open_connection

RATE = 141.0
BLOCK_S = 1.0
WARM_UP_CALLS = 50
WORKERS = 16
LOAD_S = 2.0
_US = 1_000_000
_RAW = b'GET /seats HTTP/1.1\r\nHost: bench\r\nX-Request-Id: b\r\n\r\n'
_SPIN_S = 0.003
_COMPARED = {
    'bytes': 'copied bytes',
    'net': 'circuits.net',
    'web': 'circuits.web',
}
_LONGEST_US = 10_000_000
_IMPORTS = (
    ('bare', 'pass'),
    ('asyncio', 'import asyncio'),
    ('proxy', 'import medlarhoist.node.proxy'),
)


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one way.

    Args:
        way: how the call went.
        calls: calls measured.
        p50_us: median latency, microseconds.
        p99_us: 99th percentile, microseconds.
        added_p50_us: above direct.
        added_p99_us: above direct.
        throughput: calls a second of many callers, zero where not run.
        node_us: processor time of the processes in between for each call at
            that throughput, microseconds.
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
    """The processes of one run.

    Args:
        addresses: address by way.
        pids: process by name, of those in between.
    """

    __slots__ = ('_processes', 'addresses', 'pids')

    def __init__(self) -> None:
        """Start with none."""
        self._processes: list[subprocess.Popen[str]] = []
        self.addresses: dict[str, str] = {}
        self.pids: dict[str, int] = {}

    def start(self) -> None:
        """Start a target, two nodes and the ways for comparison."""
        port = self._launch(
            'medlarhoist.standin.target',
            '--service=bookings',
            '--label=v1',
            '--work-ms=0',
            '--slots=200',
        )
        near = self._launch_node('near', f'--target-port={port}')
        far = self._launch_node('far', f'--peer={near.peer}')
        self.addresses['direct'] = f'127.0.0.1:{port}'
        self.addresses['one hop'] = near.entry
        self.addresses['two hops'] = far.entry
        for kind in _COMPARED:
            told = self._launch(
                'bench.calls_baselines',
                f'--kind={kind}',
                f'--target-port={port}',
            )
            self.addresses[_COMPARED[kind]] = f'127.0.0.1:{told}'
            self.pids[_COMPARED[kind]] = self._processes[-1].pid

    def stop(self) -> None:
        """End every process that was started."""
        for process in self._processes:
            process.kill()
            process.wait()

    def _launch_node(self, name: str, *options: str) -> Started:
        told = self._launch('bench.calls_node', f'--name={name}', *options)
        started = msgspec.json.decode(told, type=Started)
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
    """Return a histogram of microseconds by way; the ways take turns."""
    histograms = {}
    conns = {}
    for way, address in addresses.items():
        histograms[way] = HdrHistogram(1, _LONGEST_US, 3)
        conns[way] = await _open(address)
        for _ in range(WARM_UP_CALLS):
            await conns[way].send(_RAW)
    order = list(addresses)
    draw = random.Random(seed)  # noqa: S311
    for _ in range(rounds):
        draw.shuffle(order)
        for way in order:
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
        due = began + number / rate
        await asyncio.sleep(max(0, due - time.perf_counter() - _SPIN_S))
        while time.perf_counter() < due:
            await asyncio.sleep(0)
        started = time.perf_counter()
        result = await conn.send(_RAW)
        assert result.status == 200, result
        took = int((time.perf_counter() - started) * _US)
        histogram.record_value(took)


async def measure_throughput(address: str, seconds: float) -> int:
    """Return the calls a second that many callers in a row get."""
    done = 0
    limit = time.perf_counter() + seconds

    async def work() -> None:  # noqa: WPS430
        nonlocal done  # noqa: WPS420
        conn = await _open(address)
        while time.perf_counter() < limit:
            result = await conn.send(_RAW)
            assert result.status == 200, result
            done += 1
        conn.close()

    await asyncio.gather(*(work() for _ in range(WORKERS)))
    return int(done / seconds)


async def _open(address: str) -> LoadConnection:
    conn = await open_connection(address)
    assert conn is not None, address
    return conn


def read_processor_s(pids: Iterable[int]) -> float:
    """Return the processor time that processes have used, seconds."""
    ticks = 0
    for pid in pids:
        fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        user, system = fields.split()[11:13]
        ticks += int(user) + int(system)
    return ticks / os.sysconf('SC_CLK_TCK')


def read_rss_kb(pid: int) -> int:
    """Return the resident memory of a process, KiB."""
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in status.splitlines() if 'VmRSS' in line)
    return int(line.split()[1])


def measure_imports() -> dict[str, int]:
    """Return the resident memory after imports, KiB."""
    found = {}
    for name, statement in _IMPORTS:
        process = subprocess.Popen(
            (sys.executable, '-c', f'{statement};print(flush=True);input()'),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert process.stdout is not None
        process.stdout.readline()
        found[name] = read_rss_kb(process.pid)
        process.kill()
        process.communicate()
    return found


async def measure(
    fleet: Fleet,
    rate: float,
    rounds: int,
    seed: int,
) -> list[Row]:
    """Return the rows of the table."""
    found = await measure_latency(fleet.addresses, rate, rounds, seed)
    rows = []
    base = found['direct']
    for way, histogram in found.items():
        before = read_processor_s(fleet.pids.values())
        throughput = await measure_throughput(fleet.addresses[way], LOAD_S)
        spent_s = read_processor_s(fleet.pids.values()) - before
        p50, p99 = (
            int(histogram.get_value_at_percentile(part)) for part in (50, 99)
        )
        rows.append(
            Row(
                way=way,
                calls=int(histogram.total_count),
                p50_us=p50,
                p99_us=p99,
                added_p50_us=p50 - int(base.get_value_at_percentile(50)),
                added_p99_us=p99 - int(base.get_value_at_percentile(99)),
                throughput=throughput,
                node_us=int(spent_s * _US / (throughput * LOAD_S)),
            ),
        )
    return rows


def write_table(rows: list[Row]) -> str:
    """Return the rows as a table."""
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
    """Measure the calls' path and print a table.

    Args:
        rate: calls a second on each way.
        rounds: blocks of one second on each way.
        seed: order of the blocks.
    """
    fleet = Fleet()
    try:  # noqa: WPS501
        fleet.start()
        rows = asyncio.run(measure(fleet, rate, rounds, seed))
        memory = {name: read_rss_kb(pid) for name, pid in fleet.pids.items()}
    finally:
        fleet.stop()
    spent = resource.getrusage(resource.RUSAGE_CHILDREN)
    busy = os.getloadavg()[0]
    report = (
        f'{rate:g} calls/s, {rounds} blocks of {BLOCK_S:g} s, seed {seed}; '
        f'load of the machine {busy:.1f} on {os.cpu_count()} cores',
        write_table(rows),
        f'RSS of nodes, KiB: {memory}',
        f'RSS after imports, KiB: {measure_imports()}',
        f'processor time of all processes: {spent.ru_utime:.1f} s',
    )
    print('\n'.join(report))  # noqa: WPS421


if __name__ == '__main__':
    defopt.run(main)
