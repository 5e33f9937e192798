"""Distribution fleet: sources and nodes in one process, on loopback.

Nodes forward no calls; bench.distribution_fake replaces the replicated log.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack

from grpclib.server import Server
from msgspec.structs import replace

from bench.distribution_fake import FakeLedger, FakeLog, NoEvidence
from bench.distribution_links import BlockableChannels, Listener
from bench.ports import PortPool
from medlarhoist.core.command import Activate, Outcome, Status
from medlarhoist.core.resource import Route, Service, TargetVersion
from medlarhoist.core.settings import NodeSettings, Peer, SourceSettings
from medlarhoist.core.shared_records import create_shared_records
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
from medlarhoist.node.target_registration import TargetRegistration
from medlarhoist.source.distributor import Distributor, create_distributor
from medlarhoist.utils.clock import wall_ms
from medlarhoist.utils.traffic import Traffic
from medlarhoist.wire.rpc import create_server, create_service

KEY = 'a-shared-key-of-a-bench'
WAIT_SECONDS = 20.0
SEEDS = 3
POLL_SECONDS = 0.002


class SourceProcess:
    """One source: its distributor, fake ledger and control server."""

    __slots__ = ('cfg', 'distributor', 'ledger', 'server')

    def __init__(self, cfg: SourceSettings, log: FakeLog) -> None:
        """Create the distributor; nothing is served before start."""
        self.cfg = cfg
        self.ledger = FakeLedger(log, cfg.name)
        self.distributor: Distributor = create_distributor(
            cfg, self.ledger, lambda domain, rows: None
        )
        self.server: Listener | None = None

    async def start(self) -> None:
        """Start the control server, then the distributor."""
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
        """Stop the distributor and abort the control connections."""
        await self.distributor.stop()
        await _close(self.server)


class NodeProcess:
    """One node without its proxy: configuration, registry and distribution.

    Attributes:
        versions: versions that this node has put in force, in order.
    """

    __slots__ = (
        'cfg',
        'channels',
        'configuration',
        'distribution',
        'quarantine',
        'registration',
        'registry',
        'server',
        'versions',
        'withdrawals',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        compile_function: CompileSnapshot | None = None,
    ) -> None:
        """Create the components; nothing is served before start.

        A compile function that refuses versions replaces the default.
        """
        self.cfg = cfg
        membership = create_membership(cfg, wall_ms())
        self.configuration: Configuration = create_configuration(
            compile_function
        )
        self.registry: TargetRegistry = create_registry(membership)
        shared = create_shared_records(cfg)
        self.quarantine = shared.quarantine
        self.withdrawals = shared.withdrawals
        self.channels = BlockableChannels(KEY.encode(), cfg.name, Traffic())
        self.distribution: Distribution = create_distribution(
            cfg,
            self.configuration,
            self.registry,
            membership,
            NoEvidence(),
            shared,
            self.channels,
        )
        replicate = self.distribution.replicate_withdrawals
        self.registration = TargetRegistration(
            cfg, self.registry, lambda _: None, self.withdrawals, replicate
        )
        self.server: Listener | None = None
        self.versions: list[int] = []
        self.configuration.subscribe(
            lambda compiled: self.versions.append(compiled.version)
        )

    @property
    def version(self) -> int | None:
        """Return the version in force, or None before the first."""
        active = self.configuration.active
        return active.version if active else None

    async def start(self) -> None:
        """Start the control server and join the failure domain."""
        self.server = await _serve(
            self.cfg.control,
            create_server(
                create_service(self.distribution.procedures()),
                KEY.encode(),
                self.channels.traffic,
            ),
        )
        await self.distribution.start()

    async def stop(self) -> None:
        """Leave the failure domain and abort the control connections."""
        await self.distribution.stop()
        await _close(self.server)


class Fleet:
    """Sources and nodes that share one fake log.

    `nodes` maps the name of each node to its current process; `revocation_ms`
    is a setting of the nodes that are added.
    """

    __slots__ = ('_ports', 'log', 'nodes', 'revocation_ms', 'sources')

    def __init__(self, sources: int, keepers: int) -> None:
        """Create the sources, not started; the first one is the leader.

        Args:
            sources: number of sources.
            keepers: number of keepers in each failure domain.
        """
        self._ports = PortPool()
        self.revocation_ms = 0
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
        compile_function: CompileSnapshot | None = None,
    ) -> NodeProcess:
        """Create a node, named by its domain and number, not started."""
        name = f'{domain}{number}'
        process = NodeProcess(
            self._node_settings(domain, name), compile_function
        )
        self.nodes[name] = process
        return process

    def replace_node(self, name: str) -> NodeProcess:
        """Replace a stopped node by a new one with the same settings.

        The new node is not started. As after a restart of the process, it
        holds no configuration.
        """
        process = NodeProcess(self.nodes[name].cfg)
        self.nodes[name] = process
        return process

    async def start(self) -> None:
        """Start all sources, then all nodes."""
        for source in self.sources:
            await source.start()
        for process in self.nodes.values():
            await process.start()

    async def stop(self) -> None:
        """Stop all nodes and sources and release the ports."""
        for process in self.nodes.values():
            await process.stop()
        for source in self.sources:
            await source.stop()
        self._ports.close()

    def stage(self, version: int, routes: int = 3) -> None:
        """Stage a version in the log, as an operator's change does.

        Args:
            version: the version, higher than any before.
            routes: number of routes of the configuration.
        """
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
        """Stage a version and wait until it is activated or abandoned."""
        self.stage(version, routes)
        await wait_until(lambda: self.log.state.staged is None)

    def partition_from_sources(self, name: str) -> None:
        """Block the connections that a node opens to the sources."""
        sources = [source.control for source in self.sources[0].cfg.sources]
        self.nodes[name].channels.block(sources)

    def partition_from_nodes(self, name: str, others: Iterable[str]) -> None:
        """Block the connections between a node and others, both ways."""
        for other in others:
            self.nodes[name].channels.block((self.nodes[other].cfg.control,))
            self.nodes[other].channels.block((self.nodes[name].cfg.control,))

    def versions(self) -> dict[str, int | None]:
        """Return the version in force at each node, None for none."""
        return {name: node.version for name, node in self.nodes.items()}

    async def wait_until_in_force(self, version: int) -> None:
        """Wait until a version is in force at every node."""
        await wait_until(
            lambda: set(self.versions().values()) == {version},
            self.versions,
        )

    def _seeds(self, domain: str) -> tuple[str, ...]:
        addresses = [
            node.cfg.gossip
            for node in self.nodes.values()
            if node.cfg.domain == domain
        ]
        return tuple(addresses[:SEEDS])

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
            revocation_ms=self.revocation_ms,
        )


def create_snapshot(version: int, routes: int) -> Snapshot:
    """Return a configuration of one service and some routes.

    One more route differs from version to version, so that each version is a
    change of one route.

    Args:
        version: the version.
        routes: number of the routes that are equal in all versions.
    """
    service = Service(name='bookings', current='v1')
    unchanged = tuple(
        Route(name=f'r{number:05}', prefix=f'/{number}', service='bookings')
        for number in range(routes)
    )
    versioned = Route(
        name='version',
        prefix='/version',
        service='bookings',
        timeout_ms=version + 1,
    )
    target_version = TargetVersion(
        name='bookings/v1', service='bookings', label='v1'
    )
    return Snapshot(
        version=version,
        services=(service,),
        target_versions=(target_version,),
        routes=(*unchanged, versioned),
    )


async def wait_until(
    condition: Callable[[], bool],
    describe: Callable[[], object] = str,
    seconds: float = WAIT_SECONDS,
) -> None:
    """Wait for a condition.

    Args:
        condition: polled every POLL_SECONDS.
        describe: returns what the error shows of the state.
        seconds: timeout.

    Raises:
        AssertionError: the condition is false at the timeout.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f'condition does not hold: {describe()}')
        await asyncio.sleep(POLL_SECONDS)


async def run_fleet(
    fleet: Fleet,
    scenario: Callable[[Fleet], Awaitable[None]],
) -> None:
    """Start a fleet, run a scenario and stop the fleet, also on an error."""
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
