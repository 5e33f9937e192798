"""Failed run: what follows from a request that its target did not answer."""

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
        The failure, with a suspicion if there is one.
    """
    if outcome.verdict is Verdict.DID_NOT_RUN:
        slots.release()
    else:
        # The target may still use the slot.
        slots.release_later()
    if outcome.is_unreachable and cold is not None:
        cold.presume()
    return await suspects.handle_failure(outcome, run)


def settle_lost_response(suspects: TargetSuspects, run: SuspectRun) -> None:
    """Find out, in a task, what the loss of a begun response shows."""
    start_task(suspects.handle_loss(run))
