"""Children: the keepers that are attached to a source.

Keepers are the nodes that a source sends versions to; other nodes are
attached to keepers or to each other, as a tree.
"""

import time
from collections.abc import Callable
from functools import partial
from itertools import chain
from typing import Any

from loguru import logger

from medlarhoist.core.acceptance import AcceptanceTimes
from medlarhoist.core.confirmation import Contact, make_contact
from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.floor import epoch_of
from medlarhoist.core.interfaces import Ledger
from medlarhoist.core.keeper_plan import KeeperView
from medlarhoist.source.account_limits import AccountLimits
from medlarhoist.source.distributor_plan import DomainView
from medlarhoist.source.distributor_views import (
    AttachmentTimes,
    domain_view,
    keeper_views,
)
from medlarhoist.source.keepers import KeeperAssigner
from medlarhoist.wire.message import (
    Abandoned,
    Ack,
    Activated,
    Hello,
    Keepers,
    Redirect,
    Report,
    UpMessage,
)
from medlarhoist.wire.procedures import ATTACH
from medlarhoist.wire.rpc import Method, StreamHandler
from medlarhoist.wire.session import Session, send_to_child, serve_session
from medlarhoist.wire.snapshot_history import SnapshotHistory


class Children:
    """The sessions of the attached keepers, and what was sent to them.

    Args:
        account_limits: divides the rates of accounts among the keepers.
    """

    __slots__ = (
        '_acceptance',
        '_assigner',
        '_attachment_times',
        '_epochs',
        '_history',
        '_leader',
        '_ledger',
        '_on_change',
        '_on_report',
        '_published',
        '_sessions',
        'account_limits',
    )

    def __init__(
        self,
        ledger: Ledger,
        assigner: KeeperAssigner,
        on_report: Callable[[str, tuple[EvidenceRow, ...]], None],
        on_change: Callable[[], None],
        leader: Callable[[], str],
    ) -> None:
        """Start without keepers.

        Args:
            ledger: the replicated log.
            assigner: records the nodes that keepers report.
            on_report: called with the domain and the evidence of a report.
            on_change: called when a keeper attaches or detaches, and for each
                message of a keeper that is not a report.
            leader: returns the control address of the leader, empty if it is
                unknown.
        """
        self._acceptance = AcceptanceTimes()
        self._assigner = assigner
        self._epochs: dict[str, int] = {}
        self._history = SnapshotHistory()
        self._leader = leader
        self._ledger = ledger
        self._on_change = on_change
        self._on_report = on_report
        self._published = (0, 0)
        self._sessions: dict[str, Session] = {}
        self._attachment_times = AttachmentTimes(time.monotonic())
        self.account_limits = AccountLimits(
            partial(send_to_child, self._sessions)
        )

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure by which keepers attach, by method."""
        return {ATTACH: self._serve}

    def publish(self) -> None:
        """Send what changed in the replicated state to every keeper."""
        state = self._ledger.state
        active = state.active.version
        staged = state.staged.snapshot if state.staged else None
        self._history.active = active
        self._history.put(state.active)
        self._publish_keepers()
        if staged is not None:
            self._history.put(staged)
        current = (active, staged.version if staged else 0)
        before = self._published
        self._published = current
        if before[0] != active:
            self._acceptance.record(active, 0, time.monotonic())
        for session in self._sessions.values():
            if before[1] not in {0, active, current[1]}:
                session.send(Abandoned(version=before[1]))
            if before[0] != active:
                session.send(self._activated(session))
            if current[1] and before[1] != current[1]:
                self._stage(session, current[1])

    def send_heartbeats(self) -> None:
        """Send the active version again, so that keepers stay attached."""
        for session in self._sessions.values():
            session.send(self._activated(session))

    def redirect_all(self, address: str) -> None:
        """Redirect every keeper to another source and end its session.

        Args:
            address: control address of the source, empty if it is unknown.
        """
        for session in list(self._sessions.values()):
            session.send(Redirect(address=address, reason='not the leader'))
            session.close()
        self._sessions.clear()
        self.account_limits.reset()
        self._attachment_times.reset(time.monotonic())

    def views(self, version: int, now: float) -> dict[str, DomainView]:
        """Return the state of each domain for a version, by name.

        Args:
            version: the version.
            now: seconds of the monotonic clock.
        """
        sessions = tuple(self._sessions.values())
        return {
            domain: domain_view(
                keepers,
                sessions,
                version,
                self._attachment_times.seconds_since_attached(domain, now),
            )
            for domain, keepers in self._ledger.state.keepers.items()
        }

    def keeper_views(self, domain: str, now: float) -> dict[str, KeeperView]:
        """Return the observed state of each keeper of a domain, by name.

        Args:
            domain: the failure domain.
            now: seconds of the monotonic clock.
        """
        keepers = self._ledger.state.keepers.get(domain)
        return keeper_views(
            keepers, self._sessions, self._attachment_times, now
        )

    async def _serve(self, stream: Any) -> None:
        await serve_session(stream, self._open, self._receive, self._end)

    def _open(self, session: Session) -> bool:
        address = self._redirect_address(session.hello)
        if address is not None:
            session.send(Redirect(address=address, reason='not admitted'))
            return False
        earlier = self._sessions.pop(session.name, None)
        if earlier:
            earlier.closed.set()
        self._sessions[session.name] = session
        self.account_limits.attach(session.name, session.hello.domain)
        logger.info('distributor: keeper {} is attached', session.name)
        self._send_current(session)
        self._on_change()
        return True

    def _redirect_address(self, hello: Hello) -> str | None:
        """Return the address to redirect a node to, None to admit it.

        Only keepers are admitted, and only by the leader. The address is empty
        if none is known.
        """
        if not self._ledger.is_leader:
            return self._leader()
        keepers = self._ledger.state.keepers.get(hello.domain)
        if keepers is None:
            return ''
        if hello.node in keepers.members:
            return None
        return min(keepers.members.values())

    def _send_current(self, session: Session) -> None:
        """Send the keeper sets and the current versions to a keeper."""
        state = self._ledger.state
        session.send(Keepers(sets=tuple(state.keepers.values())))
        active = state.active.version
        if session.delta_base.version < active:
            self._stage(session, active)
        session.send(self._activated(session))
        if state.staged:
            self._stage(session, state.staged.snapshot.version)

    def _receive(self, session: Session, message: UpMessage) -> None:
        hello = session.hello
        self._assigner.record_node(hello.domain, hello.node, hello.address)
        if isinstance(message, Hello):
            self._send_current(session)
        usage = message.usage if isinstance(message, Report) else ()
        self.account_limits.record(session.name, usage)
        if isinstance(message, Report):
            self._on_report(hello.domain, message.rows)
            return
        if isinstance(message, Ack):
            for name, address in message.spare.items():
                self._assigner.record_node(hello.domain, name, address)
        self._on_change()

    def _end(self, session: Session) -> None:
        now = time.monotonic()
        self._attachment_times.record_attached(session.name, now)
        self._attachment_times.record_attached(session.hello.domain, now)
        if self._sessions.get(session.name) is session:
            self._sessions.pop(session.name)
            self.account_limits.detach(session.name)
            self._assigner.remove_node(session.hello.domain, session.name)
            logger.info('distributor: keeper {} is detached', session.name)
            self._on_change()

    def _publish_keepers(self) -> None:
        sets = self._ledger.state.keepers
        epochs = {domain: newest.epoch for domain, newest in sets.items()}
        if epochs == self._epochs:
            return
        self._epochs = epochs
        members = chain(*(keepers.members for keepers in sets.values()))
        self._attachment_times.expect(members, time.monotonic())
        for session in list(self._sessions.values()):
            session.send(Keepers(sets=tuple(sets.values())))
            if session.name not in sets[session.hello.domain].members:
                session.close()

    def _stage(self, session: Session, version: int) -> None:
        """Send a version as a delta to what the keeper holds, or complete."""
        base = session.delta_base
        stage = self._history.stage_message(version, base.version, base.digest)
        if stage is not None:
            session.send_stage(stage, self._history.digest(version))

    def _activated(self, session: Session) -> Activated:
        state = self._ledger.state
        keepers = state.keepers.get(session.hello.domain)
        return Activated(
            version=state.active.version,
            epoch=epoch_of(keepers),
            since_ms=self._acceptance.ms_since(
                state.active.version, time.monotonic()
            ),
            contact=_find_contact(self._ledger, session),
        )


def _find_contact(ledger: Ledger, session: Session) -> Contact | None:
    """Return when the active version was surely the newest, for a keeper."""
    if session.anchor is None:
        return None
    led_at = ledger.led_at
    if led_at is None:
        return None
    return make_contact(ledger.state.active.version, led_at, session.anchor)
