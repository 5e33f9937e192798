"""Policies: admission control and queueing of calls, to be compared."""

from collections.abc import Callable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core import admission
from medlarhoist.core.admission import Admission, CallRequirements, Key, Load

Admit = Callable[[Load, CallRequirements, float, int], Admission]
CanEnd = Callable[[Load, CallRequirements, float, int], bool]
OrderKey = Callable[[CallRequirements, float], Key]


class Policy(Struct, frozen=True):
    """The decisions of a queue, as in medlarhoist.core.admission.

    Args:
        admit: decides whether an arriving call starts, waits or is refused.
        can_end: returns whether a waiting call can still finish in time.
        order_key: returns the sort key of a waiting call.
    """

    admit: Admit
    can_end: CanEnd
    order_key: OrderKey


def create_first_come_first_served() -> Policy:
    """Return a policy that serves calls in order until their deadline."""

    def admit(  # noqa: WPS430
        load: Load,
        requirements: CallRequirements,
        now: float,
        ahead: int,
    ) -> Admission:
        if load.used < load.slots and not load.waiting:
            return Admission.START
        return Admission.WAIT

    return Policy(
        admit,
        lambda load, requirements, now, ahead: requirements.deadline > now,
        lambda requirements, now: (True, 0, False, now),
    )


def create_without_nesting() -> Policy:
    """Return the policy of nodes, but without priority of nested calls."""

    def drop_nesting(  # noqa: WPS430
        requirements: CallRequirements,
    ) -> CallRequirements:
        return replace(requirements, is_nested=False)

    return Policy(
        lambda load, requirements, now, ahead: admission.admit(
            load, drop_nesting(requirements), now, ahead
        ),
        lambda load, requirements, now, ahead: admission.can_finish_in_time(
            load, drop_nesting(requirements), now, ahead
        ),
        lambda requirements, now: admission.queue_key(
            drop_nesting(requirements), now
        ),
    )


PRODUCT: Final = Policy(
    admission.admit, admission.can_finish_in_time, admission.queue_key
)
POLICIES: Final = {
    'product': PRODUCT,
    'nested alike': create_without_nesting(),
    'plain queue': create_first_come_first_served(),
}
