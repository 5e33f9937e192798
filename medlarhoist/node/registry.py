"""Registry: the live targets that a node knows of, in every domain.

Targets of the own domain come from the membership exchange, those of other
domains from summaries. The own domain comes first.
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
    """The targets known to one node."""

    __slots__ = (
        '_by_version',
        '_clock',
        '_damping',
        '_indexed',
        '_knowledge',
        '_on_change',
        '_stale',
        '_summary_revision',
        'known',
    )

    def __init__(self, knowledge: MembershipState, clock: WallClock) -> None:
        """Start with the targets of the own domain only."""
        self._by_version: dict[tuple[str, str], tuple[Target, ...]] = {}
        self._clock = clock
        self._damping = Damping()
        self._indexed = -1
        self._knowledge = knowledge
        self._on_change: Callable[[], None] = _ignore
        self._summary_revision = 0
        self._stale: frozenset[str] = frozenset()
        self.cached_summaries: dict[str, CachedSummary] = {}

    @property
    def revision(self) -> int:
        """Return a number that grows with every change."""
        return self._knowledge.revision + self._summary_revision

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back when the local target changes."""
        self._on_change = callback

    def announce(self, target: Target) -> None:
        """Tell the domain of the target beside this node."""
        self._tell(target)

    def withdraw(self) -> None:
        """Tell the domain that there is no target any more."""
        self._tell(None)

    def local_targets(self) -> tuple[Target, ...]:
        """Return the targets of this node's own VM."""
        target = self._knowledge.local_member.target
        return (target,) if target else ()

    def targets(self, service: str, label: str) -> tuple[Target, ...]:
        """Return the known targets of a version, the own domain first.

        Args:
            service: name of the service.
            label: its version; empty for those of every version.
        """
        if self._indexed != self.revision:
            self._index()
        return self._by_version.get((service, label), ())

    def domain_targets(self) -> tuple[Target, ...]:
        """Return the targets of the own domain."""
        return live_targets(self._knowledge)

    def adopt_summary(self, told: Summary) -> bool:
        """Take over a newer summary and say whether it was newer."""
        if told.domain == self._knowledge.local_member.domain:
            return False
        mark = mark_of(told)
        known = self.cached_summaries.get(told.domain)
        if known is not None and mark.sequence <= known.mark.sequence:
            return False
        self.cached_summaries[told.domain] = CachedSummary(
            summary=told,
            mark=mark,
            confirmed_ms=self._clock() - told.age_ms,
        )
        if known is None or known.mark.digest != mark.digest:
            self._summary_revision += 1
        return True

    def confirm(self, ages_ms: dict[str, int]) -> None:
        """Note when the summaries of domains were last confirmed.

        Args:
            ages_ms: time since then by domain, in milliseconds.
        """
        now_ms = self._clock()
        for domain, age_ms in ages_ms.items():
            known = self.cached_summaries.get(domain)
            if known is not None:
                told = max(known.confirmed_ms, now_ms - age_ms)
                self.cached_summaries[domain] = replace(
                    known, confirmed_ms=told
                )
        self._note_stale(now_ms)

    def ages_ms(self) -> dict[str, int]:
        """Return the time since each summary was last confirmed."""
        now_ms = self._clock()
        return {
            domain: now_ms - known.confirmed_ms
            for domain, known in self.cached_summaries.items()
        }

    def marks(self) -> dict[str, SummaryMark]:
        """Return the marks of the known summaries by domain."""
        return {
            domain: known.mark
            for domain, known in self.cached_summaries.items()
        }

    def summaries(self) -> tuple[Summary, ...]:
        """Return the known summaries with their ages."""
        ages = self.ages_ms()
        return tuple(
            replace(known.summary, age_ms=ages[domain])
            for domain, known in self.cached_summaries.items()
        )

    def _note_stale(self, now_ms: int) -> None:
        stale = frozenset(
            domain
            for domain, known in self.cached_summaries.items()
            if is_stale(known, now_ms)
        )
        if stale != self._stale:
            self._stale = stale
            self._summary_revision += 1

    def _tell(self, target: Target | None) -> None:
        now = monotonic_seconds()
        self._damping = record_target(self._damping, target, now)
        told = self._damping.told
        if self._knowledge.local_member.target != told:
            set_target(self._knowledge, told)
            self._on_change()

    def _index(self) -> None:
        found: dict[tuple[str, str], list[Target]] = {}
        told = order_summaries(self.cached_summaries.values(), self._clock())
        groups = [self.domain_targets(), *(each.targets for each in told)]
        for group in groups:
            for target in group:
                for label in (target.label, ''):
                    key = target.service, label
                    found.setdefault(key, []).append(target)
        self._by_version = {
            key: tuple(targets) for key, targets in found.items()
        }
        self._indexed = self.revision


def _ignore() -> None:
    """Do nothing on a change."""


def create_registry(knowledge: MembershipState) -> TargetRegistry:
    """Return the registry of targets of a node."""
    return TargetRegistry(knowledge, wall_ms)
