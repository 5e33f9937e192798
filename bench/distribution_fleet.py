"""Distribution fleet: sources and nodes of one process, on loopback.

The replicated log is replaced by the fake of bench.distribution_fake.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack

from grpclib.server import Server
from msgspec.structs import replace

from bench.distribution_fake import FakeLedger, FakeLog, NoEvidence
from bench.distribution_links import CutChannels, Listener
from bench.ports import PortPool
from medlarhoist.core.command import Activate, Outcome, Status
from medlarhoist.core.resource import Route, Service, TargetVersion
from medlarhoist.core.settings import NodeSettings, Peer, SourceSettings
from medlarhoist.core.snapshot import Snapshot
from medlarhoist.core.state import Staged
from medlarhoist.node.configuration import (
    CompileSnapshot,
    Configuration,
    create_configuration,
)
from medlarhoist.node.distribution import (
    Distribution,
    create_distribution,
)
from medlarhoist.node.gossip import create_membership
from medlarhoist.node.registry import TargetRegistry, create_registry
from medlarhoist.source.distributor import Distributor, create_distributor
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.rpc import create_server, create_service

KEY = 'a-shared-key-of-a-bench'
WAIT_SECONDS = 20.0
SEEDS = 3
POLL_SECONDS = 0.002


class SourceProcess:
    """One running source."""

    __slots__ = ('cfg', 'distributor', 'ledger', 'server')

    def __init__(self, cfg: SourceSettings, log: FakeLog) -> None:
        """Create the distributor."""
        self.cfg = cfg
        self.ledger = FakeLedger(log, cfg.name)
        self.distributor: Distributor = create_distributor(
            cfg, self.ledger, lambda domain, rows: None
        )
        self.server: Listener | None = None

    async def start(self) -> None:
        """Serve and distribute."""
        self.server = await _serve(
            self.cfg.sources[_index(self.cfg)].control,
            create_server(
                create_service(self.distributor.procedures()),
                KEY.encode(),
                self.distributor.traffic,
            ),
        )
        await self.distributor.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self.distributor.stop()
        await _close(self.server)


class NodeProcess:
    """One running node."""

    __slots__ = (
        'cfg',
        'channels',
        'configuration',
        'distribution',
        'registry',
        'server',
        'versions',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        compile_one: CompileSnapshot | None = None,
    ) -> None:
        """Create the parts."""
        self.cfg = cfg
        knowledge = create_membership(cfg, wall_ms())
        self.configuration: Configuration = create_configuration(compile_one)
        self.registry: TargetRegistry = create_registry(knowledge)
        self.channels = CutChannels(KEY.encode(), cfg.name, Traffic())
        self.distribution: Distribution = create_distribution(
            cfg,
            self.configuration,
            self.registry,
            knowledge,
            NoEvidence(),
            self.channels,
        )
        self.server: Listener | None = None
        self.versions: list[int] = []
        self.configuration.subscribe(
            lambda compiled: self.versions.append(compiled.version)
        )

    @property
    def version(self) -> int | None:
        """Return the version in force, None for none."""
        active = self.configuration.active
        return active.version if active else None

    async def start(self) -> None:
        """Serve and join."""
        self.server = await _serve(
            self.cfg.control,
            create_server(
                create_service(self.distribution.procedures()),
                KEY.encode(),
                self.distribution.traffic,
            ),
        )
        await self.distribution.start()

    async def stop(self) -> None:
        """Stop without notice to anyone but the members."""
        await self.distribution.stop()
        await _close(self.server)


class Fleet:
    """Sources and nodes that share one fake log."""

    __slots__ = ('_ports', 'log', 'nodes', 'sources')

    def __init__(self, sources: int, keepers: int) -> None:
        """Lay the sources out; nothing runs yet."""
        self._ports = PortPool()
        peers = tuple(
            Peer(
                name=f's{number}',
                control=self._ports.allocate_address(),
                api='127.0.0.1:1',
            )
            for number in range(sources)
        )
        self.log = FakeLog(peers[0].name, peers)
        self.nodes: dict[str, NodeProcess] = {}
        self.sources = [
            SourceProcess(_source_settings(peer, peers, keepers), self.log)
            for peer in peers
        ]

    def add_node(
        self,
        domain: str,
        number: int,
        compile_one: CompileSnapshot | None = None,
    ) -> NodeProcess:
        """Lay a node out; it is not started."""
        name = f'{domain}{number}'
        process = NodeProcess(self._node_settings(domain, name), compile_one)
        self.nodes[name] = process
        return process

    def renew_node(self, name: str) -> NodeProcess:
        """Return a node without memory in the place of a stopped one."""
        process = NodeProcess(self.nodes[name].cfg)
        self.nodes[name] = process
        return process

    async def start(self) -> None:
        """Start every source and node."""
        for source in self.sources:
            await source.start()
        for process in self.nodes.values():
            await process.start()

    async def stop(self) -> None:
        """Stop everything."""
        for process in self.nodes.values():
            await process.stop()
        for source in self.sources:
            await source.stop()
        self._ports.close()

    def stage(self, version: int, routes: int = 3) -> None:
        """Stage a version as an operator's change would."""
        staged = Staged(
            snapshot=create_snapshot(version, routes),
            entries={},
            moves={},
            request_id='',
            at_ms=0,
        )
        self.log.state = replace(
            self.log.state, staged=staged, last_version=version
        )
        for callback in self.log.callbacks:
            callback(
                Activate(version=0, at_ms=0), Outcome(status=Status.PENDING)
            )

    async def activate(self, version: int, routes: int = 3) -> None:
        """Stage a version and wait until it is settled."""
        self.stage(version, routes)
        await wait_until(lambda: self.log.state.staged is None)

    def cut_from_sources(self, name: str) -> None:
        """Cut a node off from every source."""
        sources = [source.control for source in self.sources[0].cfg.sources]
        self.nodes[name].channels.cut(sources)

    def cut_from_nodes(self, name: str, others: Iterable[str]) -> None:
        """Cut the connections between a node and others, both ways."""
        for other in others:
            self.nodes[name].channels.cut((self.nodes[other].cfg.control,))
            self.nodes[other].channels.cut((self.nodes[name].cfg.control,))

    def versions(self) -> dict[str, int | None]:
        """Return the version in force at each node."""
        return {name: node.version for name, node in self.nodes.items()}

    async def until_everywhere(self, version: int) -> None:
        """Wait until a version is in force at every node."""
        await wait_until(
            lambda: set(self.versions().values()) == {version},
            self.versions,
        )

    def _seeds(self, domain: str) -> tuple[str, ...]:
        known = [
            node.cfg.gossip
            for node in self.nodes.values()
            if node.cfg.domain == domain
        ]
        return tuple(known[:SEEDS])

    def _node_settings(self, domain: str, name: str) -> NodeSettings:
        return NodeSettings(
            name=name,
            domain=domain,
            admin='127.0.0.1:1',
            shared_key=KEY,
            sources=self.sources[0].cfg.sources,
            control=self._ports.allocate_address(),
            gossip=self._ports.allocate_address(),
            entry='127.0.0.1:1',
            peer='127.0.0.1:1',
            seeds=self._seeds(domain),
        )


