"""Admission control: decides whether a call may use a slot of a target.

A target receives requests only through the node beside it, so that node's
count of used slots is exact, and a call refused here has not sent a byte to
the target.

When the load exceeds the target's capacity, calls that queue for long all
finish late. A call is therefore queued only if it is predicted to finish within
its latency objective; otherwise it is refused at once and may be retried. The
queue is ordered by priority, then by the time of the objective.

Nested calls, which a running request makes, are served before all new requests
and may wait until their deadline. Refusing one fails its parent request: the
work and the slot already used for it are wasted, and its caller retries.
"""

from enum import Enum
from random import Random
from typing import Final

from msgspec import Struct

# Assumed time that a call holds a slot until a target has been measured.
INITIAL_BUSY_S: Final = 0.1
# With lognormal times of sigma 0.5, six of seven calls take less than this
# multiple of the mean. Under overload the queue is always as long as admission
# allows; without this margin half of the queued calls would finish late.
TAIL_FACTOR: Final = 1.5
# Among calls with the same objective time, local ones are served first.
CROSS_DOMAIN_DELAY_SHARE: Final = 0.5
# Callers that were refused together must not retry together.
RETRY_AFTER_SPREAD: Final = 0.5
# A cold target has room for few calls, and others may have more. So a call
# waits for its turn there for no more than this share of the time that it has,
# and can try others in the rest.
COLD_WAIT_SHARE: Final = 0.125
NESTED_COLD_WAIT_SHARE: Final = 0.5
MIN_RETRY_AFTER_S: Final = 0.02
MAX_RETRY_AFTER_S: Final = 5.0

Key = tuple[bool, int, bool, float]


class Admission(Enum):
    """Decision on a call that arrives at its target's node."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Load(Struct, frozen=True):
    """Load of one target, counted by its node.

    Args:
        slots: requests that the target runs concurrently.
        used: slots in use.
        waiting: calls queued for a slot.
        busy_s: moving average of the time that a call holds a slot, seconds.
        rate: requests per second that it accepts, zero for no limit.
        delay_s: time until it accepts the next request, seconds; zero without
            a limit.
        cold_s: for how much longer it is cold and has such a limit for that
            reason, seconds; zero for a warm target.
    """

    slots: int
    used: int
    waiting: int
    busy_s: float = INITIAL_BUSY_S
    rate: float = 0
    delay_s: float = 0
    cold_s: float = 0

    @property
    def is_full(self) -> bool:
        """Return whether a new call would have to wait."""
        is_occupied = self.used >= self.slots or self.waiting > 0
        return is_occupied or self.delay_s > 0


class CallRequirements(Struct, frozen=True, kw_only=True):
    """Timing and priority of a call; times are monotonic clock seconds.

    Args:
        priority: rank of its route, zero for the highest.
        deadline: time after which the caller no longer waits for a response.
        due: time of the latency objective; may be past.
        is_spilled: whether it comes from another failure domain.
        is_nested: whether a request that runs on a target has made it.
        usual_s: moving average of the time that calls of its load class hold
            a slot of the target, seconds; zero before the first one finished.
    """

    priority: int = 0
    deadline: float
    due: float
    is_spilled: bool = False
    is_nested: bool = False
    usual_s: float = 0

    @property
    def load_class(self) -> tuple[bool, int]:
        """Return the class of calls that are assumed to take equal time."""
        return self.is_nested, self.priority


def queue_key(requirements: CallRequirements, now: float) -> Key:
    """Return the sort key of a waiting call; the lowest key is served first.

    Args:
        requirements: timing and priority of the call.
        now: arrival time, seconds.
    """
    is_late = requirements.due <= now
    end = requirements.deadline if is_late else requirements.due
    if requirements.is_spilled:
        end += CROSS_DOMAIN_DELAY_SHARE * (end - now)
    return not requirements.is_nested, requirements.priority, is_late, end


def admit(
    load: Load,
    requirements: CallRequirements,
    now: float,
    ahead: int,
) -> Admission:
    """Decide whether a call starts, waits or is refused.

    Args:
        load: present load of the target.
        requirements: timing and priority of the call.
        now: present time, seconds.
        ahead: waiting calls that are served before it.
    """
    if requirements.deadline <= now:
        return Admission.REFUSE
    if not load.is_full:
        return Admission.START
    if can_finish_in_time(load, requirements, now, ahead):
        return Admission.WAIT
    return Admission.REFUSE


def can_finish_in_time(
    load: Load,
    requirements: CallRequirements,
    now: float,
    ahead: int,
) -> bool:
    """Return whether a waiting call is predicted to meet its objective.

    A call whose objective has passed must finish before its deadline instead.
    A nested call must only get a slot before its deadline: it is short, and
    its parent request fails without it in any case. At a cold target a call
    must get a slot soon, since others may have room.

    Args:
        load: present load of the target.
        requirements: timing and priority of the call.
        now: present time, seconds.
        ahead: waiting calls that are served before it.
    """
    if not load.slots:
        return False
    wait_s = wait_seconds(load, ahead)
    if load.cold_s and not _is_soon(wait_s, requirements, now):
        return False
    if requirements.is_nested:
        return now + wait_s <= requirements.deadline
    tail_s = TAIL_FACTOR * (requirements.usual_s or load.busy_s)
    return now + wait_s + tail_s <= _aimed_end(requirements, now)


def _is_soon(
    wait_s: float,
    requirements: CallRequirements,
    now: float,
) -> bool:
    """Return whether a wait leaves a call the time to try other targets."""
    if requirements.is_nested:
        return wait_s <= NESTED_COLD_WAIT_SHARE * (requirements.deadline - now)
    left_s = _aimed_end(requirements, now) - now
    return wait_s <= COLD_WAIT_SHARE * left_s


def _aimed_end(requirements: CallRequirements, now: float) -> float:
    """Return the time of the objective, or the deadline once it is past."""
    is_late = requirements.due <= now
    return requirements.deadline if is_late else requirements.due


def wait_seconds(load: Load, ahead: int) -> float:
    """Return how long a call is predicted to wait, in seconds.

    It waits for a slot, and for its turn at a target that limits the requests
    per second.

    Args:
        load: present load of the target, which must have slots.
        ahead: waiting calls that are served before it.
    """
    excess = max(0, load.used - load.slots)
    slot_s = (ahead + excess + 1) * load.busy_s / load.slots
    if not load.rate:
        return slot_s
    return max(slot_s, load.delay_s + ahead / load.rate)


def retry_after_seconds(load: Load, rng: Random) -> float:
    """Return after how many seconds a refused caller should retry.

    This is the predicted time until all calls that wait now have a slot,
    randomized so that callers refused in one burst do not retry at once.

    Args:
        load: load of the target that refused the call.
        rng: source of randomness.
    """
    wait_s = MIN_RETRY_AFTER_S
    if load.slots:
        wait_s = max(wait_s, wait_seconds(load, load.waiting))
    spread = rng.uniform(1 - RETRY_AFTER_SPREAD, 1 + RETRY_AFTER_SPREAD)
    return min(MAX_RETRY_AFTER_S, wait_s * spread)
