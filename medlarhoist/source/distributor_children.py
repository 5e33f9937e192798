"""Children: the keepers that are attached to a source."""

import time
from collections.abc import Callable
from itertools import chain
from typing import Any

from loguru import logger

from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.floor import epoch_of
from medlarhoist.core.interfaces import Ledger
from medlarhoist.core.keeper_plan import KeeperView
from medlarhoist.source.distributor_plan import DomainView
from medlarhoist.source.distributor_views import (
    Sightings,
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
    Up,
)
from medlarhoist.wire.procedures import ATTACH
from medlarhoist.wire.rpc import Method, Serve
from medlarhoist.wire.session import Session, serve_session
from medlarhoist.wire.snapshot_history import SnapshotHistory


class Children:
    """The sessions of keepers, and what was sent to them."""

    __slots__ = (
        '_assigner',
        '_epochs',
        '_history',
        '_leader',
        '_ledger',
        '_on_change',
        '_on_report',
        '_published',
        '_sessions',
        '_sightings',
    )

    def __init__(
        self,
        ledger: Ledger,
        assigner: KeeperAssigner,
        on_report: Callable[[str, tuple[EvidenceRow, ...]], None],
        on_change: Callable[[], None],
        leader: Callable[[], str],
    ) -> None:
        """Start without keepers."""
        self._assigner = assigner
        self._epochs: dict[str, int] = {}
        self._history = SnapshotHistory()
        self._leader = leader
        self._ledger = ledger
        self._on_change = on_change
        self._on_report = on_report
        self._published = (0, 0)
        self._sessions: dict[str, Session] = {}
        self._sightings = Sightings(time.monotonic())

    def procedures(self) -> dict[Method, Serve]:
        """Return the procedure by which keepers attach."""
        return {ATTACH: self._serve}

    def publish(self) -> None:
        """Send what is new in the replicated state to every keeper."""
        state = self._ledger.state
        active = state.active.version
        staged = state.staged.snapshot if state.staged else None
        self._history.put(state.active)
        self._publish_keepers()
        if staged is not None:
            self._history.put(staged)
        current = (active, staged.version if staged else 0)
        before = self._published
        self._published = current
        for session in self._sessions.values():
            if before[1] not in {0, active, current[1]}:
                session.send(Abandoned(version=before[1]))
            if before[0] != active:
                session.send(self._activated(session))
            if current[1] and before[1] != current[1]:
                self._offer(session, current[1])

    def beat(self) -> None:
        """Repeat the active version, so that keepers know of this source."""
        for session in self._sessions.values():
            session.send(self._activated(session))

    def drop_all(self, address: str) -> None:
        """Send every keeper to another source."""
        for session in list(self._sessions.values()):
            session.send(Redirect(address=address, reason='not the leader'))
            session.close()
        self._sessions.clear()
        self._sightings.reset(time.monotonic())

    def views(self, version: int, now: float) -> dict[str, DomainView]:
        """Return what is known of each domain about a version."""
        sessions = tuple(self._sessions.values())
        return {
            domain: domain_view(
                keepers,
                sessions,
                version,
                self._sightings.silence(domain, now),
            )
            for domain, keepers in self._ledger.state.keepers.items()
        }

    def keeper_views(self, domain: str, now: float) -> dict[str, KeeperView]:
        """Return what is known of the keepers of a domain."""
        keepers = self._ledger.state.keepers.get(domain)
        return keeper_views(keepers, self._sessions, self._sightings, now)

    async def _serve(self, stream: Any) -> None:
        await serve_session(stream, self._open, self._receive, self._end)

    def _open(self, session: Session) -> bool:
        address = self._refuse(session.hello)
        if address is not None:
            session.send(Redirect(address=address, reason='not admitted'))
            return False
        known = self._sessions.pop(session.name, None)
        if known:
            known.closed.set()
        self._sessions[session.name] = session
        logger.info('distributor: keeper {} is attached', session.name)
        self._greet(session)
        self._on_change()
        return True

    def _refuse(self, hello: Hello) -> str | None:
        if not self._ledger.is_leader:
            return self._leader()
        keepers = self._ledger.state.keepers.get(hello.domain)
        if keepers is None:
            return ''
        if hello.node in keepers.members:
            return None
        return min(keepers.members.values())

    def _greet(self, session: Session) -> None:
        state = self._ledger.state
        session.send(Keepers(sets=tuple(state.keepers.values())))
        active = state.active.version
        if session.delta_base.version < active:
            self._offer(session, active)
        session.send(self._activated(session))
        if state.staged:
            self._offer(session, state.staged.snapshot.version)

    def _receive(self, session: Session, message: Up) -> None:
        hello = session.hello
        self._assigner.note_node(hello.domain, hello.node, hello.address)
        if isinstance(message, Hello):
            self._greet(session)
        if isinstance(message, Report):
            self._on_report(hello.domain, message.rows)
            return
        if isinstance(message, Ack):
            for name, address in message.spare.items():
                self._assigner.note_node(hello.domain, name, address)
        self._on_change()

    def _end(self, session: Session) -> None:
        now = time.monotonic()
        self._sightings.note(session.name, now)
        self._sightings.note(session.hello.domain, now)
        if self._sessions.get(session.name) is session:
            self._sessions.pop(session.name)
            self._assigner.forget_node(session.hello.domain, session.name)
            logger.info('distributor: keeper {} is gone', session.name)
            self._on_change()

    def _publish_keepers(self) -> None:
        sets = self._ledger.state.keepers
        epochs = {domain: known.epoch for domain, known in sets.items()}
        if epochs == self._epochs:
            return
        self._epochs = epochs
        members = chain(*(keepers.members for keepers in sets.values()))
        self._sightings.expect(members, time.monotonic())
        for session in list(self._sessions.values()):
            session.send(Keepers(sets=tuple(sets.values())))
            if session.name not in sets[session.hello.domain].members:
                session.close()

    def _offer(self, session: Session, version: int) -> None:
        base = session.delta_base
        stage = self._history.stage(version, base.version, base.digest)
        if stage is not None:
            session.offer(stage, self._history.digest(version))

    def _activated(self, session: Session) -> Activated:
        state = self._ledger.state
        keepers = state.keepers.get(session.hello.domain)
        return Activated(
            version=state.active.version,
            epoch=epoch_of(keepers),
        )
