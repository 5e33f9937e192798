"""Forwarded call: what an entry node tells the node of a call's target."""

from msgspec import Struct

from medlarhoist.core.admission import CallRequirements
from medlarhoist.core.condition import NO_CONDITION, Condition
from medlarhoist.core.quarantine import Suspicion


class ForwardedCall(Struct, frozen=True, kw_only=True):
    """The properties of a call by which the target's node admits it.

    The entry node sends them as headers if the target is on another VM.

    Args:
        request_id: id of the attempt, unique for each.
        service: name of the service.
        label: version that the entry node selected, empty for any.
        need: requirements of the call: deadline, objective and priority.
        condition: what the target has stated of itself to the entry node.
        suspicion: what the entry node knows of the request if it is suspected
            to crash targets, None if it is not.
        account: name of the client account that the call belongs to, empty
            for none.
    """

    request_id: bytes
    service: str
    label: str
    need: CallRequirements
    condition: Condition = NO_CONDITION
    suspicion: Suspicion | None = None
    account: str = ''

    @property
    def deadline(self) -> float:
        """Return the deadline, seconds of the monotonic clock."""
        return self.need.deadline
