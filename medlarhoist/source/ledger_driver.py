"""Ledger driver: runs the pure replica against the disk, clock and peers.

Every event becomes one step: its writes are synced, then its messages are
sent. A step that the disk refuses did not happen.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec.structs import replace

from medlarhoist.consensus.log_file import Disk, LogFile, open_folder
from medlarhoist.consensus.message import Event, Message, Resign, Tick
from medlarhoist.consensus.replica import Replica, Role, create_replica
from medlarhoist.consensus.step import Step, step
from medlarhoist.core.resource import Fault
from medlarhoist.core.settings import SourceSettings
from medlarhoist.source.ledger_link import PeerLink, create_link, place_of

TICK_SECONDS: Final = 0.05

SteppedCallback = Callable[[Replica, Replica], None]
HaltedCallback = Callable[[str], None]


class StorageDamaged(Exception):
    """The data folder cannot be used; the fault says what to do."""

    def __init__(self, fault: Fault) -> None:
        """Keep the fault."""
        super().__init__(f'{fault.source}: {fault.message}')
        self.fault = fault


class Driver:
    """One running replica; `replica` is None while it is halted."""

    __slots__ = (
        '_cfg',
        '_disk',
        '_folder',
        '_links',
        '_on_halted',
        '_on_stepped',
        '_pointed',
        '_task',
        'fault',
        'replica',
    )

    def __init__(
        self,
        cfg: SourceSettings,
        disk: Disk,
        on_stepped: SteppedCallback,
        on_halted: HaltedCallback,
    ) -> None:
        """Keep the settings and whom to tell; start() opens the folder."""
        self._cfg = cfg
        self._disk = disk
        self._on_stepped = on_stepped
        self._on_halted = on_halted
        self._links: dict[str, PeerLink] = {}
        self._pointed: dict[str, str] = {}
        self._folder: LogFile | None = None
        self._task: asyncio.Task[None] | None = None
        self.replica: Replica | None = None
        self.fault = ''

    def start(self) -> Replica:
        """Recover from the disk, then step with time and messages.

        Raises:
            StorageDamaged: the data folder cannot be used.
        """
        peers = [
            peer for peer in self._cfg.sources if peer.name != self._cfg.name
        ]
        replica = self._recover(tuple(peer.name for peer in peers))
        self.replica = replica
        self._relink(replica)
        self._task = asyncio.create_task(self._run())
        return replica

    async def stop(self) -> None:
        """Leave the group until the next start."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for link in self._links.values():
            await link.stop()
        self._halt('the source stops')

    def places(self) -> dict[str, str]:
        """Return where each source is, by name."""
        places = {peer.name: place_of(peer) for peer in self._cfg.sources}
        places[self._cfg.name] = place_of(self._cfg.endpoint)
        if self.replica is not None:
            places.update(self.replica.endpoints)
        return places

    def route_to_standby(self, name: str, place: str) -> None:
        """Send what is for a name to a spare source, until it is admitted.

        Args:
            name: name of a peer.
            place: where the spare source is.
        """
        if self.replica is None or self._pointed.get(name) == place:
            return
        self._pointed[name] = place
        self._relink(self.replica)

    def _relink(self, replica: Replica) -> None:
        """Open a link to each peer whose place is new."""
        places = {**self.places(), **replica.endpoints, **self._pointed}
        for name in replica.peers:
            link = self._links.get(name)
            if link is not None and link.place == places[name]:
                continue
            if link is not None:
                link.close()
            self._links[name] = create_link(self._cfg, name, places[name])
            self._links[name].start()

    def link_states(self) -> dict[str, bool]:
        """Say for each peer whether messages reach it."""
        return {name: link.is_up for name, link in self._links.items()}

    def receive(self, message: Message) -> None:
        """Handle the message of a peer; drop one that is not for us."""
        sender = message.sender
        if message.receiver == self._cfg.name and sender in self._links:
            self.handle(message)
            return
        logger.warning('ledger: dropped a message of {}', sender)

    def handle(self, event: Event) -> bool:
        """Make one step; return whether it happened."""
        before = self.replica
        if before is None:
            return False
        taken = step(before, event, time.monotonic(), random.random)
        if not self._save(taken):
            asyncio.get_running_loop().call_soon(self._resign)
            return False
        self.replica = taken.replica
        if taken.replica.endpoints is not before.endpoints:
            self._follow_places(before, taken.replica)
        for message in taken.messages:
            self._links[message.receiver].send(message)
        self._on_stepped(before, taken.replica)
        return True

    def _follow_places(self, before: Replica, after: Replica) -> None:
        for name, place in after.endpoints.items():
            if before.endpoints.get(name) != place:
                self._pointed.pop(name, None)
                logger.bind(name=name, place=place).info(
                    'ledger: a source has a new place',
                )
        self._relink(after)

    def _recover(self, peers: tuple[str, ...]) -> Replica:
        opened = open_folder(self._cfg.data_folder, self._disk)
        if opened.is_err():
            raise StorageDamaged(opened.unwrap_err())
        folder = opened.unwrap()
        loaded = folder.load()
        if loaded.is_err():
            folder.close()
            raise StorageDamaged(loaded.unwrap_err())
        self._folder = folder
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
        return replace(replica, endpoint=place_of(self._cfg.endpoint))

    async def _run(self) -> None:
        while self.replica is not None:
            try:
                self.handle(Tick())
            except Exception as exc:
                logger.exception('ledger: the replica halts')
                self.fault = repr(exc)
                self._halt('a committed command cannot be applied')
            await asyncio.sleep(TICK_SECONDS)

    def _halt(self, reason: str) -> None:
        """Take no further part; nothing is written any more."""
        self.replica = None
        if self._folder is not None:
            self._folder.close()
        self._folder = None
        self._on_halted(reason)

    def _resign(self) -> None:
        """Let a source lead whose disk takes writes, if there is another."""
        replica = self.replica
        if replica is None or replica.role is not Role.LEADER:
            return
        if self._links:
            self.handle(Resign())

    def _save(self, taken: Step) -> bool:
        """Sync the writes of a step; return whether the disk took them."""
        if taken.write is None or self._folder is None:
            return True
        try:
            saved = self._folder.save(taken.write, taken.replica.log)
        except OSError as exc:
            logger.error('ledger: the disk failed, the replica halts ({})', exc)
            self.fault = str(exc)
            self._halt('the disk failed')
            return False
        refusal = saved.err()
        fault = '' if refusal is None else refusal.message
        if fault != self.fault:
            logger.warning('ledger: disk: {}', fault or 'writable again')
        self.fault = fault
        return not fault
