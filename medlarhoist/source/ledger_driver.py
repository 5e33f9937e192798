"""Ledger driver: runs the pure replica against the disk, clock and peers.

Every event becomes one step: its writes are synced, then its messages are
sent. A step whose writes fail is discarded: the replica stays as it was.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec.structs import replace

from medlarhoist.consensus.log_file import Disk, open_folder
from medlarhoist.consensus.message import Event, Message, Resign, Tick
from medlarhoist.consensus.replacement import Routes, report_unwritable
from medlarhoist.consensus.replica import Replica, Role, create_replica
from medlarhoist.consensus.step import Step, step
from medlarhoist.core.resource import Fault
from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.ledger_link import PeerLink, create_link, endpoint_of
from medlarhoist.source.ledger_storage import ReplicaStorage

TICK_SECONDS: Final = 0.05

SteppedCallback = Callable[[Replica, Replica], None]
HaltedCallback = Callable[[str], None]


class StorageDamaged(Exception):
    """The data folder cannot be used; `fault` holds the cause and remedy."""

    def __init__(self, fault: Fault) -> None:
        """Use the text of the fault as the message."""
        super().__init__(f'{fault.source}: {fault.message}')
        self.fault = fault


class Driver:
    """Runs one replica.

    Args:
        replica: its current state, None while it is halted.
        standbys: the standby that is about to get a member slot, by name of
            the slot.
    """

    __slots__ = (
        '_cfg',
        '_disk',
        '_halted_by',
        '_links',
        '_on_halted',
        '_on_stepped',
        '_storage',
        '_task',
        'replica',
        'standbys',
    )

    def __init__(
        self,
        cfg: SourceSettings,
        disk: Disk,
        on_stepped: SteppedCallback,
        on_halted: HaltedCallback,
    ) -> None:
        """Keep the settings and callbacks; start() opens the data folder.

        Args:
            cfg: settings of the source.
            disk: the system calls that write.
            on_stepped: called after each step with the replica before and
                after it.
            on_halted: called with the reason when the replica halts.
        """
        self._cfg = cfg
        self._disk = disk
        self._on_stepped = on_stepped
        self._on_halted = on_halted
        self._links: dict[str, PeerLink] = {}
        self.standbys: Routes = {}
        self._halted_by = ''
        self._storage: ReplicaStorage | None = None
        self._task: asyncio.Task[None] | None = None
        self.replica: Replica | None = None

    @property
    def fault(self) -> str:
        """Return why the last write failed or the replica halted, if so."""
        if self._halted_by or self._storage is None:
            return self._halted_by
        return self._storage.fault

    def start(self) -> Replica:
        """Recover the replica from the disk and start to run it.

        Returns:
            The recovered replica.

        Raises:
            StorageDamaged: the data folder cannot be used.
        """
        peers = [
            peer for peer in self._cfg.sources if peer.name != self._cfg.name
        ]
        replica = self._recover(tuple(peer.name for peer in peers))
        self.replica = replica
        self._update_links(replica)
        self._task = asyncio.create_task(self._run())
        return replica

    async def stop(self) -> None:
        """Stop the replica and the links to its peers."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for link in self._links.values():
            await link.stop()
        self._halt('the source stops')

    def endpoints(self) -> dict[str, str]:
        """Return the endpoint of each member of the group, by name.

        Endpoints of the log take precedence over those of the settings.
        """
        endpoints = {peer.name: endpoint_of(peer) for peer in self._cfg.sources}
        endpoints[self._cfg.name] = endpoint_of(self._cfg.endpoint)
        if self.replica is not None:
            endpoints.update(self.replica.endpoints)
        return endpoints

    def route_to_standbys(self, standbys: Routes) -> None:
        """Send messages for these member slots to standbys from now on.

        Thus a standby receives the log before it is admitted. The committed
        admission then sets the endpoint of the slot.

        Args:
            standbys: by name of the member slot. Messages for other slots go
                to their members.
        """
        if self.replica is None or standbys == self.standbys:
            return
        logger.bind(standbys=sorted(standbys)).info(
            'ledger: member slots offered to standbys'
        )
        self.standbys = dict(standbys)
        self._update_links(self.replica)

    def _update_links(self, replica: Replica) -> None:
        """Open a link to each peer whose endpoint has changed."""
        endpoints = {
            **self.endpoints(),
            **replica.endpoints,
            **{name: route.endpoint for name, route in self.standbys.items()},
        }
        for name in replica.peers:
            link = self._links.get(name)
            if link is not None and link.endpoint == endpoints[name]:
                continue
            if link is not None:
                link.close()
            self._links[name] = create_link(self._cfg, name, endpoints[name])
            self._links[name].start()

    def link_states(self) -> dict[str, bool]:
        """Return whether the last batch reached each peer, by name."""
        return {name: link.is_up for name, link in self._links.items()}

    def receive(self, message: Message) -> None:
        """Handle a message of a peer.

        A message for another receiver or from an unknown sender is dropped.
        """
        sender = message.sender
        if message.receiver == self._cfg.name and sender in self._links:
            self.handle(message)
            return
        logger.warning('ledger: dropped a message from {}', sender)

    def handle(self, event: Event) -> bool:
        """Make one step.

        Returns:
            Whether the step took effect; not if the replica is halted or the
            writes of the step failed.
        """
        before = self.replica
        if before is None:
            return False
        computed = step(before, event, time.monotonic(), random.random)
        if not self._save(computed):
            for notice in report_unwritable(before, event):
                self._links[notice.receiver].send(notice)
            asyncio.get_running_loop().call_soon(self._resign)
            return False
        self.replica = computed.replica
        if computed.replica.endpoints is not before.endpoints:
            self._apply_endpoints(before, computed.replica)
        for message in computed.messages:
            self._links[message.receiver].send(message)
        self._on_stepped(before, computed.replica)
        return True

    def _apply_endpoints(self, before: Replica, after: Replica) -> None:
        """Update the links to the endpoints of newly committed admissions."""
        for name, endpoint in after.endpoints.items():
            if before.endpoints.get(name) != endpoint:
                self.standbys.pop(name, None)
                logger.bind(name=name, place=endpoint).info(
                    'ledger: a source has a new endpoint',
                )
        self._update_links(after)

    def _recover(self, peers: tuple[str, ...]) -> Replica:
        opened = open_folder(self._cfg.data_folder, self._disk)
        if opened.is_err():
            raise StorageDamaged(opened.unwrap_err())
        folder = opened.unwrap()
        try:
            loaded = folder.load()
        except OSError:
            folder.close()
            raise
        if loaded.is_err():
            folder.close()
            raise StorageDamaged(loaded.unwrap_err())
        self._storage = ReplicaStorage(folder)
        stored = loaded.unwrap()
        replica = create_replica(
            self._cfg.name,
            peers,
            stored.hard,
            stored.snapshot,
            stored.entries,
            time.monotonic(),
            random.random,
        )
        return replace(
            replica,
            endpoint=endpoint_of(self._cfg.endpoint),
            may_found=self._cfg.may_found,
        )

    async def _run(self) -> None:
        while self.replica is not None:
            try:
                if self._storage is not None:
                    self._storage.probe()
                self.handle(Tick())
            except Exception as exc:
                logger.exception('ledger: the replica halts')
                self._halted_by = repr(exc)
                self._halt('a committed command cannot be applied')
            await asyncio.sleep(TICK_SECONDS)

    def _halt(self, reason: str) -> None:
        """Stop the replica: it leaves the group and writes nothing more."""
        self.replica = None
        if self._storage is not None:
            self._storage.close()
        self._storage = None
        self._on_halted(reason)

    def _resign(self) -> None:
        """Give up the lead, so that a source with a writable disk can lead.

        A group of one source has no other to lead, so it keeps the lead.
        """
        replica = self.replica
        if replica is None or replica.role is not Role.LEADER:
            return
        if self._links:
            self.handle(Resign())

    def _save(self, computed: Step) -> bool:
        """Write and sync the changes of a step; return whether that worked.

        A disk that refuses the write, as when it is full, leaves the replica
        running; any other failure halts it.
        """
        if computed.write is None or self._storage is None:
            return True
        try:
            return self._storage.save(computed.write, computed.replica.log)
        except OSError as exc:
            logger.error('ledger: the disk failed, the replica halts ({})', exc)
            self._halted_by = str(exc)
            self._halt('the disk failed')
            return False
