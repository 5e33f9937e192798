"""Domain drain: orders that state whether a failure domain is drained.

An order has no id of its own. It says how the domain shall be, so a repeated
one changes nothing, and each is a request of its own to the replicated log,
which puts orders of several operators in one sequence.
"""

from uuid import uuid4

from loguru import logger

from medlarhoist.core.api_messages import ApplyRequest
from medlarhoist.core.command import Outcome, Status
from medlarhoist.core.domain_drain import build_drain_change
from medlarhoist.core.interfaces import Ledger
from medlarhoist.source.api_write import Writer


async def set_drain(
    writer: Writer,
    ledger: Ledger,
    operator: str,
    domain: str,
    *,
    is_drained: bool,
) -> Outcome:
    """Start or end the drain of a failure domain.

    Args:
        writer: proposes the order to the ledger.
        ledger: the replicated log.
        operator: name of the operator, for the audit log.
        domain: name of the failure domain.
        is_drained: whether its targets shall receive no calls.

    Returns:
        The outcome: accepted once nodes have it in force, also where it was
        so before; refused if the name is not valid; pending if the order was
        not decided in time, or its version was abandoned, and may be repeated.

    Raises:
        QueueFull: the order was not logged.
        NotLeader: the order was not logged by this call.
        StorageFailed: the order was not logged, as the disk failed.
        OutcomeUnknown: the order may still be committed.
    """
    request = ApplyRequest(
        # An id made of the time could repeat an earlier one after a clock step.
        request_id=f'drain-{uuid4().hex}',
        changes=(build_drain_change(domain, is_drained=is_drained),),
    )
    outcome = await writer.apply(operator, request)
    if outcome.status is Status.ABANDONED:
        return Outcome(status=Status.PENDING, faults=outcome.faults)
    if not is_drained and outcome.status is Status.REFUSED:
        # A drain that does not exist cannot be deleted: it has ended.
        await writer.wait_in_force()
        version = ledger.state.active.version
        outcome = Outcome(status=Status.ACCEPTED, version=version)
    if outcome.status is Status.ACCEPTED:
        logger.bind(domain=domain, version=outcome.version).info(
            'drain: an operator has {}',
            'started it' if is_drained else 'ended it',
        )
    return outcome
