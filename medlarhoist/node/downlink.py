"""Downlink: serves the children of a node in the tree of its domain.

Configuration versions are sent down the tree. A keeper, a node that is a
voting member of the domain's quorum, may have any node of the domain as a
child. Any other node may only have children of higher rank.
"""

import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final

from loguru import logger
from msgspec.structs import replace

from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.floor import epoch_of
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.tree import choose_redirect, may_admit, rank_of
from medlarhoist.node.account_limits import AccountLimits
from medlarhoist.node.configuration import Configuration
from medlarhoist.node.join import Directory
from medlarhoist.node.keeper import Keeper
from medlarhoist.wire.message import (
    DownMessage,
    Established,
    Hello,
    Keepers,
    Redirect,
    Report,
    UpMessage,
)
from medlarhoist.wire.procedures import ATTACH
from medlarhoist.wire.rpc import Method, StreamHandler
from medlarhoist.wire.session import Session, send_to_child, serve_session

MAX_ROWS: Final = 4096
MS_PER_SECOND: Final = 1000


class Downlink:
    """The attached children of one node.

    Args:
        account_limits: is told of the children and the usage they report.
        initial_messages: returns further messages to send to a new child.
        rows: evidence that the children have reported, not sent on yet; at
            most the latest `MAX_ROWS`.
        seconds_since_leader: returns the time since the last contact of this
            node with the leader of the sources.
        sessions: the attached children by name.
    """

    __slots__ = (
        '_cfg',
        '_configuration',
        '_directory',
        '_keeper',
        '_on_change',
        '_random',
        'account_limits',
        'initial_messages',
        'rows',
        'seconds_since_leader',
        'sessions',
    )

    def __init__(
        self,
        cfg: NodeSettings,
        configuration: Configuration,
        directory: Directory,
        keeper: Keeper,
        random: Random,
    ) -> None:
        """Start without children."""
        self._cfg = cfg
        self._configuration = configuration
        self._directory = directory
        self._keeper = keeper
        self._on_change: Callable[[], None] = _ignore
        self._random = random
        self.rows: list[EvidenceRow] = []
        self.sessions: dict[str, Session] = {}
        self.account_limits = AccountLimits(
            cfg.name, random, partial(send_to_child, self.sessions)
        )
        self.initial_messages: Callable[[], tuple[DownMessage, ...]] = tuple
        self.seconds_since_leader: Callable[[], float] = float

    def on_change(self, callback: Callable[[], None]) -> None:
        """Set the callback for each message of a child.

        It also runs when a child attaches or detaches.
        """
        self._on_change = callback

    def procedures(self) -> dict[Method, StreamHandler]:
        """Return the procedure that children call to attach."""
        return {ATTACH: self._serve}

    def offer(self, version: int) -> None:
        """Send a version to every child, to be staged.

        Args:
            version: a version that this node has compiled.
        """
        for session in self.sessions.values():
            self._offer(session, version)

    def send_established(self) -> None:
        """Announce the established version to every child."""
        told = self.established()
        for session in self.sessions.values():
            session.send(_add_contact(told, self._configuration, session))

    def established(self) -> Established:
        """Return the message that tells the established version.

        It has no contact, which is another one for each child.
        """
        version = self._configuration.established
        acceptance = self._configuration.acceptance
        return Established(
            version=version,
            epoch=epoch_of(self._directory.domain_keepers),
            age_ms=int(self.seconds_since_leader() * MS_PER_SECOND),
            since_ms=acceptance.ms_since(version, time.monotonic()),
        )

    def broadcast(self, message: DownMessage) -> None:
        """Send a message to every child."""
        for session in self.sessions.values():
            session.send(message)

    def redirect_all(self, address: str, reason: str) -> None:
        """Redirect every child and close its session.

        Args:
            address: control address to attach to, empty for none.
            reason: text to send with the redirect.
        """
        for session in list(self.sessions.values()):
            session.send(Redirect(address=address, reason=reason))
            session.close()

    def drop_lower_ranked(self) -> None:
        """Redirect children of lower rank, unless this node is a keeper.

        Only a keeper may have such children, as they could form a loop.
        """
        if self._keeper.is_keeper:
            return
        for session in list(self.sessions.values()):
            if rank_of(session.name) < rank_of(self._cfg.name):
                session.send(Redirect(address='', reason='no keeper'))
                session.close()

    def pop_rows(self) -> tuple[EvidenceRow, ...]:
        """Return and discard the evidence that the children reported."""
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
        previous = self.sessions.pop(hello.node, None)
        if previous:
            previous.closed.set()
        self.sessions[hello.node] = session
        logger.debug('tree: child {} attached', hello.node)
        self.account_limits.attach(hello.node)
        self._send_initial(session)
        self._on_change()
        return True

    def _send_initial(self, session: Session) -> None:
        session.send(Keepers(sets=tuple(self._directory.sets.values())))
        established = self._configuration.established
        if session.delta_base.version < established:
            self._offer(session, established)
        told = self.established()
        session.send(_add_contact(told, self._configuration, session))
        staged = self._configuration.staged
        if staged:
            self._offer(session, staged)
        for message in self.initial_messages():
            session.send(message)

    def _receive(self, session: Session, message: UpMessage) -> None:
        if isinstance(message, Hello):
            self._send_initial(session)
        usage = message.usage if isinstance(message, Report) else ()
        self.account_limits.record(session.name, usage)
        if isinstance(message, Report):
            self.rows.extend(message.rows)
            self.rows = self.rows[-MAX_ROWS:]
        self._on_change()

    def _end(self, session: Session) -> None:
        if self.sessions.get(session.name) is session:
            self.sessions.pop(session.name)
            self.account_limits.detach(session.name)
            logger.debug('tree: child {} detached', session.name)
            self._on_change()

    def _offer(self, session: Session, version: int) -> None:
        history = self._configuration.history
        base = session.delta_base
        stage = history.stage_message(version, base.version, base.digest)
        if stage is not None:
            session.send_stage(stage, history.digest(version))


def _add_contact(
    told: Established, configuration: Configuration, session: Session
) -> Established:
    contact = configuration.confirmations.contact_for(session.anchor)
    return replace(told, contact=contact)


def _ignore() -> None:
    """Ignore a change."""


def _addresses(sessions: dict[str, Session]) -> dict[str, str]:
    return {name: session.hello.address for name, session in sessions.items()}
