"""Choice: picks the version and the target of calls on live state.

It joins the configuration, the registry and what this node has seen of its
targets, and leaves the decisions to core.balance.
"""

from collections.abc import Callable
from random import Random
from typing import Final

from medlarhoist.core.balance import (
    NodeLocation,
    SelectionContext,
    TargetView,
    pick_label,
    pick_target,
)
from medlarhoist.core.compile import Compiled
from medlarhoist.core.interfaces import Registry, ShareLimiter
from medlarhoist.core.resource import Service
from medlarhoist.core.subset import choose_subset
from medlarhoist.core.target import Target, TargetPhase

OWN_SUBSET: Final = 16
FAR_SUBSET: Final = 8
FORGET_S: Final = 60.0


class Choice:
    """Picks targets for the calls that enter at one node.

    Args:
        views: what the node has seen of each target, by address.
    """

    __slots__ = (
        '_cache',
        '_clock',
        '_draw',
        '_limiter',
        '_name',
        '_place',
        '_registry',
        '_revision',
        'views',
    )

    def __init__(
        self,
        name: str,
        place: NodeLocation,
        registry: Registry,
        limiter: ShareLimiter,
        clock: Callable[[], float],
        draw: Random,
    ) -> None:
        """Start without observations.

        Args:
            name: name of this node.
            place: where it is.
            registry: the live targets.
            limiter: lowers shares on local evidence.
            clock: seconds of the monotonic clock.
            draw: source of randomness.
        """
        self._name = name
        self._place = place
        self._registry = registry
        self._limiter = limiter
        self._clock = clock
        self._draw = draw
        self._revision = registry.revision
        self._cache: dict[tuple[str, str], tuple[Target, ...]] = {}
        self.views: dict[str, TargetView] = {}

    def pick_label(self, compiled: Compiled, service: Service) -> str:
        """Return the version for one call.

        Where the new version of a move has no ready target, the old one is
        taken; the other way round the share would be exceeded.
        """
        share = compiled.shares.get(service.name)
        label = pick_label(
            service.current,
            share,
            self._limiter.limit,
            self._draw,
        )
        if share is None or label != share.new:
            return label
        return label if self._has_ready(service.name, label) else share.old

    def pick_target(
        self,
        service: str,
        label: str,
        tried: set[str],
        wish: SelectionContext,
    ) -> Target | None:
        """Return a target that the call has not tried, or None."""
        targets: tuple[Target, ...] | list[Target]
        targets = self._list_targets(service, label)
        if tried:
            targets = [
                target for target in targets if target.address not in tried
            ]
        return pick_target(
            targets,
            self.views,
            self._place,
            wish,
            self._draw,
        )

    def list_known(self) -> set[str]:
        """Return the addresses in use, and forget what was seen of others."""
        limit = self._clock() - FORGET_S
        for address, view in tuple(self.views.items()):
            if view.used_at < limit and not view.outstanding:
                self.views.pop(address)
                self._cache.clear()
        return set(self.views)

    def _has_ready(self, service: str, label: str) -> bool:
        return any(
            target.phase is TargetPhase.READY
            for target in self._list_targets(service, label)
        )

    def _list_targets(self, service: str, label: str) -> tuple[Target, ...]:
        """Return this node's subset of the targets of a version."""
        if self._registry.revision != self._revision:
            self._revision = self._registry.revision
            self._cache.clear()
        key = (service, label)
        cached = self._cache.get(key)
        if cached is None:
            cached = self._choose(self._registry.targets(service, label))
            self._cache[key] = cached
        return cached

    def _choose(self, targets: tuple[Target, ...]) -> tuple[Target, ...]:
        own = [item for item in targets if item.domain == self._place.domain]
        far = [item for item in targets if item.domain != self._place.domain]
        chosen = choose_subset(self._name, own, OWN_SUBSET)
        chosen += choose_subset(self._name, far, FAR_SUBSET)
        for target in chosen:
            view = self.views.setdefault(target.address, TargetView())
            view.used_at = self._clock()
        return chosen
