"""Receiver: applies the messages of the parent.

It also makes the messages that the node sends to its parent: hellos,
acknowledgements and evidence.
"""

import time
from collections.abc import Callable
from typing import Final

from loguru import logger
from msgspec.structs import replace

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
from medlarhoist.utils.clock import boot_seconds
from medlarhoist.wire.acks import sum_acks
from medlarhoist.wire.message import (
    Abandoned,
    Ack,
    Activated,
    Ages,
    DownMessage,
    Established,
    Hello,
    Keepers,
    Report,
    Shares,
    Stage,
)

REPORT_SECONDS: Final = 0.25
PARENT_BEHIND_SECONDS: Final = 1.5
# Times of one contact differ by the rounding of ages and the time on the way.
SAME_CONTACT_SECONDS: Final = 0.2
MS_PER_SECOND: Final = 1000


class Receiver:
    """Applies messages of the parent and creates the messages to it."""

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
        '_leader_contact_at',
        '_reported_at',
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
        """Create a receiver that passes messages to these parts."""
        self._cfg = cfg
        self._configuration = configuration
        self._directory = directory
        self._downlink = downlink
        self._evidence = evidence
        self._keeper = keeper
        self._on_ages: Callable[[dict[str, int]], None] = _ignore_ages
        self._on_summary: Callable[[Summary], bool] = _ignore_summary
        self._behind_since: float = 0
        self._leader_contact_at = boot_seconds()
        self._reported_at: float = 0

    def on_summary(
        self,
        callback: Callable[[Summary], bool],
        on_ages: Callable[[dict[str, int]], None],
    ) -> None:
        """Set the callbacks for the summaries of other domains.

        Args:
            callback: called with each summary; returns whether it is newer
                and to be sent on to the children.
            on_ages: called with the time since each summary was confirmed,
                by domain, in milliseconds.
        """
        self._on_summary = callback
        self._on_ages = on_ages

    def receive(self, message: DownMessage) -> bool:
        """Apply one message of the parent.

        Returns:
            Whether the parent must send full snapshots and the keeper sets
            again, because the message could not be applied.
        """
        if isinstance(message, Stage):
            return self.stage(message)
        if isinstance(message, Established):
            self._evaluate_parent(message)
            return self.establish(message)
        if isinstance(message, Activated):
            self._record_contact(boot_seconds())
            _record_times(self._configuration, self._downlink, message)
            return not self._keeper.activate(message.version, message.epoch)
        if isinstance(message, Shares):
            self._downlink.account_limits.receive(message)
        elif isinstance(message, Abandoned):
            self._configuration.abandon(message.version)
            self._downlink.broadcast(message)
        elif isinstance(message, Keepers):
            self._directory.adopt(message.sets)
        else:
            self._receive_summary(message)
        return False

    def seconds_since_leader(self) -> float:
        """Return the seconds since the last contact with the leader.

        The leader of the sources sends to the keepers only; other nodes read
        the age of that contact from the heartbeats of their parents.
        """
        return boot_seconds() - self._leader_contact_at

    def reset_parent(self) -> None:
        """Evaluate a new parent by its own messages only."""
        self._behind_since = 0

    def is_parent_behind(self) -> bool:
        """Return whether the parent has been behind this node for too long.

        It is behind while the established version that it announces is below
        the floor or below this node's; `PARENT_BEHIND_SECONDS` is the limit.
        """
        if not self._behind_since:
            return False
        return time.monotonic() - self._behind_since > PARENT_BEHIND_SECONDS

    def apply_sets(self, sets: tuple[KeeperSet, ...]) -> None:
        """Update the role of this node and tell its children.

        Args:
            sets: keeper sets that the directory has just adopted, from a
                message of the parent or from a reply.
        """
        self._keeper.adopt(self._directory.domain_keepers)
        self._downlink.broadcast(Keepers(sets=sets))
        self._downlink.drop_lower_ranked()

    def hello(self, *, full: bool) -> Hello:
        """Return the message that opens a stream or asks for full snapshots.

        Args:
            full: whether it asks for full snapshots; it is then sent on a
                stream that is already open.
        """
        version = self._configuration.established
        return Hello(
            node=self._cfg.name,
            domain=self._cfg.domain,
            address=self._cfg.control,
            active=version,
            digest=self._configuration.history.digest(version),
            schema=SCHEMA,
            whole=full,
            ready=self._keeper.ready,
            sent_ms=find_sent_ms(self._cfg),
        )

    def acks(self) -> list[Ack]:
        """Return the acknowledgements of the subtree, oldest version first."""
        versions = self._configuration.versions_to_acknowledge()
        sessions = tuple(self._downlink.sessions.values())
        return [
            sum_acks(self._local_ack(version), sessions) for version in versions
        ]

    def reports(self) -> list[Report]:
        """Return evidence and usage of the subtree since the last report.

        There is no evidence within `REPORT_SECONDS` of the last one. What is
        returned is discarded here.
        """
        usage = self._downlink.account_limits.report()
        rows: tuple[EvidenceRow, ...] = ()
        now = time.monotonic()
        if now - self._reported_at >= REPORT_SECONDS:
            self._reported_at = now
            rows = (*self._evidence.drain(), *self._downlink.pop_rows())
        if not rows and not usage:
            return []
        return [Report(rows=merge_rows(rows), usage=usage)]

    def _local_ack(self, version: int) -> Ack:
        holds = self._configuration.holds(version)
        active = self._configuration.active
        in_force = active is not None and active.version >= version
        refusals = self._configuration.faults_of(version)
        is_lagging = not holds and not refusals
        return Ack(
            version=version,
            staged=int(holds),
            active=int(in_force),
            nodes=1,
            refusals=refusals,
            lagging=(self._cfg.name,) if is_lagging else (),
            holds=holds,
            ready=self._keeper.ready,
        )

    def _receive_summary(self, message: DownMessage) -> None:
        """Apply a message on the targets of other domains."""
        if isinstance(message, Summary) and self._on_summary(message):
            self._downlink.broadcast(message)
        elif isinstance(message, Ages):
            self._on_ages(message.ages_ms)
            self._downlink.broadcast(message)

    def _record_contact(self, contact_at: float) -> None:
        """Record a contact with the leader, and pass it on where it counts.

        Limits of accounts depend on its age. Waiting for the heartbeat of each
        node on its way would make it old. Contacts that confirm versions are
        passed on already.
        """
        is_later = contact_at > self._leader_contact_at + SAME_CONTACT_SECONDS
        self._leader_contact_at = max(self._leader_contact_at, contact_at)
        is_passed_on = bool(self._cfg.revocation_ms)
        is_used = self._downlink.account_limits.is_used
        if is_later and is_used and not is_passed_on:
            self._downlink.send_established()

    def _evaluate_parent(self, message: Established) -> None:
        now = time.monotonic()
        contact_at = boot_seconds() - message.age_ms / MS_PER_SECOND
        self._record_contact(contact_at)
        floor = self._configuration.floor or 0
        if message.version >= max(floor, self._configuration.established):
            self._behind_since = 0
        elif not self._behind_since:
            self._behind_since = now

    def stage(self, message: Stage) -> bool:
        """Compile a version and offer it to the children.

        Returns:
            Whether the complete snapshot is needed.
        """
        staged = self._configuration.stage(message)
        if staged.faults:
            logger.warning(
                'configuration: version {} cannot be compiled: {}',
                message.version,
                staged.faults[0].message,
            )
        if staged.holds and message.version > self._configuration.established:
            self._downlink.offer(message.version)
        return staged.mismatch

    def establish(self, message: Established) -> bool:
        """Put an established version in force and tell the children.

        Args:
            message: from the parent or another member of the domain.

        Returns:
            Whether the version must be staged first.
        """
        _record_times(self._configuration, self._downlink, message)
        before = self._configuration.established
        if not self._configuration.establish(message.version):
            return True
        if self._configuration.established > before:
            # The contact of the message is in this node's time.
            self._downlink.broadcast(replace(message, contact=None))
        return False


def _record_times(
    configuration: Configuration,
    downlink: Downlink,
    message: Activated | Established,
) -> None:
    """Record when a version was accepted, and known to be the newest.

    A later contact is passed on at once: waiting for the heartbeat of each
    node on its way would make it old.
    """
    configuration.acceptance.record(
        message.version, message.since_ms, time.monotonic()
    )
    contact = message.contact
    if contact is not None and configuration.confirmations.record(contact):
        downlink.send_established()


def find_sent_ms(cfg: NodeSettings) -> int:
    """Return the time that a message to the parent is sent with.

    Milliseconds of boot_seconds, zero if the node needs no contacts.
    """
    if not cfg.revocation_ms:
        return 0
    return int(boot_seconds() * MS_PER_SECOND)


def _ignore_ages(ages_ms: dict[str, int]) -> None:
    """Ignore ages."""


def _ignore_summary(summary: Summary) -> bool:
    """Ignore a summary; it is not sent on."""
    return False
