"""Tests of the limit of a target that resets connections when full."""

from medlarhoist.core.reset_limit import RECOVERY_S, ResetLimit

SLOTS = 20


def test_a_target_without_resets_has_all_its_slots():
    assert ResetLimit().restrict(SLOTS, 1) == SLOTS


def test_the_limit_of_a_burst_is_what_runs_after_its_last_reset():
    limit = ResetLimit()
    for others in range(SLOTS - 1, 3, -1):
        limit.record_reset(others, 1)
    assert limit.restrict(SLOTS, 1) == 4


def test_the_limit_grows_until_all_slots_are_used_again():
    limit = ResetLimit()
    limit.record_reset(4, 1)
    steps = range(SLOTS)
    used = [limit.restrict(SLOTS, 1.01 + step * RECOVERY_S) for step in steps]
    assert used == [min(4 + step, SLOTS) for step in steps]


def test_one_slot_is_left():
    limit = ResetLimit()
    limit.record_reset(0, 1)
    assert limit.restrict(SLOTS, 1) == 1


def test_another_run_has_all_slots():
    limit = ResetLimit()
    limit.record_reset(4, 1)
    limit.clear()
    assert limit.restrict(SLOTS, 1) == SLOTS
