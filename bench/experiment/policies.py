"""Policies: ways to decide about calls that find no free slot."""

from collections.abc import Callable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core import admission
from medlarhoist.core.admission import Admission, Key, Load, Need

Admit = Callable[[Load, Need, float, int], Admission]
CanEnd = Callable[[Load, Need, float, int], bool]
OrderKey = Callable[[Need, float], Key]


class Policy(Struct, frozen=True):
    """The three decisions of a queue; see medlarhoist.core.admission."""

    admit: Admit
    can_end: CanEnd
    order_key: OrderKey


def create_plain() -> Policy:
    """First come, first served, until the deadline."""

    def admit(  # noqa: WPS430
        load: Load,
        need: Need,
        now: float,
        ahead: int,
    ) -> Admission:
        if load.used < load.slots and not load.waiting:
            return Admission.START
        return Admission.WAIT

    return Policy(
        admit,
        lambda load, need, now, ahead: need.deadline > now,
        lambda need, now: (True, 0, False, now),
    )


def create_alike() -> Policy:
    """The product's rules, but nested calls are like all others."""

    def strip(need: Need) -> Need:  # noqa: WPS430
        return replace(need, is_nested=False)

    return Policy(
        lambda load, need, now, ahead: admission.admit(
            load, strip(need), now, ahead
        ),
        lambda load, need, now, ahead: admission.can_end_in_time(
            load, strip(need), now, ahead
        ),
        lambda need, now: admission.order_key(strip(need), now),
    )


PRODUCT: Final = Policy(
    admission.admit, admission.can_end_in_time, admission.order_key
)
POLICIES: Final = {
    'product': PRODUCT,
    'nested alike': create_alike(),
    'plain queue': create_plain(),
}
