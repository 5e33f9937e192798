"""Failed run: what follows from a request that its target did not answer."""

import time

from msgspec import structs

from medlarhoist.core.verdict import Verdict
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.cold_target import ColdTarget
from medlarhoist.node.proxy.slots import Slots
from medlarhoist.node.proxy.suspects import SuspectRun, TargetSuspects
from medlarhoist.utils.tasks import start_task


async def settle_failed_run(
    outcome: Failure,
    run: SuspectRun,
    slots: Slots,
    suspects: TargetSuspects,
    cold: ColdTarget | None,
) -> Failure:
    """Release the slot of a request and find out what its failure shows.

    Args:
        outcome: the failure.
        run: the request.
        slots: slots of the target.
        suspects: the requests that are suspected to crash the target.
        cold: whether the target is cold; None if all connections to it are in
            use, as then it may be full instead of having ended.

    Returns:
        The failure, with the load if the target is full, or with a suspicion.
    """
    is_full = _release_slot(slots, outcome)
    if outcome.is_unreachable and cold is not None and not is_full:
        cold.presume()
    failure = await suspects.handle_failure(outcome, run)
    if is_full and failure.suspicion is None:
        return structs.replace(failure, load=slots.load)
    return failure


def settle_lost_response(suspects: TargetSuspects, run: SuspectRun) -> None:
    """Find out, in a task, what the loss of a begun response shows."""
    start_task(suspects.handle_loss(run))


def _release_slot(slots: Slots, failure: Failure) -> bool:
    """Release a slot, later if the target may still use it.

    A target that resets a new connection while it runs other requests is full,
    and its slots are limited to those.

    Returns:
        Whether the failure shows that the target is full, unless it has ended.
    """
    others = slots.used - 1
    if failure.verdict is Verdict.DID_NOT_RUN:
        slots.release()
    elif failure.is_reset and others:
        slots.reset_limit.record_reset(others, time.monotonic())
        slots.release()
        return True
    else:
        slots.release_later()
    return False
