"""Downlink: serves the children of a node in the tree of its domain."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from loguru import logger

from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.tree import choose_redirect, may_admit, rank_of
from medlarhoist.node.configuration import Configuration
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.wire.message import (
    Down,
    Established,
    Hello,
    Keepers,
    Redirect,
    Report,
    UpMessage,
)
from medlarhoist.wire.procedures import ATTACH
from medlarhoist.wire.rpc import Method, StreamHandler
from medlarhoist.wire.session import Session, serve_session

ROWS: Final = 4096


class Downlink:
    """The attached children of one node."""

    __slots__ = (
        '_cfg',
        '_configuration',
        '_directory',
        '_keeper',
        '_on_change',
        '_random',
        'rows',
        'sessions',
        'welcome',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        configuration: Configuration,
        directory: Directory,
        keeper: Keeper,
        random: Random,
    ) -> None:
        """Start without a child."""
        self._cfg = cfg
        self._configuration = configuration
        self._directory = directory
        self._keeper = keeper
        self._on_change: Callable[[], None] = _ignore
        self._random = random
        self.rows: list[EvidenceRow] = []
        self.sessions: dict[str, Session] = {}
        self.welcome: Callable[[], tuple[Down, ...]] = tuple

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back when the children acknowledge or change."""
        self._on_change = callback

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure by which children attach."""
        return {ATTACH: self._serve}

    def offer(self, version: int) -> None:
        """Send a compiled version to every child."""
        for session in self.sessions.values():
            self._offer(session, version)

    def establish(self, version: int) -> None:
        """Tell every child that a version is established."""
        self.broadcast(Established(version=version, epoch=self._epoch()))

    def broadcast(self, message: Down) -> None:
        """Send a message to every child."""
        for session in self.sessions.values():
            session.send(message)

    def drop_all(self, address: str, reason: str) -> None:
        """Send every child elsewhere."""
        for session in list(self.sessions.values()):
            session.send(Redirect(address=address, reason=reason))
            session.close()

    def drop_misfits(self) -> None:
        """Send away children that only a keeper may have, if this is none."""
        if self._keeper.is_keeper:
            return
        for session in list(self.sessions.values()):
            if rank_of(session.name) < rank_of(self._cfg.name):
                session.send(Redirect(address='', reason='no keeper'))
                session.close()

    def take_rows(self) -> tuple[EvidenceRow, ...]:
        """Return and forget the evidence that the children reported."""
        rows = tuple(self.rows)
        self.rows = []
        return rows

    async def _serve(self, stream: Any) -> None:
        await serve_session(stream, self._open, self._receive, self._end)

    def _open(self, session: Session) -> bool:
        hello = session.hello
        admitted = may_admit(
            self._cfg.name,
            hello.node,
            is_keeper=self._keeper.is_keeper,
            children=len(self.sessions.keys() - {hello.node}),
        )
        if hello.domain != self._cfg.domain or not admitted:
            address = ''
            if hello.domain == self._cfg.domain:
                address = choose_redirect(
                    _addresses(self.sessions), hello.node, self._random
                )
            session.send(Redirect(address=address, reason='not admitted'))
            return False
        known = self.sessions.pop(hello.node, None)
        if known:
            known.closed.set()
        self.sessions[hello.node] = session
        logger.debug('tree: child {} is attached', hello.node)
        self._greet(session)
        self._on_change()
        return True

    def _greet(self, session: Session) -> None:
        session.send(Keepers(sets=tuple(self._directory.sets.values())))
        established = self._configuration.established
        if session.delta_base.version < established:
            self._offer(session, established)
        session.send(Established(version=established, epoch=self._epoch()))
        staged = self._configuration.staged
        if staged:
            self._offer(session, staged)
        for message in self.welcome():
            session.send(message)

    def _receive(self, session: Session, message: UpMessage) -> None:
        if isinstance(message, Hello):
            self._greet(session)
        if isinstance(message, Report):
            self.rows.extend(message.rows)
            self.rows = self.rows[-ROWS:]
        self._on_change()

    def _end(self, session: Session) -> None:
        if self.sessions.get(session.name) is session:
            self.sessions.pop(session.name)
            logger.debug('tree: child {} is gone', session.name)
            self._on_change()

    def _offer(self, session: Session, version: int) -> None:
        history = self._configuration.history
        base = session.delta_base
        stage = history.stage_message(version, base.version, base.digest)
        if stage is not None:
            session.send_stage(stage, history.digest(version))

    def _epoch(self) -> int:
        keepers = self._directory.domain_keepers
        return keepers.epoch if keepers else 0


def _ignore() -> None:
    """Do nothing on a change."""


def _addresses(sessions: dict[str, Session]) -> dict[str, str]:
    return {name: session.hello.address for name, session in sessions.items()}
