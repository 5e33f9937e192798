"""Cases of the move benchmark: behaviour of healthy and faulty versions."""

from collections.abc import Callable
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from bench.synthetic import NEW, CallContext, Health, HealthModel, Traffic
from medlarhoist.core.snapshot import FULL_SHARE

FAULT_AFTER_S: Final = 12
FAULT_ABOVE_SHARE: Final = 0.7
NOISE_FROM_S: Final = 6
NOISE_UNTIL_S: Final = 16
TARGET_FAILS_FROM_S: Final = 22
TARGET_FAILS_UNTIL_S: Final = 22.25
COLD_START_S: Final = 2.5
HEALTHY: Final = Health()
FAILING: Final = Health(0.3)
TEN_ROUTES: Final = tuple(f'route-{number}' for number in range(10))


class Case(Struct, frozen=True, kw_only=True):
    """Behaviour of an old and a new version during a move.

    Args:
        name: name in the table.
        is_good: whether the new version is healthy, so that the move should
            complete.
        health_of: returns the failure rate and slowness of calls.
        traffic: the calls that arrive.
    """

    name: str
    is_good: bool
    health_of: HealthModel
    traffic: Traffic = Traffic()


def _health_where(
    is_affected: Callable[[CallContext], bool],
    health: Health = FAILING,
    otherwise: Health = HEALTHY,
) -> HealthModel:
    return lambda moment: health if is_affected(moment) else otherwise


def _is_new(moment: CallContext) -> bool:
    return moment.label == NEW


def _is_noisy(moment: CallContext) -> bool:
    in_time = NOISE_FROM_S <= moment.at_s < NOISE_UNTIL_S
    return in_time and moment.domain == 'b'


def _is_on_failing_target(moment: CallContext) -> bool:
    in_time = TARGET_FAILS_FROM_S < moment.at_s <= TARGET_FAILS_UNTIL_S
    return in_time and moment.domain == 'b' and _is_new(moment)


def _always(_moment: CallContext) -> bool:
    return True


CASES: Final = (
    Case(
        name='good',
        is_good=True,
        health_of=_health_where(_always, HEALTHY),
    ),
    Case(
        name='good, cold start',
        is_good=True,
        health_of=_health_where(
            lambda moment: _is_new(moment) and moment.new_for_s < COLD_START_S,
            Health(0.002, 10),
        ),
    ),
    Case(
        name='good, noisy neighbour',
        is_good=True,
        health_of=_health_where(_is_noisy, Health(0.002, 4)),
    ),
    Case(
        name='good, both fail for 10 s',
        is_good=True,
        health_of=_health_where(_is_noisy, Health(0.2)),
    ),
    Case(
        name='good, 30 calls/s',
        is_good=True,
        health_of=_health_where(_always, HEALTHY),
        traffic=Traffic(calls_per_s=30),
    ),
    Case(
        name='good, a target dies',
        is_good=True,
        health_of=_health_where(_is_on_failing_target, Health(0.5)),
    ),
    Case(
        name='good, 10% slower',
        is_good=True,
        health_of=_health_where(_is_new, Health(0.002, 1.1)),
    ),
    Case(
        name='bad at once',
        is_good=False,
        health_of=_health_where(_is_new),
    ),
    Case(
        name='bad after 12 s',
        is_good=False,
        health_of=_health_where(
            lambda moment: _is_new(moment) and moment.at_s >= FAULT_AFTER_S,
        ),
    ),
    Case(
        name='bad under load',
        is_good=False,
        health_of=_health_where(
            lambda moment: (
                _is_new(moment)
                and moment.basis_points > FAULT_ABOVE_SHARE * FULL_SHARE
            ),
        ),
    ),
    Case(
        name='bad on 1 route of 10',
        is_good=False,
        health_of=_health_where(
            lambda moment: _is_new(moment) and moment.route == 'route-4',
        ),
        traffic=Traffic(routes=TEN_ROUTES),
    ),
    Case(
        name='3 times slower',
        is_good=False,
        health_of=_health_where(_is_new, Health(0.002, 3)),
    ),
    Case(
        name='2 times slower',
        is_good=False,
        health_of=_health_where(_is_new, Health(0.002, 2)),
    ),
    Case(
        name='1% fail, not 0.5%',
        is_good=False,
        health_of=_health_where(_is_new, Health(0.01), Health(0.005)),
    ),
    Case(
        name='bad, 30 calls/s',
        is_good=False,
        health_of=_health_where(_is_new),
        traffic=Traffic(calls_per_s=30),
    ),
)


def find_case(name: str, calls_per_s: int = 0) -> Case:
    """Return a case by its name; StopIteration if it does not exist.

    Args:
        name: name of the case.
        calls_per_s: arrival rate; zero uses that of the case.
    """
    case = next(candidate for candidate in CASES if candidate.name == name)
    if not calls_per_s:
        return case
    traffic = replace(case.traffic, calls_per_s=calls_per_s)
    return replace(case, traffic=traffic)
