"""Limit: decides whether a target's node may start a call now.

The node is the only one that speaks to its target, so the slots it counts are
the slots in use, and a refusal here is surely before the first byte.

Under more load than a target can carry, calls that wait long all end late. So
a call waits only where it will most likely end within its objective, the rest
are refused at once and may come back, and among those that wait the more urgent
go first: first by priority, then those that are due first.

Calls that a running request makes go before all new requests, and wait for as
long as that request can. Where they are refused, the work of the request that
made them is lost, its slot was held for nothing, and its caller comes back.
"""

from enum import Enum
from random import Random
from typing import Final

from msgspec import Struct

# The usual work of a call; a new target is not yet known to be quicker.
START_ESTIMATE_S: Final = 0.1
# Six of seven calls take less than this multiple of the usual time, where times
# are lognormal with a spread of one half. Under load the queue is always as
# long as it may be; without this margin half of what waits would end late.
TAIL_FACTOR: Final = 1.5
# Calls of the own failure domain go first among calls that are due together.
SPILL_DELAY_SHARE: Final = 0.5
# Callers that were refused together must not come back together.
RETURN_SPREAD: Final = 0.5
SOONEST_RETURN_S: Final = 0.02
LATEST_RETURN_S: Final = 5.0

Key = tuple[bool, int, bool, float]


class Admission(Enum):
    """What happens to a call that arrives at its target's node."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Load(Struct, frozen=True):
    """The load of one target, as its node counts it.

    Args:
        slots: requests that the target runs at the same time.
        used: slots in use.
        waiting: calls that wait for a slot.
        busy_s: usual time that a call holds a slot, seconds.
    """

    slots: int
    used: int
    waiting: int
    busy_s: float = START_ESTIMATE_S


class Need(Struct, frozen=True, kw_only=True):
    """What a call needs; times are seconds of the monotonic clock.

    Args:
        priority: rank of its route, zero for the highest.
        deadline: when nobody waits for an answer any more.
        due: when an answer begins to lose worth; may be past.
        is_spilled: whether it comes from another failure domain.
        is_nested: whether a request that runs on a target has made it.
        usual_s: usual time that calls of its class hold a slot of the target,
            seconds; zero where none has ended yet.
    """

    priority: int = 0
    deadline: float
    due: float
    is_spilled: bool = False
    is_nested: bool = False
    usual_s: float = 0

    @property
    def load_class(self) -> tuple[bool, int]:
        """Return the class of calls that are alike in the work they make."""
        return self.is_nested, self.priority


def order_key(need: Need, now: float) -> Key:
    """Return the key by which waiting calls are sorted, the first one first.

    Args:
        need: what the call needs.
        now: when it arrived, seconds.
    """
    is_late = need.due <= now
    end = need.deadline if is_late else need.due
    if need.is_spilled:
        end += SPILL_DELAY_SHARE * (end - now)
    return not need.is_nested, need.priority, is_late, end


def admit(load: Load, need: Need, now: float, ahead: int) -> Admission:
    """Decide on one call.

    Args:
        load: present load of the target.
        need: what the call needs.
        now: present time, seconds.
        ahead: waiting calls that go before it.
    """
    if need.deadline <= now:
        return Admission.REFUSE
    if load.used < load.slots and not load.waiting:
        return Admission.START
    if can_end_in_time(load, need, now, ahead):
        return Admission.WAIT
    return Admission.REFUSE


def can_end_in_time(load: Load, need: Need, now: float, ahead: int) -> bool:
    """Say whether a waiting call is predicted to end before it loses worth.

    One that has lost worth already must end before its deadline. One that a
    running request has made needs a slot by then: it is short, and the request
    fails without it in any case.
    """
    if not load.slots:
        return False
    wait_s = wait_seconds(load, ahead)
    if need.is_nested:
        return now + wait_s <= need.deadline
    limit = need.due if need.due > now else need.deadline
    tail_s = TAIL_FACTOR * (need.usual_s or load.busy_s)
    return now + wait_s + tail_s <= limit


def wait_seconds(load: Load, ahead: int) -> float:
    """Return how long a call is predicted to wait for a slot.

    Args:
        load: present load of the target, which has slots.
        ahead: waiting calls that go before it.
    """
    excess = max(0, load.used - load.slots)
    return (ahead + excess + 1) * load.busy_s / load.slots


def return_seconds(load: Load, draw: Random) -> float:
    """Return after which time a refused call is told to come back.

    That is when those that wait now are predicted to have a slot, spread so
    that callers who were refused in one burst return one by one.

    Args:
        load: load of the target that refused it.
        draw: source of randomness.
    """
    wait_s = SOONEST_RETURN_S
    if load.slots:
        wait_s = max(wait_s, wait_seconds(load, load.waiting))
    spread = draw.uniform(1 - RETURN_SPREAD, 1 + RETURN_SPREAD)
    return min(LATEST_RETURN_S, wait_s * spread)
