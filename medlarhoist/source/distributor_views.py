"""Distributor views: what the leader knows of domains and keepers."""

from collections.abc import Iterable, Mapping

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.keeper_plan import KeeperView
from medlarhoist.source.distributor_plan import DomainView
from medlarhoist.wire.message import Ack
from medlarhoist.wire.session import Session


class Sightings:
    """When keepers and domains were last attached, in monotonic seconds."""

    __slots__ = ('_expected', '_members', '_seen', '_started')

    def __init__(self, now: float) -> None:
        """Start the time of those that were never seen."""
        self._expected: dict[str, float] = {}
        self._members: set[str] = set()
        self._seen: dict[str, float] = {}
        self._started = now

    def reset(self, now: float) -> None:
        """Forget all, as a new leader does."""
        self._expected.clear()
        self._seen.clear()
        self._started = now

    def expect(self, members: Iterable[str], now: float) -> None:
        """Take in who is a keeper; those that are new get time to attach."""
        kept = set(members)
        for name in kept - self._members:
            self._expected[name] = now
            self._seen.pop(name, None)
        self._members = kept

    def note(self, name: str, now: float) -> None:
        """Note that a keeper or a domain was attached until now."""
        self._seen[name] = now

    def silence(self, name: str, now: float) -> float:
        """Return the seconds since it was attached, or expected."""
        expected = self._expected.get(name, self._started)
        return now - self._seen.get(name, expected)

    def was_attached(self, name: str) -> bool:
        """Say whether it was attached since it was expected."""
        return name in self._seen


def of_domain(sessions: Iterable[Session], domain: str) -> list[Session]:
    """Return the sessions of one failure domain."""
    return [session for session in sessions if session.hello.domain == domain]


def domain_view(
    keepers: KeeperSet,
    sessions: Iterable[Session],
    version: int,
    silent_seconds: float,
) -> DomainView:
    """Return what is known of one domain about a version."""
    attached = of_domain(sessions, keepers.domain)
    return DomainView(
        keepers=len(keepers.members),
        acks=tuple(_ack(session, version) for session in attached),
        silent_seconds=0 if attached else silent_seconds,
        attached=tuple(sorted(session.name for session in attached)),
    )


def keeper_views(
    keepers: KeeperSet | None,
    sessions: Mapping[str, Session],
    sightings: Sightings,
    now: float,
) -> dict[str, KeeperView]:
    """Return what is known of the keepers of a domain."""
    views = {}
    for name in keepers.members if keepers else ():
        session = sessions.get(name)
        silent = sightings.silence(name, now)
        views[name] = KeeperView(
            ready=_ready(session) if session else 0,
            silent_seconds=0 if session else silent,
            was_attached=sightings.was_attached(name),
        )
    return views


def _ready(session: Session) -> int:
    newest = session.newest_ack()
    return max(session.hello.ready, newest.ready if newest else 0)


def _ack(session: Session, version: int) -> Ack:
    known = session.ack_for(version)
    if known is not None and known.version == version:
        return known
    newest = session.newest_ack()
    nodes = newest.nodes if newest else 1
    staged = known.active if known else 0
    return Ack(
        version=version,
        staged=staged,
        active=staged,
        nodes=nodes,
        lagging=() if known else (session.name,),
    )
