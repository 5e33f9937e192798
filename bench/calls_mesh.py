"""Calls mesh: nodes with stand-in targets on one loop, for tests."""

import asyncio
import time
from collections import Counter
from typing import Any

from bench.calls_static import (
    LABEL,
    SERVICE,
    CountingRecorder,
    StaticConfiguration,
    StaticLimiter,
    StaticRegistry,
    compile_sample,
    create_settings,
    create_target,
)
from medlarhoist.core.compile import Compiled
from medlarhoist.core.header_names import DEFAULT_HEADER_NAMES
from medlarhoist.core.quarantine import Quarantine
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.target import TargetNotice, TargetPhase
from medlarhoist.node.proxy import Proxy, create_proxy
from medlarhoist.standin.load_client import Result, open_connection
from medlarhoist.standin.target_options import Options
from medlarhoist.standin.target_server import (
    Record,
    TargetServer,
    TargetState,
)

HEADER_NAMES = DEFAULT_HEADER_NAMES


class Mesh:
    """Nodes with a target each, and the fakes that they share.

    Args:
        configuration: configuration of all nodes.
        registry: targets that the nodes can route calls to.
        recorder: counts the results of calls of all nodes.
        nodes: proxies of the nodes, by index.
        settings: settings of the nodes, by index.
        targets: stand-in targets of the nodes, by index.
        restarts: restarts of the nodes, by index.
        quarantines: the suspects that each proxy knows of, also those of
            proxies that were restarted.
    """

    def __init__(self, compiled: Compiled | None = None) -> None:
        """Create a mesh without nodes; None selects compile_sample()."""
        self.configuration = StaticConfiguration(compiled or compile_sample())
        self.registry = StaticRegistry()
        self.recorder = CountingRecorder()
        self.nodes: list[Proxy] = []
        self.settings: list[NodeSettings] = []
        self.targets: list[TargetServer] = []
        self.restarts: Counter[int] = Counter()
        self.quarantines: list[Quarantine] = []
        self._run_ids: dict[int, str] = {}

    async def add(
        self,
        domain: str = 'a',
        port: int | None = None,
        *,
        registered: bool = True,
        **options: Any,
    ) -> Proxy:
        """Start a node with a target beside it and return its proxy.

        Args:
            domain: failure domain of the node.
            port: port of a target that the test runs itself; None starts a
                stand-in target.
            registered: whether nodes can route calls to the target.
            options: options of the stand-in target.
        """
        options.setdefault('service', SERVICE)
        options.setdefault('label', LABEL)
        options.setdefault('work_ms', 1.0)
        server = TargetServer(TargetState(Options(**options)))
        if port is None:
            await server.start()
            port = server.port
        cfg = create_settings(f'n{len(self.nodes)}', domain)
        node = self._create_proxy(cfg)
        await node.start()
        self.nodes.append(node)
        self.settings.append(cfg)
        self.targets.append(server)
        self.notify(len(self.nodes) - 1, port)
        if registered:
            target = create_target(cfg, label=options['label'])
            self.registry.set_targets((*self.registry.all_targets, target))
        return node

    async def restart(self, index: int) -> None:
        """Restart a node, which then knows nothing of before.

        Its target keeps running and announces itself at once.
        """
        await self.nodes[index].stop(linger_s=0, timeout_s=0)
        self.restarts[index] += 1
        self.nodes[index] = self._create_proxy(self.settings[index])
        await self.nodes[index].start()
        self.notify(index, self.targets[index].port)
        self.registry.renew(self.settings[index].peer)

    def start_run(self, index: int, run_id: str, cold_ms: int = 0) -> None:
        """Start the next run of a target, at the same address."""
        state = self.targets[index].state
        state.is_leaving = False
        state.told.clear()
        self._run_ids[index] = run_id
        self.notify(index, self.targets[index].port, cold_ms=cold_ms)
        self.registry.renew(self.settings[index].peer)

    def notify(
        self,
        index: int,
        port: int,
        phase: TargetPhase = TargetPhase.READY,
        cold_ms: int = 0,
    ) -> None:
        """Set the notice that a node has received from its target."""
        options = self.targets[index].state.options
        self.nodes[index].set_local_target(
            TargetNotice(
                service=options.service,
                label=options.label,
                port=port,
                slots=options.slots,
                phase=phase,
                run_id=self._run_ids.get(index, 'run-1'),
                cold_ms=cold_ms,
            ),
        )

    async def send(self, raw: bytes, index: int = 0) -> Result:
        """Send raw bytes on a new connection; TimeoutError after 10 s."""
        conn = await open_connection(self.settings[index].entry)
        assert conn is not None
        try:  # noqa: WPS501
            async with asyncio.timeout(10):
                return await conn.send(raw)
        finally:
            conn.close()

    async def get(
        self,
        path: str = '/',
        request_id: str = 'r',
        index: int = 0,
        lines: tuple[str, ...] = (),
    ) -> Result:
        """Send a GET request to a node; lines are extra headers."""
        return await self.send(
            format_request_head('GET', path, request_id, lines), index
        )

    async def post(
        self,
        path: str = '/',
        request_id: str = 'r',
        index: int = 0,
        body: bytes = b'b',
    ) -> Result:
        """Send a POST request with a body to a node."""
        lines = (f'Content-Length: {len(body)}',)
        raw = format_request_head('POST', path, request_id, lines)
        return await self.send(raw + body, index)

    def reset_peer_connections(self, index: int) -> None:
        """Close the connections of other nodes to a node."""
        self.nodes[index]._peer.reset()  # noqa: SLF001, WPS437

    async def spread_suspicions(self, interval_s: float = 0.02) -> None:
        """Exchange the records of all nodes, as gossip does, until cancelled."""
        while True:
            now = time.monotonic()
            records = [
                record
                for quarantine in self.quarantines
                for record in quarantine.export(now)
            ]
            for quarantine in self.quarantines:
                quarantine.merge(records, now)
            await asyncio.sleep(interval_s)

    @property
    def records(self) -> list[Record]:
        """Return the records of requests that the targets ran, by index."""
        return [server.state.record for server in self.targets]

    async def close(self) -> None:
        """Stop all nodes and targets."""
        for node in self.nodes:
            await node.stop(linger_s=0, timeout_s=1)
        for server in self.targets:
            server.close()

    def _create_proxy(self, cfg: NodeSettings) -> Proxy:
        self.quarantines.append(Quarantine())
        return create_proxy(
            cfg,
            self.configuration,
            self.registry,
            self.recorder,
            StaticLimiter(),
            HEADER_NAMES,
            self.quarantines[-1],
        )


def format_request_head(
    method: str,
    path: str,
    request_id: str,
    lines: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of a request head; lines are extra headers."""
    head = [
        f'{method} {path} HTTP/1.1',
        'Host: x',
        f'X-Request-Id: {request_id}',
        *lines,
    ]
    return '\r\n'.join([*head, '', '']).encode()
