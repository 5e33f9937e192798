"""Target: a stand-in for a target of a service, for tests and the demo.

It announces itself to the node beside it, starts cold, runs a bounded number
of requests, sheds the rest, honours deadlines and cancellation, drains on
SIGTERM, and can be told to misbehave.
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
    """Tells the node beside the target where the target stands."""

    __slots__ = ('_admin', '_history', '_server', 'is_draining')

    def __init__(self, admin: str, server: TargetServer) -> None:
        """Announce a server to an admin address, host:port."""
        self._admin = admin
        self._server = server
        self._history: deque[TargetPhase] = deque(maxlen=LAG_INTERVALS)
        self.is_draining = False

    async def run(self) -> None:
        """Announce once a period until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(self._find_pause_s())

    async def announce(self) -> None:
        """Announce once; a node that does not answer is tried again."""
        options = self._server.state.options
        notice = TargetNotice(
            service=options.service,
            label=options.label,
            port=self._server.port,
            slots=options.slots,
            phase=self._tell_phase(),
        )
        await self._send('PUT', msgspec.json.encode(notice))

    async def withdraw(self) -> None:
        """Say that the target is gone."""
        await self._send('DELETE', b'')

    def _find_pause_s(self) -> float:
        left_s = -self._server.state.ready_s
        if left_s > 0:
            return min(ANNOUNCE_INTERVAL_S, left_s + _POLL_S)
        return ANNOUNCE_INTERVAL_S

    def _tell_phase(self) -> TargetPhase:
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
            logger.warning('target: node {} is away: {}', self._admin, exc)


async def run_target(admin: str, port: int, options: Options) -> None:
    """Run a stand-in target until SIGTERM, then drain it.

    Args:
        admin: admin address of the node beside it, empty for none.
        port: port to listen on, zero for any.
        options: its behaviour.
    """
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, asked.set)
    server = TargetServer(TargetState(options))
    await server.start(port)
    print(server.port, flush=True)  # noqa: WPS421  told to whoever started it
    announcer = Announcer(admin, server)
    announcing = None
    if admin:
        announcing = loop.create_task(announcer.run())
    await asked.wait()
    if announcing is not None:
        announcer.is_draining = True
        await announcer.announce()
    await drain(server)
    if announcing is not None:
        announcing.cancel()
        await announcer.withdraw()


async def drain(server: TargetServer, grace_s: float = DRAIN_GRACE_S) -> None:
    """Take late requests for a while, refuse, finish, then close.

    Args:
        server: the target.
        grace_s: time in which late requests still run, seconds.
    """
    await asyncio.sleep(grace_s)
    server.state.is_refusing = True
    loop = asyncio.get_running_loop()
    limit = loop.time() + DRAIN_LIMIT_S
    while server.state.record.in_progress and loop.time() < limit:
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
) -> None:
    """Run a stand-in target; it prints its port and runs until SIGTERM.

    Args:
        service: name of its service.
        label: its version.
        admin: admin address of the node beside it (host:port).
        port: port to listen on; zero takes any.
        slots: requests that it runs at the same time.
        work_ms: time that a request takes, milliseconds.
        cold_s: time from the start to readiness, seconds.
        slow_start_s: time after readiness with slow answers, seconds.
        fault: what goes wrong.
        fault_after_s: time after readiness before it goes wrong, seconds.
        fault_above: requests in progress above which it goes wrong.
        fault_prefix: path prefix on which it goes wrong.
        fault_share: part of the requests that go wrong, 0 to 1.
        fault_ms: time that a slow request takes longer, milliseconds.
        health: how far the announced phase can be trusted.
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
    )
    asyncio.run(run_target(admin, port, options))


if __name__ == '__main__':
    defopt.run(main)
