"""Tests of what a node knows of the coldness of its target."""

import pytest

from medlarhoist.core.cold_start import (
    NOTICE_TRAVEL_S,
    UNKNOWN_RATE,
    Coldness,
    cold_seconds,
    find_cold_rate,
    presume_cold,
    record_notice,
)
from medlarhoist.core.resource import Service

NOW = 100.0
SERVICE = Service(name='s', cold_rate=5)
WARM = Coldness()
COLD = Coldness(NOW + 3)


def _hear(coldness, cold_s, at=NOW, *, is_new_run=False):
    return record_notice(coldness, cold_s, at, is_new_run=is_new_run)


def test_a_target_is_cold_for_as_long_as_its_notice_says():
    cold = _hear(WARM, 3, is_new_run=True)
    assert cold_seconds(cold, NOW + 2.9) == pytest.approx(0.1)
    assert cold_seconds(cold, NOW + 3) == 0


@pytest.mark.parametrize('stated_s', [0, 1, 30])
def test_a_later_notice_of_a_run_counts(stated_s):
    assert cold_seconds(_hear(COLD, stated_s, NOW + 1), NOW + 1) == stated_s


def test_a_warm_target_can_turn_cold_again():
    assert cold_seconds(_hear(_hear(WARM, 0), 2, NOW + 60), NOW + 60) == 2


def test_a_presumed_coldness_lasts_until_a_notice():
    presumed = presume_cold(WARM, NOW)
    assert cold_seconds(presumed, NOW + 60)
    assert not cold_seconds(_hear(presumed, 0, NOW + 1), NOW + 1)


def test_a_late_notice_of_the_ended_run_ends_no_presumed_coldness():
    presumed = presume_cold(WARM, NOW)
    at = NOW + NOTICE_TRAVEL_S / 2
    assert cold_seconds(_hear(presumed, 0, at), at)
    assert not cold_seconds(_hear(presumed, 0, at, is_new_run=True), at)


@pytest.mark.parametrize(
    ('service', 'coldness', 'rate'),
    [
        (SERVICE, COLD, 5),
        (SERVICE, WARM, 0),
        (SERVICE, presume_cold(WARM, NOW), 5),
        (Service(name='s'), COLD, 0),
        (Service(name='s'), presume_cold(WARM, NOW), 0),
        (None, COLD, UNKNOWN_RATE),
        (None, WARM, 0),
    ],
)
def test_the_rate_of_a_cold_target_is_that_of_its_service(
    service, coldness, rate
):
    assert find_cold_rate(service, coldness, NOW) == rate