def create_snapshot(version: int, routes: int) -> Snapshot:
    """Return a configuration of many routes of which one names the version."""
    service = Service(name='bookings', current='v1')
    kept = tuple(
        Route(name=f'r{number:05}', prefix=f'/{number}', service='bookings')
        for number in range(routes)
    )
    changing = Route(
        name='version',
        prefix='/version',
        service='bookings',
        timeout_ms=version + 1,
    )
    label = TargetVersion(name='bookings/v1', service='bookings', label='v1')
    return Snapshot(
        version=version,
        services=(service,),
        target_versions=(label,),
        routes=(*kept, changing),
    )


async def wait_until(
    holds: Callable[[], bool],
    show: Callable[[], object] = str,
    seconds: float = WAIT_SECONDS,
) -> None:
    """Wait for a condition.

    Raises:
        AssertionError: it did not come to hold.
    """
    deadline = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > deadline:
            raise AssertionError(f'condition does not hold: {show()}')
        await asyncio.sleep(POLL_SECONDS)


async def run_fleet(
    fleet: Fleet,
    scenario: Callable[[Fleet], Awaitable[None]],
) -> None:
    """Start a fleet, run a scenario and stop the fleet."""
    async with AsyncExitStack() as stack:
        stack.push_async_callback(fleet.stop)
        await fleet.start()
        await scenario(fleet)


def _source_settings(
    peer: Peer,
    peers: tuple[Peer, ...],
    keepers: int,
) -> SourceSettings:
    return SourceSettings(
        name=peer.name,
        domain='a',
        admin='127.0.0.1:1',
        shared_key=KEY,
        sources=peers,
        data_folder='unused',
        operators=(),
        keepers=keepers,
    )


def _index(cfg: SourceSettings) -> int:
    names = [peer.name for peer in cfg.sources]
    return names.index(cfg.name)


async def _serve(address: str, server: Server) -> Listener:
    listener = Listener(server)
    await listener.start(address)
    return listener


async def _close(listener: Listener | None) -> None:
    if listener is not None:
        await listener.close()
