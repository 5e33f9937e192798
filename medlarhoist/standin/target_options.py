"""Options of a stand-in target: speed, faults, reported phase."""

from enum import StrEnum

from msgspec import Struct


class Fault(StrEnum):
    """Fault that a stand-in target simulates."""

    NONE = 'none'
    FAIL = 'fail'
    SLOW = 'slow'


class Health(StrEnum):
    """Accuracy of the phase that a stand-in target announces.

    An honest target announces its phase, a lagging one an earlier phase, and a
    lying one is always ready.
    """

    HONEST = 'honest'
    LAGGING = 'lagging'
    LYING = 'lying'


class Options(Struct, frozen=True, kw_only=True):
    """Options of a stand-in target.

    Args:
        service: name of its service.
        label: its version.
        slots: number of requests that it runs concurrently.
        work_ms: processing time of a request, milliseconds.
        cold_s: time from the start to readiness, seconds.
        slow_start_s: time after readiness in which requests take three
            times as long, seconds.
        fault: the fault to simulate.
        fault_after_s: time from readiness to the first fault, seconds.
        fault_above: number of requests in progress above which faults occur.
        fault_prefix: prefix of the paths on which faults occur.
        fault_share: fraction of the requests that are faulty, 0 to 1.
        fault_ms: additional processing time of a slow request,
            milliseconds.
        health: accuracy of the announced phase.
        limit: requests per second that responses name as the limit, zero for
            no limit.
    """

    service: str
    label: str
    slots: int = 20
    work_ms: float = 2.0
    cold_s: float = 0
    slow_start_s: float = 0
    fault: Fault = Fault.NONE
    fault_after_s: float = 0
    fault_above: int = 0
    fault_prefix: str = '/'
    fault_share: float = 1.0
    fault_ms: float = 50.0
    health: Health = Health.HONEST
    limit: float = 0


def is_faulty(
    options: Options,
    path: str,
    ready_s: float,
    in_progress: int,
    sample: float,
) -> bool:
    """Return whether a request is faulty.

    Args:
        options: options of the target.
        path: path of the request.
        ready_s: time since readiness, seconds.
        in_progress: requests in progress, this one included.
        sample: random number from 0 to 1, one for each request.
    """
    has_started = ready_s >= options.fault_after_s
    if options.fault is Fault.NONE or not has_started:
        return False
    return (
        in_progress > options.fault_above
        and path.startswith(options.fault_prefix)
        and sample < options.fault_share
    )
