"""Tests of the decisions on requests that crash their targets."""

import pytest

from medlarhoist.core.quarantine import (
    CAPACITY,
    DEATHS_TO_QUARANTINE,
    FIRST_TRIAL_S,
    SUSPECT_TTL_S,
    Quarantine,
    SuspectRuns,
    Suspicion,
    format_suspicion,
    parse_suspicion,
)

GUILTY = 'ab' * 12
OTHER = 'cd' * 12
NOW = 100.0


def _convict(quarantine, fingerprint=GUILTY, now=NOW):
    known = None
    for _ in range(DEATHS_TO_QUARANTINE):
        known = quarantine.record_death(fingerprint, known, now)
    return known


@pytest.fixture(name='quarantine')
def _quarantine():
    return Quarantine()


def test_runs_that_end_one_after_another_convict(quarantine):
    record = _convict(quarantine)
    assert record.is_quarantined
    assert record.wait_ms == FIRST_TRIAL_S * 1000


def test_runs_that_began_without_knowledge_count_once(quarantine):
    for _ in range(5):
        record = quarantine.record_death(GUILTY, None, NOW)
    assert record.deaths == 1


def test_a_run_that_began_before_a_suspect_was_cleared_does_not_count(
    quarantine,
):
    known = quarantine.record_death(GUILTY, None, NOW)
    assert quarantine.clear(GUILTY, NOW)
    assert quarantine.record_death(GUILTY, known, NOW) is None


def test_all_nodes_agree_in_whatever_order_records_arrive(quarantine):
    _convict(quarantine)
    convicted = quarantine.export(NOW)
    quarantine.clear(GUILTY, NOW)
    cleared = quarantine.export(NOW)
    for order in ((convicted, cleared), (cleared, convicted)):
        other = Quarantine()
        for records in order:
            other.merge(records, NOW)
        assert other.find(GUILTY, NOW) is None
        assert not other.merge(convicted, NOW)


def test_a_node_learns_the_time_that_is_left(quarantine):
    _convict(quarantine)
    other = Quarantine()
    other.merge(quarantine.export(NOW + 60), 5.0)
    assert other.find(GUILTY, 5.0).wait_ms == (FIRST_TRIAL_S - 60) * 1000


def test_trials_are_rare_and_each_is_later(quarantine):
    record = _convict(quarantine)
    runs = SuspectRuns()
    assert runs.find_refusal_reason(record)
    later = NOW + FIRST_TRIAL_S + 1
    record = quarantine.find(GUILTY, later)
    assert not runs.find_refusal_reason(record)
    record = quarantine.begin_trial(GUILTY, later)
    assert record.wait_ms == 2 * FIRST_TRIAL_S * 1000
    quarantine.record_death(GUILTY, record, later)
    assert quarantine.find(GUILTY, later).wait_ms == record.wait_ms


def test_a_trial_that_completes_ends_the_quarantine(quarantine):
    _convict(quarantine)
    later = NOW + FIRST_TRIAL_S + 1
    quarantine.begin_trial(GUILTY, later)
    assert quarantine.clear(GUILTY, later)
    assert quarantine.find(GUILTY, later) is None


def test_all_suspects_are_cleared_at_once(quarantine):
    _convict(quarantine)
    quarantine.record_death(OTHER, None, NOW)
    assert quarantine.clear_all(NOW) == 2
    assert quarantine.find(GUILTY, NOW) is None
    assert quarantine.clear_all(NOW) == 0


def test_a_suspect_runs_once_at_a_time():
    runs = SuspectRuns()
    record = Suspicion(GUILTY, deaths=1)
    assert not runs.find_refusal_reason(record)
    runs.begin(record)
    assert runs.find_refusal_reason(record)
    assert not runs.find_refusal_reason(Suspicion(OTHER, deaths=1))
    runs.end(GUILTY)
    assert not runs.find_refusal_reason(record)


@pytest.mark.parametrize('deaths', [(1, 2), (2, 1), (2, 2)])
def test_a_strong_suspect_runs_beside_no_other(deaths):
    runs = SuspectRuns()
    runs.begin(Suspicion(GUILTY, deaths=deaths[0]))
    assert runs.find_refusal_reason(Suspicion(OTHER, deaths=deaths[1]))


def test_many_suspects_push_no_convicted_request_out(quarantine):
    _convict(quarantine)
    for number in range(2 * CAPACITY):
        quarantine.record_death(f'{number:024x}', None, NOW + 1)
    assert len(quarantine.entries) == CAPACITY
    assert quarantine.find(GUILTY, NOW + 1).is_quarantined
    assert quarantine.export(NOW + 1)[0].fingerprint == GUILTY


def test_suspects_are_forgotten_and_convicted_requests_are_not(quarantine):
    _convict(quarantine)
    quarantine.record_death(OTHER, None, NOW)
    quarantine.expire(NOW + SUSPECT_TTL_S + 1)
    assert set(quarantine.entries) == {GUILTY}


def test_each_record_is_sent_a_limited_number_of_times(quarantine):
    _convict(quarantine)
    quarantine.record_death(OTHER, None, NOW)
    sent = [quarantine.pop_updates(1, 3, NOW) for _ in range(8)]
    assert [len(records) for records in sent] == [1] * 6 + [0] * 2
    assert not quarantine.has_unsent()


def test_no_request_is_suspected_where_it_is_switched_off():
    quarantine = Quarantine(is_enabled=False)
    assert _convict(quarantine) is None
    assert not quarantine.merge((Suspicion(GUILTY, deaths=3),), NOW)
    assert not quarantine.entries


def test_headers_hold_records_and_malformed_ones_are_ignored(quarantine):
    record = _convict(quarantine)
    assert parse_suspicion(format_suspicion(record)) == record
    for value in (None, b'', b'[]', b'["x",0,0,0,0]', b'["%b",-1]' % b'ab'):
        assert parse_suspicion(value) is None
