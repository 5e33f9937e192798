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
from math import ceil, exp, inf
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.admission import INITIAL_BUSY_S, Load, wait_seconds
from medlarhoist.core.snapshot import FULL_SHARE, Share
from medlarhoist.core.target import Target, TargetPhase

SMOOTHING: Final = 0.2
# Lower than SMOOTHING, which is that of latency, so that a single failure is
# tolerated.
FAILURE_SMOOTHING: Final = 0.1
FAILURES_TO_EJECT: Final = 5
EJECTION_S: Final = 5.0
REFUSAL_PAUSE_S: Final = 0.05
# Normally several responses arrive in this time; an older load is outdated.
LOAD_REPORT_TTL_S: Final = 1.0
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
# A target that is four times as slow is tried again after four seconds.
CONFIDENCE_DECAY_S: Final = 3.0
# Nodes that hold the same load reports must not all select the same target.
COST_JITTER: Final = 0.1
UNREACHABLE_PAUSE_S: Final = 1.0
MIN_KEPT_SHARE: Final = 0.5
FAILURE_WEIGHT: Final = 20
# One failure among a few successful calls is not significant.
TOLERATED_FAILURE_RATE: Final = 0.15
NEVER_S: Final = -1.0
UNTRIED_BUSY_S: Final = 0.001
_INITIAL_LATENCY_S: Final = INITIAL_BUSY_S


class NodeLocation(Struct, frozen=True):
    """Location of a node.

    Args:
        domain: its failure domain.
        address: address of the target beside it, as listed in the registry.
    """

    domain: str
    address: str


class TargetView:
    """What this node has measured and received about one target.

    Args:
        outstanding: calls in progress from this node.
        latency_s: moving average of the time to the end of a response,
            seconds.
        responses: complete responses below status 500.
        failures: consecutive failed calls.
        failure_rate: moving average of the fraction of failed calls, 0 to 1.
        ejected_until: time until which it is excluded, seconds.
        full_until: time until which it counts as full, seconds.
        used_at: time of the last call that was sent to it, seconds.
        load: load that its node last reported, None before the first report.
        load_reported_at: time of that report, seconds.
        sent_since_report: calls sent to it from here since that report.
    """

    __slots__ = (
        'ejected_until',
        'failure_rate',
        'failures',
        'full_until',
        'latency_s',
        'load',
        'load_reported_at',
        'outstanding',
        'responses',
        'sent_since_report',
        'used_at',
    )

    def __init__(self) -> None:
        """Start without measurements."""
        self.responses = 0
        self.outstanding = 0
        self.latency_s = _INITIAL_LATENCY_S
        self.failures = 0
        self.failure_rate = float()
        self.ejected_until = NEVER_S
        self.full_until = NEVER_S
        self.used_at = NEVER_S
        self.load: Load | None = None
        self.load_reported_at = NEVER_S
        self.sent_since_report = 0

    def record_send(self, now: float) -> None:
        """Record that a call is sent to the target."""
        self.outstanding += 1
        self.sent_since_report += 1
        self.used_at = now

    def record_load(self, load: Load, now: float) -> None:
        """Record a load report of the target's node."""
        self.load = load
        self.load_reported_at = now
        self.sent_since_report = 0

    def present_load(self, slots: int, now: float) -> Load:
        """Return the best estimate of the target's present load.

        That is the last report plus the calls sent since then, or an estimate
        from this node's own calls if the report is missing or outdated. A
        target that was never tried counts as very fast until its first call
        is sent, so that each target is tried.

        Args:
            slots: slots that the target announces.
            now: present time, seconds.
        """
        reported = self.load
        if reported is None or now - self.load_reported_at > LOAD_REPORT_TTL_S:
            is_new = not (self.responses or self.outstanding or self.failures)
            busy_s = UNTRIED_BUSY_S if is_new else self.latency_s
            return Load(slots, self.outstanding, 0, busy_s)
        return replace(reported, used=reported.used + self.sent_since_report)

    def confidence(self, now: float) -> float:
        """Return how far the recorded measurements still apply, 0 to 1.

        It decays while the target receives no calls, and its cost with it. So
        a slow target is tried again after a while, and later the slower it is.

        Args:
            now: present time, seconds.
        """
        if self.outstanding or self.used_at < 0:
            return 1
        return exp(-max(0, now - self.used_at) / CONFIDENCE_DECAY_S)

    def failure_factor(self) -> float:
        """Return the factor of its cost for recent failures, one for none."""
        excess = max(0, self.failure_rate - TOLERATED_FAILURE_RATE)
        return 1 + FAILURE_WEIGHT * excess

    def record_success(self, latency_s: float) -> None:
        """Record a complete response below status 500."""
        self.failures = 0
        self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate
        self.responses += 1
        weight = max(SMOOTHING, 1 / self.responses)
        self.latency_s += weight * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> None:
        """Record a failed call; FAILURES_TO_EJECT in a row eject the target.

        After an ejection, one more failure before a success ejects it again.
        """
        self.failures += 1
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)
        if self.failures >= FAILURES_TO_EJECT:
            self.ejected_until = now + EJECTION_S
            self.failures = FAILURES_TO_EJECT - 1

    def record_refusal(self, now: float) -> None:
        """Record that the target had no free slot."""
        self.full_until = now + REFUSAL_PAUSE_S

    def record_no_connection(self, now: float) -> None:
        """Record that the target's node was unreachable."""
        self.full_until = now + UNREACHABLE_PAUSE_S
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)


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
    """

    now: float
    left_s: float = inf
    answer_bytes: float = 0
    usual_s: float = 0


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
    ready = [target for target in targets if target.phase is TargetPhase.READY]
    local = [target for target in ready if target.domain == location.domain]
    remote = [target for target in ready if target.domain != location.domain]
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
    if is_full(load):
        wait_s = wait_seconds(load, load.waiting) if load.slots else inf
        cost += wait_s + FULL_COST_SHARE * load.busy_s
    cost *= view.failure_factor()
    cost *= view.confidence(context.now)
    if target.domain == location.domain:
        return cost
    bytes_s = REMOTE_COST_S_PER_BYTE * context.answer_bytes
    return cost * REMOTE_COST_FACTOR + REMOTE_COST_S + bytes_s


def is_full(load: Load) -> bool:
    """Return whether a new call would have to wait for a slot."""
    return load.used >= load.slots or load.waiting > 0


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
        not is_full(load) and expected_s <= LOCAL_LATENCY_SHARE * context.left_s
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
