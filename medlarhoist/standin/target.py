"""Stand-in for a target of a service, for tests and the demo.

It announces itself to the node on its VM, is not ready before a cold start has
passed, runs a bounded number of concurrent requests and sheds the rest,
respects deadlines and cancellation, drains on SIGTERM, and simulates the faults
that its options name.
"""

import asyncio
import signal
from collections import deque
from typing import Final, Literal

import defopt
import msgspec
from loguru import logger

from medlarhoist.core.target import TargetNotice, TargetPhase
from medlarhoist.standin.target_options import Fault, Health, Options
from medlarhoist.standin.target_server import TargetServer, TargetState

ANNOUNCE_INTERVAL_S: Final = 1.0
DRAIN_GRACE_S: Final = 3.0
DRAIN_LIMIT_S: Final = 30.0
LAG_INTERVALS: Final = 5
_ANNOUNCE_TIMEOUT_S: Final = 2.0
_POLL_S: Final = 0.02


class Announcer:
    """Announces the phase of a target to the node on its VM.

    Args:
        is_draining: whether to announce the phase `draining`.
    """

    __slots__ = ('_admin', '_history', '_server', 'is_draining')

    def __init__(self, admin: str, server: TargetServer) -> None:
        """Create an announcer.

        Args:
            admin: admin address of the node, host:port.
            server: the target.
        """
        self._admin = admin
        self._server = server
        self._history: deque[TargetPhase] = deque(maxlen=LAG_INTERVALS)
        self.is_draining = False

    async def run(self) -> None:
        """Announce every `ANNOUNCE_INTERVAL_S` seconds until cancelled.

        The first announcement after readiness follows at once.
        """
        while True:
            await self.announce()
            await asyncio.sleep(self._find_interval_s())

    async def announce(self) -> None:
        """Announce once; if the node is unavailable, only log a warning."""
        options = self._server.state.options
        notice = TargetNotice(
            service=options.service,
            label=options.label,
            port=self._server.port,
            slots=options.slots,
            phase=self._find_announced_phase(),
        )
        await self._send('PUT', msgspec.json.encode(notice))

    async def withdraw(self) -> None:
        """Report to the node that the target has left."""
        await self._send('DELETE', b'')

    def _find_interval_s(self) -> float:
        left_s = -self._server.state.ready_s
        if left_s > 0:
            return min(ANNOUNCE_INTERVAL_S, left_s + _POLL_S)
        return ANNOUNCE_INTERVAL_S

    def _find_announced_phase(self) -> TargetPhase:
        phase = TargetPhase.READY
        if self._server.state.ready_s < 0:
            phase = TargetPhase.WARMING
        if self.is_draining:
            phase = TargetPhase.DRAINING
        self._history.append(phase)
        health = self._server.state.options.health
        if health is Health.LYING:
            return TargetPhase.READY
        return self._history[0] if health is Health.LAGGING else phase

    async def _send(self, method: str, content: bytes) -> None:
        host, _, port = self._admin.rpartition(':')
        head = (
            f'{method} /target HTTP/1.1\r\nHost: {self._admin}\r\n'
            'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        try:
            async with asyncio.timeout(_ANNOUNCE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(head.encode() + content)
                await reader.readline()
                writer.close()
        except (OSError, TimeoutError) as exc:
            logger.warning(
                'target: node {} is unavailable: {}', self._admin, exc
            )


async def run_target(admin: str, port: int, options: Options) -> None:
    """Run a stand-in target until SIGTERM, then drain it.

    Args:
        admin: admin address of the node on its VM, empty for none.
        port: port to listen on, zero for any free one.
        options: its options.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    server = TargetServer(TargetState(options))
    await server.start(port)
    print(server.port, flush=True)  # noqa: WPS421  read by the parent process
    announcer = Announcer(admin, server)
    announcing = None
    if admin:
        announcing = loop.create_task(announcer.run())
    await stop_requested.wait()
    if announcing is not None:
        announcer.is_draining = True
        await announcer.announce()
    await drain(server)
    if announcing is not None:
        announcing.cancel()
        await announcer.withdraw()


async def drain(server: TargetServer, grace_s: float = DRAIN_GRACE_S) -> None:
    """Finish the requests of a target, then close it.

    New requests still run for a while, as nodes that have not yet received the
    phase `draining` send some; after that they are refused.

    Args:
        server: the target.
        grace_s: time in which new requests still run, seconds.
    """
    await asyncio.sleep(grace_s)
    server.state.is_refusing = True
    loop = asyncio.get_running_loop()
    deadline = loop.time() + DRAIN_LIMIT_S
    while server.state.record.in_progress and loop.time() < deadline:
        await asyncio.sleep(_POLL_S)
    server.close()


def main(  # noqa: WPS211  a command's options
    *,
    service: str,
    label: str,
    admin: str = '',
    port: int = 0,
    slots: int = 20,
    work_ms: float = 2.0,
    cold_s: float = 0,
    slow_start_s: float = 0,
    fault: Literal['none', 'fail', 'slow'] = 'none',
    fault_after_s: float = 0,
    fault_above: int = 0,
    fault_prefix: str = '/',
    fault_share: float = 1.0,
    fault_ms: float = 50.0,
    health: Literal['honest', 'lagging', 'lying'] = 'honest',
    limit: float = 0,
) -> None:
    """Run a stand-in target; it prints its port and runs until SIGTERM.

    Args:
        service: name of its service.
        label: its version.
        admin: admin address of the node on its VM (host:port).
        port: port to listen on; zero selects a free one.
        slots: number of requests that it runs concurrently.
        work_ms: processing time of a request, milliseconds.
        cold_s: time from the start to readiness, seconds.
        slow_start_s: time after readiness with slow responses, seconds.
        fault: the fault to simulate.
        fault_after_s: time from readiness to the first fault, seconds.
        fault_above: number of requests in progress above which faults occur.
        fault_prefix: prefix of the paths on which faults occur.
        fault_share: fraction of the requests that are faulty, 0 to 1.
        fault_ms: additional processing time of a slow request,
            milliseconds.
        health: accuracy of the announced phase.
        limit: requests per second that responses name as the limit; zero for
            no limit.
    """
    options = Options(
        service=service,
        label=label,
        slots=slots,
        work_ms=work_ms,
        cold_s=cold_s,
        slow_start_s=slow_start_s,
        fault=Fault(fault),
        fault_after_s=fault_after_s,
        fault_above=fault_above,
        fault_prefix=fault_prefix,
        fault_share=fault_share,
        fault_ms=fault_ms,
        health=Health(health),
        limit=limit,
    )
    asyncio.run(run_target(admin, port, options))


if __name__ == '__main__':
    defopt.run(main)
