"""Balance: picks the version and the target of one call.

What this node sees of its own calls decides: outstanding calls, observed
latency and recent failures, and the load that the node of a target tells with
each answer. What a target says of its health only removes targets (warming,
draining) and never adds weight.

Bytes between failure domains are dear, so a call stays in its own while a
target there has room and is predicted to end well within the objective.
Otherwise it goes where it is predicted to end first, and large answers stay
at home longer than small ones.
"""

from collections.abc import Callable, Mapping, Sequence
from math import ceil, exp, inf
from random import Random
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.admission import START_ESTIMATE_S, Load, wait_seconds
from medlarhoist.core.snapshot import FULL_SHARE, Share
from medlarhoist.core.target import Target, TargetPhase

SMOOTHING: Final = 0.2
# Of failures: slower, so that one of them alone is tolerated.
FAILURE_SMOOTHING: Final = 0.1
FAILURES_TO_EJECT: Final = 5
EJECTION_S: Final = 5.0
REFUSAL_PAUSE_S: Final = 0.05
# A few answers' time at a usual rate; after it the load is a guess.
REPORT_LIFE_S: Final = 1.0
# Latency varies: the mean must leave the tail a part of the objective.
PROMPT_SHARE: Final = 0.7
FAR_FACTOR: Final = 1.2
FAR_EXTRA_S: Final = 0.003
# A call may wait two seconds for each megabyte that stays in its domain.
FAR_S_PER_BYTE: Final = 0.000002
# A predicted wait is the least that a full target costs.
FULL_SHARE_OF_BUSY: Final = 0.5
# Of targets that are equally quick the one with more room is taken.
USED_FACTOR: Final = 0.5
# A target that is four times as slow is tried again after four seconds.
OBLIVION_S: Final = 3.0
# Nodes that hold the same reports must not all pick the same target.
JITTER: Final = 0.1
UNREACHABLE_PAUSE_S: Final = 1.0
EJECTABLE_SHARE: Final = 0.5
FAILURE_WEIGHT: Final = 20
# One failure among a few good answers is chance, not a sign of a bad target.
TOLERATED_FAILURES: Final = 0.15
NEVER_S: Final = -1.0
UNTRIED_S: Final = 0.001
_FIRST_LATENCY_S: Final = START_ESTIMATE_S


class Place(Struct, frozen=True):
    """Where a node is.

    Args:
        domain: its failure domain.
        address: address of the target beside it, as the registry tells it.
    """

    domain: str
    address: str


class TargetView:
    """What this node has seen of one target.

    Args:
        outstanding: calls in progress from this node.
        latency_s: smoothed time to the end of an answer, seconds.
        answers: whole answers, as far as they matter for the average.
        failures: calls that failed in a row.
        failure_rate: smoothed part of the calls that failed, 0 to 1.
        ejected_until: time before which it is passed over, seconds.
        full_until: time before which it counts as full, seconds.
        used_at: when a call was last sent to it, seconds.
        load: what its node last told of its load, None for nothing.
        load_at: when that was, seconds.
        sent_since: calls sent to it from here since then.
    """

    __slots__ = (
        'answers',
        'ejected_until',
        'failure_rate',
        'failures',
        'full_until',
        'latency_s',
        'load',
        'load_at',
        'outstanding',
        'sent_since',
        'used_at',
    )

    def __init__(self) -> None:
        """Start without any observation."""
        self.answers = 0
        self.outstanding = 0
        self.latency_s = _FIRST_LATENCY_S
        self.failures = 0
        self.failure_rate = float()
        self.ejected_until = NEVER_S
        self.full_until = NEVER_S
        self.used_at = NEVER_S
        self.load: Load | None = None
        self.load_at = NEVER_S
        self.sent_since = 0

    def record_send(self, now: float) -> None:
        """Take in that a call is sent to it."""
        self.outstanding += 1
        self.sent_since += 1
        self.used_at = now

    def record_load(self, load: Load, now: float) -> None:
        """Take in what its node tells of its load."""
        self.load = load
        self.load_at = now
        self.sent_since = 0

    def present_load(self, slots: int, now: float) -> Load:
        """Return its load as far as it is known here.

        A target that was never tried counts as quick until the first call is
        on its way, so that each gets one.

        Args:
            slots: slots that it announces.
            now: present time, seconds.
        """
        told = self.load
        if told is None or now - self.load_at > REPORT_LIFE_S:
            is_new = not (self.answers or self.outstanding or self.failures)
            busy_s = UNTRIED_S if is_new else self.latency_s
            return Load(slots, self.outstanding, 0, busy_s)
        return replace(told, used=told.used + self.sent_since)

    def trust(self, now: float) -> float:
        """Return how far what was seen of it still counts, 0 to 1.

        What is known of a target that gets no calls grows old, so a slow one
        is tried again after a while, the slower the later.

        Args:
            now: present time, seconds.
        """
        if self.outstanding or self.used_at < 0:
            return 1
        return exp(-max(0, now - self.used_at) / OBLIVION_S)

    def failure_factor(self) -> float:
        """Return by how much its failures make it worse, one for none."""
        excess = max(0, self.failure_rate - TOLERATED_FAILURES)
        return 1 + FAILURE_WEIGHT * excess

    def succeed(self, latency_s: float) -> None:
        """Take in a whole answer below status 500."""
        self.failures = 0
        self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate
        self.answers += 1
        weight = max(SMOOTHING, 1 / self.answers)
        self.latency_s += weight * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> None:
        """Take in a failure; several in a row eject the target."""
        self.failures += 1
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)
        if self.failures >= FAILURES_TO_EJECT:
            self.ejected_until = now + EJECTION_S
            self.failures = FAILURES_TO_EJECT - 1

    def refuse(self, now: float) -> None:
        """Take in that it had no room."""
        self.full_until = now + REFUSAL_PAUSE_S

    def miss(self, now: float) -> None:
        """Take in that its node was not reached."""
        self.full_until = now + UNREACHABLE_PAUSE_S
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)


