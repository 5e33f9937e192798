"""Distribution nodes: the nodes of one failure domain, in a child process.

Reads the settings of the nodes as a JSON line, then one command a line:
`count` prints a Counts line, `quit` ends the process. A Swap line is printed
whenever a node puts a version in force. bench.distribution is the parent.
"""

import asyncio
import sys
import time
from contextlib import AsyncExitStack

from loguru import logger
from msgspec import Struct, json

from bench.distribution_fleet import NodeProcess
from medlarhoist.core.settings import NodeSettings
from medlarhoist.utils.traffic import Volume, total_octets


class Swap(Struct, frozen=True, kw_only=True, tag='swap'):
    """Report that a node has put a version in force.

    Args:
        node: name of the node.
        version: the version.
        at: time at which it came in force, in seconds since 1970.
    """

    node: str
    version: int
    at: float


class Counts(Struct, frozen=True, kw_only=True, tag='counts'):
    """Resource usage of this process and its nodes since their start.

    Args:
        octets: control bytes sent.
        messages: control messages sent.
        cpu_seconds: processor time of the process, all nodes together.
        kinds: volume sent, by kind of message.
    """

    octets: int
    messages: int
    cpu_seconds: float
    kinds: tuple[Volume, ...]


Line = Swap | Counts


def _print(line: Line) -> None:
    sys.stdout.write(f'{json.encode(line).decode()}\n')
    sys.stdout.flush()


def _print_swaps(process: NodeProcess) -> None:
    name = process.cfg.name
    process.configuration.subscribe(
        lambda compiled: _print(
            Swap(node=name, version=compiled.version, at=time.time())
        )
    )


def _count(nodes: list[NodeProcess]) -> Counts:
    volumes: list[Volume] = []
    for process in nodes:
        volumes.extend(process.channels.traffic.view().sent)
    kinds = sorted({volume.kind for volume in volumes})
    return Counts(
        octets=total_octets(tuple(volumes)),
        messages=sum(volume.messages for volume in volumes),
        cpu_seconds=time.process_time(),
        kinds=tuple(_sum_kind(kind, volumes) for kind in kinds),
    )


def _sum_kind(kind: str, volumes: list[Volume]) -> Volume:
    same = [volume for volume in volumes if volume.kind == kind]
    return Volume(
        kind=kind,
        messages=sum(volume.messages for volume in same),
        octets=sum(volume.octets for volume in same),
    )


async def _serve() -> None:
    loop = asyncio.get_running_loop()
    first = await loop.run_in_executor(None, sys.stdin.readline)
    settings = json.decode(first, type=tuple[NodeSettings, ...])
    nodes = [NodeProcess(cfg) for cfg in settings]
    async with AsyncExitStack() as stack:
        for process in nodes:
            _print_swaps(process)
            await process.start()
            stack.push_async_callback(process.stop)
        while True:
            line = await loop.run_in_executor(None, sys.stdin.readline)
            if line.strip() != 'count':
                return
            _print(_count(nodes))


def main() -> None:
    """Run the nodes until `quit` or the end of standard input."""
    logger.remove()
    asyncio.run(_serve())


if __name__ == '__main__':
    main()
