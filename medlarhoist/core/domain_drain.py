"""Domain drain: which failure domains receive calls, and how large a part.

The targets of a drained domain receive no call at all. After the end of a drain
they are given a part of the calls that grows to the whole, since caches,
connections and the targets themselves may be cold, and since all nodes would
otherwise return to the domain at the same moment.
"""

from collections.abc import Sequence
from random import Random
from typing import Final

from medlarhoist.core.resource import Change, DomainDrain, key_of
from medlarhoist.core.target import Target

# Longer than nodes take to learn the load of targets that they return to.
RETURN_S: Final = 6.0
FIRST_SHARE: Final = 0.1
# Nodes that have the next version refuse calls of those that wait for it.
REFUSAL_PAUSE_S: Final = 0.5


class DomainDrains:
    """The drains that one node knows of.

    Args:
        drained: failure domains whose targets receive no calls.
    """

    __slots__ = ('_ended_at', '_refused_until', 'drained')

    def __init__(self) -> None:
        """Start without drains."""
        self.drained: frozenset[str] = frozenset()
        self._ended_at: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}

    def update(self, drained: frozenset[str], now: float) -> bool:
        """Set the drained domains of the configuration in force.

        Args:
            drained: names of the domains.
            now: seconds of the monotonic clock.

        Returns:
            Whether they differ from those before.
        """
        ended = self.drained - drained
        for begun in drained:
            self._ended_at.pop(begun, None)
        self._ended_at.update(dict.fromkeys(ended, now))
        is_changed = drained != self.drained
        self.drained = drained
        return is_changed

    def share(self, domain: str, now: float) -> float:
        """Return the part of its calls that a domain receives, 0 to 1.

        Args:
            domain: name of the failure domain.
            now: seconds of the monotonic clock.
        """
        if domain in self.drained:
            return 0
        ended_at = self._ended_at.get(domain)
        if ended_at is None:
            return 1
        passed = max(0, now - ended_at) / RETURN_S
        return min(1, FIRST_SHARE + (1 - FIRST_SHARE) * passed)

    def is_returning(self, domain: str) -> bool:
        """Return whether the part of a domain grows after a drain."""
        return domain in self._ended_at

    def record_refusal(self, domain: str, now: float) -> None:
        """Record that a node refused a call as its domain is drained.

        It has heard of a drain that this node has not, or of an end later. A
        call could be refused by one target of the domain after another, so the
        domain is left out for a moment where there are others.

        Args:
            domain: name of the failure domain.
            now: seconds of the monotonic clock.
        """
        self._refused_until[domain] = now + REFUSAL_PAUSE_S

    def expire(self, now: float) -> tuple[str, ...]:
        """Forget the domains that receive all of their calls again.

        Args:
            now: seconds of the monotonic clock.

        Returns:
            The names of those that have returned after a drain.
        """
        whole = tuple(
            domain
            for domain in sorted(self._ended_at)
            if self.share(domain, now) >= 1
        )
        for domain in whole:
            self._ended_at.pop(domain)
        for refused, until in tuple(self._refused_until.items()):
            if until <= now:
                self._refused_until.pop(refused)
        return whole

    def without_drained(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Return the targets whose domains are not drained."""
        if not self.drained:
            return targets
        return tuple(
            target for target in targets if target.domain not in self.drained
        )

    def draw(
        self, targets: Sequence[Target], now: float, rng: Random
    ) -> Sequence[Target]:
        """Return the targets that one attempt may go to.

        A domain that returns after a drain is left out of some attempts, by
        its share. One whose nodes have just refused a call as it is drained is
        left out of all.

        Args:
            targets: targets of domains that are not drained.
            now: seconds of the monotonic clock.
            rng: source of randomness.
        """
        if not self._ended_at and not self._refused_until:
            return targets
        left_out = {
            domain
            for domain in self._ended_at
            if rng.random() >= self.share(domain, now)
        }
        left_out.update(
            domain
            for domain, until in self._refused_until.items()
            if now < until
        )
        if not left_out:
            return targets
        return tuple(
            target for target in targets if target.domain not in left_out
        )


def build_drain_change(domain: str, *, is_drained: bool) -> Change:
    """Return the change that starts or ends the drain of a failure domain.

    Args:
        domain: name of the failure domain.
        is_drained: whether its targets shall receive no calls.
    """
    drain = DomainDrain(name=domain)
    resource = drain if is_drained else None
    return Change(key=key_of(drain), resource=resource)
