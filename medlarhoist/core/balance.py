"""Load balancing: selects the version and the target of each call.

Selection depends on what this node measures in its own calls (outstanding
calls, latency, recent failures) and on the load that a target's node reports
with each response. A target's own health report can only exclude it (warming,
draining); it never makes it preferred.

Traffic between failure domains is expensive, so a call stays in its own domain
while a target there has a free slot and is predicted to finish well within the
latency objective. Otherwise the target with the lowest predicted time is
selected, and the larger the response, the higher the cost of a remote target.
"""

from collections.abc import Callable, Mapping, Sequence
from math import ceil, inf
from random import Random
from typing import Final

from msgspec import Struct

from medlarhoist.core.admission import wait_seconds
from medlarhoist.core.snapshot import FULL_SHARE, Share
from medlarhoist.core.target import Target, TargetPhase
from medlarhoist.core.target_view import TargetView

# The mean must leave a part of the objective for the tail of the latencies.
LOCAL_LATENCY_SHARE: Final = 0.7
REMOTE_COST_FACTOR: Final = 1.2
REMOTE_COST_S: Final = 0.003
# To keep a megabyte in its domain, a call may wait two seconds longer.
REMOTE_COST_S_PER_BYTE: Final = 0.000002
# Share of the busy time that is added to the predicted wait at a full target,
# since the prediction is a lower bound.
FULL_COST_SHARE: Final = 0.5
# Among equally fast targets, the one with more free slots is preferred.
UTILIZATION_WEIGHT: Final = 0.5
# Nodes that hold the same load reports must not all select the same target.
COST_JITTER: Final = 0.1
MIN_KEPT_SHARE: Final = 0.5
# A cold target has few turns, which the nodes that call it can't divide up. So
# each counts half of the time between two turns as a wait.
COLD_COST_TURNS: Final = 0.5


class NodeLocation(Struct, frozen=True):
    """Location of a node.

    Args:
        domain: its failure domain.
        address: address of the target beside it, as listed in the registry.
    """

    domain: str
    address: str


Views = Mapping[str, TargetView]


def pick_label(
    current: str,
    share: Share | None,
    limit: Callable[[str, str, int], int],
    rng: Random,
) -> str:
    """Return the label of the version that one call is sent to.

    Args:
        current: label of the version that is used outside of moves.
        share: split of the service between the versions of a move, None
            outside of moves.
        limit: returns the share to use, in basis points, for a service, a
            label and the configured share; lowers it on local evidence.
        rng: source of randomness.
    """
    if share is None:
        return current
    points = limit(share.service, share.new, share.basis_points)
    if rng.random() * FULL_SHARE < points:
        return share.new
    return share.old


class SelectionContext(Struct, frozen=True):
    """What the selection of a target depends on besides the targets.

    Args:
        now: present time, seconds.
        left_s: time left until the latency objective, seconds; may be
            negative.
        answer_bytes: mean size of the responses of the route.
        usual_s: mean duration of a call of the route, seconds; zero before
            the first one has finished. Routes of one service take different
            times, so the mean of a target is compared with that of other
            targets only.
        is_domain_cold: whether targets of other domains are selected before
            those of this node's domain, as these are likely to be cold.
    """

    now: float
    left_s: float = inf
    answer_bytes: float = 0
    usual_s: float = 0
    is_domain_cold: bool = False


def pick_target(
    targets: Sequence[Target],
    views: Views,
    location: NodeLocation,
    context: SelectionContext,
    rng: Random,
) -> Target | None:
    """Return the target for one attempt, None if no target is ready.

    Args:
        targets: targets of the version that this call has not tried yet.
        views: this node's views of them, by address.
        location: location of this node.
        context: time left and averages of the route.
        rng: source of randomness.
    """
    ready = [
        target
        for target in targets
        if target.phase is TargetPhase.READY
        and not views[target.address].is_leaving(target)
    ]
    local = [target for target in ready if target.domain == location.domain]
    remote = [target for target in ready if target.domain != location.domain]
    if remote and context.is_domain_cold:
        local = []
    local = _without_ejected(local, views, context.now)
    mean_s = _mean_busy(ready, views, context.now)
    prompt = [
        target
        for target in local
        if _is_prompt(target, views[target.address], context, mean_s)
    ]
    usable = prompt or [*local, *_without_ejected(remote, views, context.now)]
    available = [
        target
        for target in usable
        if views[target.address].full_until <= context.now
    ]
    return _pick_cheapest(available or usable, views, location, context, rng)


def cost_seconds(
    target: Target,
    view: TargetView,
    location: NodeLocation,
    context: SelectionContext,
) -> float:
    """Return the weighted expected duration of a call; lower is better.

    Args:
        target: target that would serve it.
        view: this node's view of the target.
        location: location of this node.
        context: time left and averages of the route.
    """
    load = view.present_load(target.slots, context.now)
    cost = load.busy_s
    if load.slots:
        cost *= 1 + UTILIZATION_WEIGHT * load.used / load.slots
    if load.is_full:
        wait_s = wait_seconds(load, load.waiting) if load.slots else inf
        cost += wait_s + FULL_COST_SHARE * load.busy_s
    cost *= view.failure_factor()
    cost *= view.confidence(context.now)
    if load.cold_s:
        cost += COLD_COST_TURNS / load.rate
    if target.domain == location.domain:
        return cost
    bytes_s = REMOTE_COST_S_PER_BYTE * context.answer_bytes
    return cost * REMOTE_COST_FACTOR + REMOTE_COST_S + bytes_s


def _mean_busy(targets: Sequence[Target], views: Views, now: float) -> float:
    """Return the mean of the targets' busy times, seconds."""
    times = [
        views[target.address].present_load(target.slots, now).busy_s
        for target in targets
    ]
    return sum(times) / max(1, len(times))


def _is_prompt(
    target: Target,
    view: TargetView,
    context: SelectionContext,
    mean_s: float,
) -> bool:
    """Return whether a local target has a free slot and meets the objective.

    Args:
        target: the target.
        view: this node's view of it.
        context: time left and averages of the route.
        mean_s: mean busy time of the targets of the version, seconds.
    """
    if view.full_until > context.now:
        return False
    load = view.present_load(target.slots, context.now)
    expected_s = load.busy_s
    if context.usual_s and mean_s:
        expected_s *= context.usual_s / mean_s
    expected_s *= view.failure_factor()
    return (
        not load.is_full
        and not load.cold_s
        and expected_s <= LOCAL_LATENCY_SHARE * context.left_s
    )


def _pick_cheapest(
    group: Sequence[Target],
    views: Views,
    location: NodeLocation,
    context: SelectionContext,
    rng: Random,
) -> Target | None:
    best: Target | None = None
    lowest = inf
    for target in group:
        cost = cost_seconds(target, views[target.address], location, context)
        cost *= rng.uniform(1, 1 + COST_JITTER)
        if best is None or cost < lowest:
            best, lowest = target, cost
    return best


def _without_ejected(
    group: list[Target],
    views: Views,
    now: float,
) -> list[Target]:
    """Exclude ejected targets, but keep at least MIN_KEPT_SHARE of the group.

    If too many are ejected, those whose ejection ends first are kept.
    """
    kept = [
        target for target in group if views[target.address].ejected_until <= now
    ]
    least = ceil(len(group) * MIN_KEPT_SHARE)
    if len(kept) >= least:
        return kept
    ranked = sorted(
        group,
        key=lambda target: views[target.address].ejected_until,
    )
    return ranked[:least]
