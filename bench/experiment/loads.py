"""Loads: what comes to the services of an experiment.

Two services, as on a day of high load: look-ups run on the first and most of
them make a check on the second, which also takes the bookings.
"""

from typing import Final

from msgspec.structs import replace

from bench.experiment.simulation import RequestKind

SLOTS: Final = 18
TARGETS: Final = {
    'schedules': (0.7, 0.7, 1.6, 0.7, 1.3),
    'crews': (0.7, 0.7, 1.6),
}
_KINDS: Final = (
    RequestKind(
        name='look-up',
        service='schedules',
        per_s=420,
        work_s=0.16,
        spread=0.5,
        objective_s=0.48,
        deadline_s=1.2,
        priority=2,
        calls='check',
        call_share=0.7,
    ),
    RequestKind(
        name='booking',
        service='crews',
        per_s=157,
        work_s=0.29,
        spread=0.3,
        objective_s=0.58,
        deadline_s=1.5,
        priority=1,
    ),
    RequestKind(
        name='check',
        service='crews',
        per_s=0,
        work_s=0.04,
        spread=0.5,
        objective_s=0.15,
        deadline_s=0.5,
        priority=1,
    ),
)


def scale_load(load: float) -> tuple[RequestKind, ...]:
    """Return the kinds of requests at a multiple of the usual load."""
    return tuple(replace(kind, per_s=kind.per_s * load) for kind in _KINDS)
