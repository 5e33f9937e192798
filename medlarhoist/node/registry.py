"""Registry: the live targets that a node can route to, in every domain.

Targets of the local failure domain come from the membership exchange, those
of other domains from summaries. Local targets come first.
"""

from collections.abc import Callable

from msgspec.structs import replace

from medlarhoist.core.membership import (
    MembershipState,
    live_targets,
    set_target,
)
from medlarhoist.core.membership_damping import Damping, record_target
from medlarhoist.core.summary import (
    CachedSummary,
    Summary,
    SummaryMark,
    is_stale,
    mark_of,
    order_summaries,
)
from medlarhoist.core.target import Target
from medlarhoist.utils.clock import monotonic_seconds, wall_ms

WallClock = Callable[[], int]


class TargetRegistry:
    """The live targets that one node has received, by service and version.

    Args:
        cached_summaries: the newest summary of each other failure domain.
    """

    __slots__ = (
        '_by_version',
        '_clock',
        '_damping',
        '_indexed_revision',
        '_membership',
        '_on_change',
        '_stale_domains',
        '_summary_revision',
        'cached_summaries',
    )

    def __init__(self, membership: MembershipState, clock: WallClock) -> None:
        """Start without summaries.

        Args:
            membership: the members as this node has received them; updated
                with the target beside the node.
            clock: returns milliseconds since 1970.
        """
        self._by_version: dict[tuple[str, str], tuple[Target, ...]] = {}
        self._clock = clock
        self._damping = Damping()
        self._indexed_revision = -1
        self._membership = membership
        self._on_change: Callable[[], None] = _do_nothing
        self._summary_revision = 0
        self._stale_domains: frozenset[str] = frozenset()
        self.cached_summaries: dict[str, CachedSummary] = {}

    @property
    def revision(self) -> int:
        """Return a number that grows with every change of the targets."""
        return self._membership.revision + self._summary_revision

    def on_change(self, callback: Callable[[], None]) -> None:
        """Set the function to call when the announced target has changed."""
        self._on_change = callback

    def announce(self, target: Target) -> None:
        """Announce the target beside this node to the failure domain.

        A target that often became unready is announced as ready only once it
        has stayed ready for a while, see core.membership_damping.
        """
        self._update_local_target(target)

    def withdraw(self) -> None:
        """Announce that there is no target beside this node any more."""
        self._update_local_target(None)

    def local_targets(self) -> tuple[Target, ...]:
        """Return the target announced for this VM, empty for none."""
        target = self._membership.local_member.target
        return (target,) if target else ()

    def targets(self, service: str, label: str) -> tuple[Target, ...]:
        """Return the live targets of a version, those of this domain first.

        Args:
            service: name of the service.
            label: its version; empty for those of every version.
        """
        if self._indexed_revision != self.revision:
            self._build_index()
        return self._by_version.get((service, label), ())

    def domain_targets(self) -> tuple[Target, ...]:
        """Return the targets of the local failure domain, by node."""
        return live_targets(self._membership)

    def update_summary(self, summary: Summary) -> bool:
        """Cache a received summary if it is newer than the cached one.

        Returns:
            Whether it was cached, in which case the caller passes it on; a
            summary of the local failure domain never is.
        """
        if summary.domain == self._membership.local_member.domain:
            return False
        mark = mark_of(summary)
        cached = self.cached_summaries.get(summary.domain)
        if cached is not None and mark.sequence <= cached.mark.sequence:
            return False
        self.cached_summaries[summary.domain] = CachedSummary(
            summary=summary,
            mark=mark,
            confirmed_ms=self._clock() - summary.age_ms,
        )
        if cached is None or cached.mark.digest != mark.digest:
            self._summary_revision += 1
        return True

    def confirm_summaries(self, ages_ms: dict[str, int]) -> None:
        """Update when summaries were last confirmed, and which are stale.

        It is also called periodically without ages, since summaries become
        stale by time alone.

        Args:
            ages_ms: time since the summary of a domain was confirmed, in
                milliseconds by domain; others stay as they are.
        """
        now_ms = self._clock()
        for domain, age_ms in ages_ms.items():
            cached = self.cached_summaries.get(domain)
            if cached is not None:
                confirmed_ms = max(cached.confirmed_ms, now_ms - age_ms)
                self.cached_summaries[domain] = replace(
                    cached, confirmed_ms=confirmed_ms
                )
        self._update_stale(now_ms)

    def ages_ms(self) -> dict[str, int]:
        """Return the milliseconds since confirmation of each summary."""
        now_ms = self._clock()
        return {
            domain: now_ms - cached.confirmed_ms
            for domain, cached in self.cached_summaries.items()
        }

    def marks(self) -> dict[str, SummaryMark]:
        """Return the marks of the cached summaries by domain."""
        return {
            domain: cached.mark
            for domain, cached in self.cached_summaries.items()
        }

    def summaries(self) -> tuple[Summary, ...]:
        """Return the cached summaries with their current ages."""
        ages = self.ages_ms()
        return tuple(
            replace(cached.summary, age_ms=ages[domain])
            for domain, cached in self.cached_summaries.items()
        )

    def _update_stale(self, now_ms: int) -> None:
        stale = frozenset(
            domain
            for domain, cached in self.cached_summaries.items()
            if is_stale(cached, now_ms)
        )
        if stale != self._stale_domains:
            self._stale_domains = stale
            self._summary_revision += 1

    def _update_local_target(self, target: Target | None) -> None:
        now = monotonic_seconds()
        self._damping = record_target(self._damping, target, now)
        announced = self._damping.told
        if self._membership.local_member.target != announced:
            set_target(self._membership, announced)
            self._on_change()

    def _build_index(self) -> None:
        index: dict[tuple[str, str], list[Target]] = {}
        summaries = order_summaries(
            self.cached_summaries.values(), self._clock()
        )
        groups = [
            self.domain_targets(),
            *(summary.targets for summary in summaries),
        ]
        for group in groups:
            for target in group:
                for label in (target.label, ''):
                    key = target.service, label
                    index.setdefault(key, []).append(target)
        self._by_version = {
            key: tuple(targets) for key, targets in index.items()
        }
        self._indexed_revision = self.revision


def _do_nothing() -> None:
    """Do nothing on a change."""


def create_registry(membership: MembershipState) -> TargetRegistry:
    """Return the registry of a node with this membership."""
    return TargetRegistry(membership, wall_ms)
