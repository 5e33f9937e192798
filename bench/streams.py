"""Streams: measures the memory of nodes while long bodies pass through them.

Many callers at once send bodies to a target that reads slowly, or call a
target that sends bytes without end. The calls pass two nodes, which are
processes; callers and targets run in the process of the bench.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import defopt
import msgspec

from bench.calls import Fleet, read_peak_rss_kb, read_rss_kb
from medlarhoist.standin.load_client import Result, open_connection

PIECE_BYTES = 65_536
STALL_S = 2.0
TIMEOUT_S = 60.0
_HEAD_END = b'\r\n\r\n'
_OK = b'HTTP/1.1 200 OK\r\n'
_DONE = b'%bContent-Length: 4\r\n\r\ndone' % _OK

_Handle = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements of one case.

    Args:
        case: name of the case.
        statuses: number of calls by status, zero for a reset connection.
        seconds: until the last call had ended.
        idle_kb: resident memory of each node before the calls, KiB.
        peak_kb: highest resident memory of each node, KiB.
    """

    case: str
    statuses: dict[int, int]
    seconds: float
    idle_kb: dict[str, int]
    peak_kb: dict[str, int]


async def _read_and_answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    head = await reader.readuntil(_HEAD_END)
    size = int(head.lower().partition(b'content-length:')[2].split()[0])
    while size > 0:
        piece = await reader.read(PIECE_BYTES)
        if not piece:
            return
        size -= len(piece)
    writer.write(_DONE)
    await writer.drain()


async def _stall_then_answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.sleep(STALL_S)
    await _read_and_answer(reader, writer)


def _send_endlessly(start: bytes, block: bytes) -> _Handle:
    """Return a target that sends a block again and again until it is closed."""

    async def handle(  # noqa: WPS430
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(_HEAD_END)
        writer.write(start)
        while True:
            writer.write(block)
            await writer.drain()

    return handle


_BLOCK = b'a' * 4096
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % _OK
CASES: dict[str, tuple[_Handle, bool]] = {
    'uploads': (_read_and_answer, True),
    'uploads, target stalls': (_stall_then_answer, True),
    'endless header line': (_send_endlessly(b'%bX: ' % _OK, _BLOCK), False),
    'endless trailer line': (
        _send_endlessly(b'%b0\r\nX: ' % _CHUNKED, _BLOCK),
        False,
    ),
    'endless body, no length': (
        _send_endlessly(b'%b\r\n' % _OK, _BLOCK),
        False,
    ),
}


async def measure(name: str, callers: int, size: int) -> Row:
    """Start two nodes and return the measurements of one case.

    Args:
        name: a key of CASES.
        callers: number of calls at once.
        size: size of each body, bytes.
    """
    handle, is_upload = CASES[name]

    async def serve(  # noqa: WPS430
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    fleet = Fleet()
    try:  # noqa: WPS501
        near = fleet.launch_node(
            'near', f'--target-port={port}', f'--slots={callers}'
        )
        far = fleet.launch_node(
            'far', f'--peer={near.peer}', f'--slots={callers}'
        )
        return await _measure_calls(
            name,
            fleet,
            far.entry,
            _build_calls(callers, size if is_upload else 0),
        )
    finally:
        fleet.stop()
        server.close()


def _build_calls(callers: int, size: int) -> list[bytes]:
    method = 'POST' if size else 'GET'
    lines = (f'{method} /seats HTTP/1.1', 'Host: x', f'Content-Length: {size}')
    raw = '\r\n'.join((*lines, '', '')).encode() + bytes(size)
    return [raw] * callers


async def _measure_calls(
    name: str,
    fleet: Fleet,
    address: str,
    calls: list[bytes],
) -> Row:
    idle_kb = {node: read_rss_kb(pid) for node, pid in fleet.pids.items()}
    began = time.monotonic()
    results = await asyncio.gather(*(_send(address, raw) for raw in calls))
    return Row(
        case=name,
        statuses=dict(Counter(result.status for result in results)),
        seconds=round(time.monotonic() - began, 2),
        idle_kb=idle_kb,
        peak_kb={
            node: read_peak_rss_kb(pid) for node, pid in fleet.pids.items()
        },
    )


async def _send(address: str, raw: bytes) -> Result:
    conn = await open_connection(address)
    assert conn is not None, address
    async with asyncio.timeout(TIMEOUT_S):
        return await conn.send(raw)


def main(*, callers: int = 100, size: int = 5_000_000) -> None:
    """Measure every case and print a line for each.

    Args:
        callers: number of calls at once.
        size: size of the body of an upload, bytes.
    """
    for name in CASES:
        row = asyncio.run(measure(name, callers, size))
        print(  # noqa: WPS421
            f'{row.case:24} {row.seconds:6} s  statuses {row.statuses}  '
            f'idle KiB {row.idle_kb}  peak KiB {row.peak_kb}',
        )


if __name__ == '__main__':
    defopt.run(main)
