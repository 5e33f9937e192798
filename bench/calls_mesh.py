"""Calls mesh: nodes with stand-in targets on one loop, for tests."""

import asyncio
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
    describe_target,
)
from medlarhoist.core.compile import Compiled
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


class Mesh:
    """A few nodes, each with a target, and what they share."""

    def __init__(self, compiled: Compiled | None = None) -> None:
        """Start without nodes."""
        self.configuration = StaticConfiguration(compiled or compile_sample())
        self.registry = StaticRegistry()
        self.recorder = CountingRecorder()
        self.nodes: list[Proxy] = []
        self.settings: list[NodeSettings] = []
        self.targets: list[TargetServer] = []

    async def add(
        self,
        domain: str = 'a',
        port: int | None = None,
        *,
        known: bool = True,
        **options: Any,
    ) -> Proxy:
        """Add a node with a target; `port` names a target of the test."""
        options.setdefault('service', SERVICE)
        options.setdefault('label', LABEL)
        options.setdefault('work_ms', 1.0)
        server = TargetServer(TargetState(Options(**options)))
        if port is None:
            await server.start()
            port = server.port
        cfg = create_settings(f'n{len(self.nodes)}', domain)
        node = create_proxy(
            cfg,
            self.configuration,
            self.registry,
            self.recorder,
            StaticLimiter(),
        )
        await node.start()
        self.nodes.append(node)
        self.settings.append(cfg)
        self.targets.append(server)
        self.notify(len(self.nodes) - 1, port)
        if known:
            told = describe_target(cfg, label=options['label'])
            self.registry.set_known((*self.registry.all_targets, told))
        return node

    def notify(
        self,
        index: int,
        port: int,
        phase: TargetPhase = TargetPhase.READY,
    ) -> None:
        """Tell a node what its target says."""
        options = self.targets[index].state.options
        self.nodes[index].set_local_target(
            TargetNotice(
                service=options.service,
                label=options.label,
                port=port,
                slots=options.slots,
                phase=phase,
            ),
        )

    async def send(self, raw: bytes, index: int = 0) -> Result:
        """Send a request on a connection of its own."""
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
        """Send a GET."""
        return await self.send(
            write_head('GET', path, request_id, lines), index
        )

    async def post(
        self,
        path: str = '/',
        request_id: str = 'r',
        index: int = 0,
        body: bytes = b'b',
    ) -> Result:
        """Send a POST."""
        lines = (f'Content-Length: {len(body)}',)
        raw = write_head('POST', path, request_id, lines)
        return await self.send(raw + body, index)

    def cut_node(self, index: int) -> None:
        """Cut the connections that other nodes have to a node."""
        self.nodes[index]._peer.reset()  # noqa: SLF001, WPS437

    @property
    def records(self) -> list[Record]:
        """Return what the targets recorded."""
        return [server.state.record for server in self.targets]

    async def close(self) -> None:
        """Stop all."""
        for node in self.nodes:
            await node.stop(linger_s=0, timeout_s=1)
        for server in self.targets:
            server.close()


def write_head(
    method: str,
    path: str,
    request_id: str,
    lines: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of a request head."""
    head = [
        f'{method} {path} HTTP/1.1',
        'Host: x',
        f'X-Request-Id: {request_id}',
        *lines,
    ]
    return '\r\n'.join([*head, '', '']).encode()