Views = Mapping[str, TargetView]


def pick_label(
    current: str,
    share: Share | None,
    limit: Callable[[str, str, int], int],
    draw: Random,
) -> str:
    """Return the version that one call goes to.

    Args:
        current: label that receives traffic outside of moves.
        share: the split of the service, None outside of moves.
        limit: lowers the share of (service, label, basis points) on local
            evidence.
        draw: source of randomness.
    """
    if share is None:
        return current
    points = limit(share.service, share.new, share.basis_points)
    if draw.random() * FULL_SHARE < points:
        return share.new
    return share.old


class Wish(Struct, frozen=True):
    """What an attempt asks of a target.

    Args:
        now: present time, seconds.
        left_s: time until an answer loses worth, seconds; may be negative.
        answer_bytes: usual size of the answers of its route.
        usual_s: usual time of a call of its route, seconds; zero where it is
            not known. Routes of one service differ in work, so what a target
            usually takes is only compared with other targets.
    """

    now: float
    left_s: float = inf
    answer_bytes: float = 0
    usual_s: float = 0


def pick_target(
    targets: Sequence[Target],
    views: Views,
    place: Place,
    wish: Wish,
    draw: Random,
) -> Target | None:
    """Return the target for one attempt, or None where none is ready.

    Args:
        targets: the known targets that this call has not tried yet.
        views: what this node has seen of them, by address.
        place: where this node is.
        wish: what the attempt asks for.
        draw: source of randomness.
    """
    ready = [target for target in targets if target.phase is TargetPhase.READY]
    own = [target for target in ready if target.domain == place.domain]
    far = [target for target in ready if target.domain != place.domain]
    own = _without_ejected(own, views, wish.now)
    mean_s = _mean_busy(ready, views, wish.now)
    prompt = [
        target
        for target in own
        if _is_prompt(target, views[target.address], wish, mean_s)
    ]
    usable = prompt or [*own, *_without_ejected(far, views, wish.now)]
    reachable = [
        target
        for target in usable
        if views[target.address].full_until <= wish.now
    ]
    return _pick_cheapest(reachable or usable, views, place, wish, draw)


def cost_seconds(
    target: Target,
    view: TargetView,
    place: Place,
    wish: Wish,
) -> float:
    """Return the expected time of a call, weighted; lower is better.

    Args:
        target: where it would go.
        view: what this node has seen of it.
        place: where this node is.
        wish: what the attempt asks for.
    """
    load = view.present_load(target.slots, wish.now)
    cost = load.busy_s
    if load.slots:
        cost *= 1 + USED_FACTOR * load.used / load.slots
    if is_full(load):
        wait_s = wait_seconds(load, load.waiting) if load.slots else inf
        cost += wait_s + FULL_SHARE_OF_BUSY * load.busy_s
    cost *= view.failure_factor()
    cost *= view.trust(wish.now)
    if target.domain == place.domain:
        return cost
    bytes_s = FAR_S_PER_BYTE * wish.answer_bytes
    return cost * FAR_FACTOR + FAR_EXTRA_S + bytes_s


def is_full(load: Load) -> bool:
    """Say whether a call would have to wait."""
    return load.used >= load.slots or load.waiting > 0


def _mean_busy(targets: Sequence[Target], views: Views, now: float) -> float:
    """Return what the targets usually take, their mean, seconds."""
    times = [
        views[target.address].present_load(target.slots, now).busy_s
        for target in targets
    ]
    return sum(times) / max(1, len(times))


def _is_prompt(
    target: Target,
    view: TargetView,
    wish: Wish,
    mean_s: float,
) -> bool:
    """Say whether a target of the own domain serves a call well.

    Args:
        target: the target.
        view: what this node has seen of it.
        wish: what the attempt asks for.
        mean_s: what targets of the version usually take, seconds.
    """
    if view.full_until > wish.now:
        return False
    load = view.present_load(target.slots, wish.now)
    expected_s = load.busy_s
    if wish.usual_s and mean_s:
        expected_s *= wish.usual_s / mean_s
    expected_s *= view.failure_factor()
    return not is_full(load) and expected_s <= PROMPT_SHARE * wish.left_s


def _pick_cheapest(
    group: Sequence[Target],
    views: Views,
    place: Place,
    wish: Wish,
    draw: Random,
) -> Target | None:
    best: Target | None = None
    lowest = inf
    for target in group:
        cost = cost_seconds(target, views[target.address], place, wish)
        cost *= draw.uniform(1, 1 + JITTER)
        if best is None or cost < lowest:
            best, lowest = target, cost
    return best


def _without_ejected(
    group: list[Target],
    views: Views,
    now: float,
) -> list[Target]:
    """Leave out ejected targets, but never more than a bounded part.

    Where more are ejected, those stay whose ejection ends first.
    """
    kept = [
        target for target in group if views[target.address].ejected_until <= now
    ]
    least = ceil(len(group) * EJECTABLE_SHARE)
    if len(kept) >= least:
        return kept
    ranked = sorted(
        group,
        key=lambda target: views[target.address].ejected_until,
    )
    return ranked[:least]
