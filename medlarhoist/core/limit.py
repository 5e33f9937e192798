"""Limit: decides whether a target's node may start a call now.

The node is the only one that speaks to its target, so the slots it counts are
the slots in use, and a refusal here is surely before the first byte.
"""

from enum import Enum
from math import ceil
from typing import Final

from msgspec import Struct

SPILL_SHARE: Final = 0.7
QUEUE_SHARE: Final = 0.5
START_ESTIMATE_S: Final = 0.01


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


def admit(load: Load, left_s: float, *, is_spilled: bool) -> Admission:
    """Decide on one call.

    Calls that spilled from another failure domain get a part of the slots
    and never wait, so that the loss of one domain leaves room for the own
    calls of the next.

    Args:
        load: present load of the target.
        left_s: time to the deadline of the call, seconds.
        is_spilled: whether it comes from another failure domain.
    """
    if left_s <= 0:
        return Admission.REFUSE
    if is_spilled:
        has_room = load.used < ceil(load.slots * SPILL_SHARE)
        return Admission.START if has_room else Admission.REFUSE
    if load.used < load.slots and load.waiting == 0:
        return Admission.START
    return _admit_to_queue(load, left_s)


def _admit_to_queue(load: Load, left_s: float) -> Admission:
    if load.waiting >= ceil(load.slots * QUEUE_SHARE):
        return Admission.REFUSE
    turns = (load.waiting + 1) / max(1, load.slots)
    if turns * load.busy_s + load.busy_s > left_s:
        return Admission.REFUSE
    return Admission.WAIT
