"""Target selector: selects the version and the target of each call.

It applies core.balance to the configuration in force, the registry of live
targets and this node's own observations of targets.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

from medlarhoist.core.balance import (
    NodeLocation,
    SelectionContext,
    pick_label,
    pick_target,
)
from medlarhoist.core.compile import Compiled
from medlarhoist.core.condition import Condition
from medlarhoist.core.domain_drain import DomainDrains
from medlarhoist.core.interfaces import Registry, ShareLimiter
from medlarhoist.core.resource import Service
from medlarhoist.core.subset import choose_one, choose_subset
from medlarhoist.core.target import Target, TargetPhase
from medlarhoist.core.target_view import TargetView

LOCAL_SUBSET_SIZE: Final = 16
REMOTE_SUBSET_SIZE: Final = 8
VIEW_EXPIRY_S: Final = 60.0


class TargetSelector:
    """Selects targets for the calls that callers send to one node.

    Args:
        drains: the failure domains that receive no calls, or fewer.
        views: this node's observations of each target, by address.
    """

    __slots__ = (
        '_cache',
        '_clock',
        '_limiter',
        '_location',
        '_name',
        '_registry',
        '_revision',
        '_rng',
        'drains',
        'views',
    )

    def __init__(
        self,
        name: str,
        location: NodeLocation,
        registry: Registry,
        limiter: ShareLimiter,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Start without observations.

        Args:
            name: name of this node.
            location: failure domain and address of this node.
            registry: the live targets.
            limiter: clamps the share of a new version on local evidence.
            clock: seconds of the monotonic clock.
            rng: random number generator.
        """
        self._name = name
        self._location = location
        self._registry = registry
        self._limiter = limiter
        self._clock = clock
        self._rng = rng
        self._revision = registry.revision
        self._cache: dict[tuple[str, str], tuple[Target, ...]] = {}
        self.drains = DomainDrains()
        self.views: dict[str, TargetView] = {}

    def set_drained(self, domains: frozenset[str]) -> bool:
        """Set the drained failure domains; return whether they changed."""
        is_changed = self.drains.update(domains, self._clock())
        if is_changed:
            self._cache.clear()
        return is_changed

    def record_drain_refusal(self, target: Target) -> None:
        """Record that a target's node refused a call for a drain."""
        self.drains.record_refusal(target.domain, self._clock())

    def has_drained_target(self, service: str, label: str) -> bool:
        """Return whether a version has a target in a drained domain."""
        return any(
            target.domain in self.drains.drained
            for target in self._registry.targets(service, label)
        )

    def pick_label(self, compiled: Compiled, service: Service) -> str:
        """Return the label of the version that one call goes to.

        A call for the new version of a move goes to the old one if no target
        of the new one is ready. Calls for the old version never go to the new
        one instead, which would exceed the new version's share.

        Args:
            compiled: the configuration in force.
            service: the service that the call goes to.
        """
        share = compiled.shares.get(service.name)
        label = pick_label(
            service.current,
            share,
            self._limiter.limit,
            self._rng,
        )
        if share is None or label != share.new:
            return label
        return label if self._has_ready(service.name, label) else share.old

    def pick_target(
        self,
        service: str,
        label: str,
        tried: set[str],
        context: SelectionContext,
    ) -> Target | None:
        """Return a target for the next attempt of a call.

        Args:
            service: name of the service.
            label: version of the service.
            tried: addresses of the targets that the call has tried.
            context: time left and averages of the call's route.

        Returns:
            The target, or None if no ready target is left.
        """
        targets: Sequence[Target] = self._list_targets(service, label)
        if tried:
            targets = [
                target for target in targets if target.address not in tried
            ]
        drawn = self.drains.draw(targets, context.now, self._rng)
        found = pick_target(
            drawn, self.views, self._location, context, self._rng
        )
        if found is not None or drawn is targets:
            return found
        return pick_target(
            targets, self.views, self._location, context, self._rng
        )

    def pick_suspect_target(
        self,
        service: str,
        label: str,
        tried: set[str],
        fingerprint: str,
    ) -> Target | None:
        """Return the target that runs a suspect next, the same at all nodes.

        Args:
            service: name of the service.
            label: version of the service.
            tried: addresses of the targets that the call has tried.
            fingerprint: identifies the request.

        Returns:
            The target, or None if no ready target is left.
        """
        ready = [
            target
            for target in self.drains.without_drained(
                self._registry.targets(service, label)
            )
            if target.phase is TargetPhase.READY and target.address not in tried
        ]
        now = self._clock()
        reachable = [
            target
            for target in ready
            if self._find_view(target).unreachable_until <= now
        ]
        return choose_one(fingerprint, reachable or ready)

    def _find_view(self, target: Target) -> TargetView:
        return self.views.setdefault(target.address, TargetView())

    def expire_views(self) -> set[str]:
        """Remove the views of targets that are no longer used.

        A view expires VIEW_EXPIRY_S after a call was last sent to its target
        or its subset was last selected, unless calls are in progress.

        Returns:
            The addresses of the remaining views.
        """
        limit = self._clock() - VIEW_EXPIRY_S
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
        """Return this node's subset of a version's targets.

        Subsets are cached until the registry or the drains change, or a view
        expires.
        """
        if self._registry.revision != self._revision:
            self._revision = self._registry.revision
            self._cache.clear()
        key = (service, label)
        cached = self._cache.get(key)
        if cached is None:
            targets = self._registry.targets(service, label)
            cached = self._select_subset(self.drains.without_drained(targets))
            self._cache[key] = cached
        return cached

    def _select_subset(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        local = [
            item for item in targets if item.domain == self._location.domain
        ]
        remote = [
            item for item in targets if item.domain != self._location.domain
        ]
        selected = choose_subset(self._name, local, LOCAL_SUBSET_SIZE)
        remote_size = REMOTE_SUBSET_SIZE
        if self._location.domain in self.drains.drained:
            # Calls that stay in the domain otherwise all go to others.
            remote_size += LOCAL_SUBSET_SIZE
        selected += choose_subset(self._name, remote, remote_size)
        for target in selected:
            view = self._find_view(target)
            view.used_at = self._clock()
            if target.run_key:
                left = Condition(target.run_key, is_leaving=True)
                view.record_condition(left, target.since_ms)
        return selected
