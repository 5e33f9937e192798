"""Receiver: what a node does with the messages of its parent."""

import time
from collections.abc import Callable
from typing import Final

from loguru import logger

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.evidence import EvidenceRow, merge_rows
from medlarhoist.core.interfaces import EvidenceSource
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.snapshot import SCHEMA
from medlarhoist.core.summary import Summary
from medlarhoist.node.configuration import Configuration
from medlarhoist.node.downlink import Downlink
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.wire.acks import is_complete, sum_acks
from medlarhoist.wire.message import (
    Abandoned,
    Ack,
    Activated,
    Ages,
    Down,
    Established,
    Hello,
    Keepers,
    Report,
    Stage,
)

REPORT_SECONDS: Final = 0.25
BEHIND_SECONDS: Final = 1.5
MS_PER_SECOND: Final = 1000


class Receiver:
    """Applies the messages of the parent and makes those for it."""

    __slots__ = (
        '_cfg',
        '_configuration',
        '_directory',
        '_downlink',
        '_evidence',
        '_keeper',
        '_on_ages',
        '_on_summary',
        '_behind_since',
        '_fresh_at',
        '_reported',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        configuration: Configuration,
        directory: Directory,
        keeper: Keeper,
        downlink: Downlink,
        evidence: EvidenceSource,
    ) -> None:
        """Keep the parts that messages are for."""
        self._cfg = cfg
        self._configuration = configuration
        self._directory = directory
        self._downlink = downlink
        self._evidence = evidence
        self._keeper = keeper
        self._on_ages: Callable[[dict[str, int]], None] = _ignore_ages
        self._on_summary: Callable[[Summary], bool] = _ignore
        self._behind_since: float = 0
        self._fresh_at = time.monotonic()
        self._reported: float = 0

    def on_summary(
        self,
        callback: Callable[[Summary], bool],
        on_ages: Callable[[dict[str, int]], None],
    ) -> None:
        """Give summaries of other domains, and their ages, away.

        Args:
            callback: gets a summary; True passes it on to the children.
            on_ages: gets the ages by domain, in milliseconds.
        """
        self._on_summary = callback
        self._on_ages = on_ages

    def receive(self, message: Down) -> bool:
        """Apply one message and say whether the whole is needed.

        Returns:
            True where the parent shall send whole snapshots.
        """
        if isinstance(message, Stage):
            return self._stage(message)
        if isinstance(message, Established):
            return self._establish(message)
        if isinstance(message, Activated):
            self._fresh_at = time.monotonic()
            return not self._keeper.activate(message.version, message.epoch)
        if isinstance(message, Abandoned):
            self._configuration.abandon(message.version)
            self._downlink.broadcast(message)
        elif isinstance(message, Keepers):
            self.adopt_sets(message.sets)
        elif isinstance(message, Summary) and self._on_summary(message):
            self._downlink.broadcast(message)
        elif isinstance(message, Ages):
            self._on_ages(message.ages_ms)
            self._downlink.broadcast(message)
        return False

    def age_seconds(self) -> float:
        """Return the time since the leader was last heard of."""
        return time.monotonic() - self._fresh_at

    def begin(self) -> None:
        """Judge a new parent by what it tells from now on."""
        self._behind_since = 0

    def is_parent_behind(self) -> bool:
        """Say whether the parent has been behind this node for a while."""
        if not self._behind_since:
            return False
        return time.monotonic() - self._behind_since > BEHIND_SECONDS

    def adopt_sets(self, sets: tuple[KeeperSet, ...]) -> None:
        """Take over newer keeper sets and pass them on."""
        if self._directory.adopt(sets):
            self.follow_directory()
            self._downlink.broadcast(Keepers(sets=sets))

    def follow_directory(self) -> None:
        """Take over the role that the newest known set gives to this node."""
        self._keeper.adopt(self._directory.domain_keepers)
        self._downlink.drop_misfits()

    def hello(self, *, whole: bool) -> Hello:
        """Return the message that opens a stream or asks for the whole."""
        version = self._configuration.established
        return Hello(
            node=self._cfg.name,
            domain=self._cfg.domain,
            address=self._cfg.control,
            active=version,
            digest=self._configuration.history.digest(version),
            schema=SCHEMA,
            whole=whole,
            ready=self._keeper.ready,
        )

    def is_complete(self) -> bool:
        """Say whether the newest acknowledgement can be sent at once."""
        return is_complete(self.acks()[-1])

    def acks(self) -> list[Ack]:
        """Return what the subtree acknowledges, oldest version first."""
        versions = self._configuration.concerned_versions()
        sessions = tuple(self._downlink.sessions.values())
        return [
            sum_acks(self._own_ack(version), sessions) for version in versions
        ]

    def reports(self) -> list[Report]:
        """Return the evidence that is due, at most every 0.25 s."""
        now = time.monotonic()
        if now - self._reported < REPORT_SECONDS:
            return []
        self._reported = now
        rows: tuple[EvidenceRow, ...] = (
            *self._evidence.drain(),
            *self._downlink.take_rows(),
        )
        return [Report(rows=merge_rows(rows))] if rows else []

    def _own_ack(self, version: int) -> Ack:
        holds = self._configuration.holds(version)
        active = self._configuration.active
        in_force = active is not None and active.version >= version
        refusals = self._configuration.faults_of(version)
        silent = not holds and not refusals
        return Ack(
            version=version,
            staged=int(holds),
            active=int(in_force),
            nodes=1,
            refusals=refusals,
            lagging=(self._cfg.name,) if silent else (),
            holds=holds,
            ready=self._keeper.ready,
        )

    def _judge_parent(self, message: Established) -> None:
        now = time.monotonic()
        told_at = now - message.age_ms / MS_PER_SECOND
        self._fresh_at = max(self._fresh_at, told_at)
        floor = self._configuration.floor or 0
        if message.version >= max(floor, self._configuration.established):
            self._behind_since = 0
        elif not self._behind_since:
            self._behind_since = now

    def _stage(self, message: Stage) -> bool:
        staging = self._configuration.stage(message)
        if staging.faults:
            logger.warning(
                'configuration: version {} is refused: {}',
                message.version,
                staging.faults[0].message,
            )
        if staging.holds and message.version > self._configuration.established:
            self._downlink.offer(message.version)
        return staging.mismatch

    def _establish(self, message: Established) -> bool:
        self._judge_parent(message)
        before = self._configuration.established
        if not self._configuration.establish(message.version):
            return True
        if self._configuration.established > before:
            self._downlink.broadcast(message)
        return False


def _ignore_ages(ages_ms: dict[str, int]) -> None:
    """Do nothing with ages."""


def _ignore(summary: Summary) -> bool:
    """Pass no summary on."""
    return False
