"""Distributor views: the leader's state of domains and keepers."""

from collections.abc import Iterable, Mapping

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.keeper_plan import KeeperView
from medlarhoist.source.distributor_plan import DomainView
from medlarhoist.wire.message import Ack
from medlarhoist.wire.session import Session


class AttachmentTimes:
    """When keepers and domains were last attached, in monotonic seconds."""

    __slots__ = ('_expected', '_last_attached', '_members', '_started')

    def __init__(self, now: float) -> None:
        """Start without keepers.

        Args:
            now: counts as the last time for those that were never attached.
        """
        self._expected: dict[str, float] = {}
        self._members: set[str] = set()
        self._last_attached: dict[str, float] = {}
        self._started = now

    def reset(self, now: float) -> None:
        """Remove all times and start again at `now`.

        Called while this source does not lead.
        """
        self._expected.clear()
        self._last_attached.clear()
        self._started = now

    def expect(self, members: Iterable[str], now: float) -> None:
        """Set the keepers of all domains; new ones are expected from now on.

        Args:
            members: names of the keepers.
            now: seconds of the monotonic clock.
        """
        expected = set(members)
        for name in expected - self._members:
            self._expected[name] = now
            self._last_attached.pop(name, None)
        self._members = expected

    def record_attached(self, name: str, now: float) -> None:
        """Record that a keeper or a domain was attached until now.

        Args:
            name: name of the keeper, or of the domain that it belongs to.
            now: seconds of the monotonic clock.
        """
        self._last_attached[name] = now

    def seconds_since_attached(self, name: str, now: float) -> float:
        """Return the seconds since a keeper or domain was last attached.

        They count from when the keeper was expected if it has not been
        attached since, and from the start if it was not expected either.
        """
        expected = self._expected.get(name, self._started)
        return now - self._last_attached.get(name, expected)

    def was_attached(self, name: str) -> bool:
        """Return whether a keeper was attached since it was expected.

        A session counts once it has ended.
        """
        return name in self._last_attached


def sessions_of_domain(
    sessions: Iterable[Session], domain: str
) -> list[Session]:
    """Return the sessions of one failure domain."""
    return [session for session in sessions if session.hello.domain == domain]


def domain_view(
    keepers: KeeperSet,
    sessions: Iterable[Session],
    version: int,
    silent_seconds: float,
) -> DomainView:
    """Return the state of one domain for a version.

    Args:
        keepers: keeper set of the domain.
        sessions: the sessions of all attached keepers.
        version: the version.
        silent_seconds: time since a keeper of the domain was last attached;
            not used if one is attached.
    """
    attached = sessions_of_domain(sessions, keepers.domain)
    return DomainView(
        keepers=len(keepers.members),
        acks=tuple(_ack(session, version) for session in attached),
        silent_seconds=0 if attached else silent_seconds,
        attached=tuple(sorted(session.name for session in attached)),
    )


def keeper_views(
    keepers: KeeperSet | None,
    sessions: Mapping[str, Session],
    attachment_times: AttachmentTimes,
    now: float,
) -> dict[str, KeeperView]:
    """Return the observed state of each keeper of a domain, by name.

    Args:
        keepers: keeper set of the domain, None if it has none.
        sessions: the sessions of all attached keepers, by name.
        attachment_times: when keepers were last attached.
        now: seconds of the monotonic clock.
    """
    views = {}
    for name in keepers.members if keepers else ():
        session = sessions.get(name)
        since_attached_s = attachment_times.seconds_since_attached(name, now)
        views[name] = KeeperView(
            ready=_ready(session) if session else 0,
            silent_seconds=0 if session else since_attached_s,
            was_attached=attachment_times.was_attached(name),
        )
    return views


def _ready(session: Session) -> int:
    newest = session.newest_ack()
    return max(session.hello.ready, newest.ready if newest else 0)


def _ack(session: Session, version: int) -> Ack:
    """Return the acknowledgement of a keeper for a version.

    That of a later version replaces a missing one: nodes that have the later
    version in force count as having this one. A keeper without either lags.
    """
    found = session.ack_for(version)
    if found is not None and found.version == version:
        return found
    newest = session.newest_ack()
    nodes = newest.nodes if newest else 1
    staged = found.active if found else 0
    return Ack(
        version=version,
        staged=staged,
        active=staged,
        nodes=nodes,
        lagging=() if found else (session.name,),
    )
