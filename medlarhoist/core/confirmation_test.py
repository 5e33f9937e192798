"""Tests of how long a version is known to be the newest.

They guard against a node that serves a withdrawn key because it takes old
evidence for new: after a pause, a restart, or from another's clock.
"""

from math import inf

import pytest

from medlarhoist.core.confirmation import (
    MAX_VERSIONS,
    Anchor,
    Confirmations,
    Contact,
    lease_seconds,
    make_contact,
    stale_seconds,
)


def _confirm(confirmations, version, at):
    contact = Contact(version=version, sent_ms=0, offset_ms=int(at * 1000))
    return confirmations.record(contact)


def test_a_process_that_starts_knows_of_no_contact():
    assert Confirmations().seconds_since(9, 100.0) == inf
    assert Confirmations().contact_for(Anchor(0, 0)) is None


def test_a_contact_counts_once_the_version_that_it_names_is_in_force():
    confirmations = Confirmations()
    _confirm(confirmations, 4, 10.0)
    _confirm(confirmations, 5, 12.0)
    assert confirmations.seconds_since(3, 13.0) == inf
    assert confirmations.seconds_since(4, 13.0) == 3
    assert confirmations.seconds_since(5, 13.0) == 1
    assert confirmations.seconds_since(6, 13.0) == 1


def test_an_earlier_contact_changes_nothing():
    confirmations = Confirmations()
    assert _confirm(confirmations, 4, 10.0)
    assert not _confirm(confirmations, 4, 9.0)
    assert not _confirm(confirmations, 5, 10.0)
    assert confirmations.seconds_since(4, 10.0) == 0


def test_the_newest_versions_are_kept():
    confirmations = Confirmations()
    for version in range(1, MAX_VERSIONS + 3):
        _confirm(confirmations, version, 1.0)
    assert confirmations.seconds_since(2, 1.0) == inf
    assert confirmations.seconds_since(3, 1.0) == 0


@pytest.mark.parametrize('way_s', [0, 0.4, 30.0])
@pytest.mark.parametrize('held_up_s', [0, 7.0])
def test_no_delay_makes_a_contact_look_newer(way_s, held_up_s):
    """The clocks differ by an hour, and messages wait on both ways."""
    child_ahead_s = 3600
    moment = 100.0
    sent_at = 90.0 + child_ahead_s
    anchor = Anchor(int(sent_at * 1000), 90.0 + way_s)
    child = Confirmations()
    child.record(make_contact(3, moment, anchor))
    received_at = max(moment, anchor.received_at) + held_up_s + child_ahead_s
    age = child.seconds_since(3, received_at)
    assert age >= received_at - child_ahead_s - moment - 0.002
    assert age <= received_at - child_ahead_s - moment + way_s + 0.002


def test_a_contact_grows_no_newer_on_its_way_down():
    parent, child = Confirmations(), Confirmations()
    parent.record(make_contact(3, 100.0, Anchor(500_000, 99.5)))
    assert parent.seconds_since(3, 501.0) == pytest.approx(0.5, abs=0.01)
    child.record(parent.contact_for(Anchor(20_000, 500.7)))
    assert child.seconds_since(3, 20.3) == pytest.approx(0.5, abs=0.01)


def test_the_limits_follow_the_time_for_withdrawals():
    assert lease_seconds(0) == 0
    assert 3 < lease_seconds(5000) < 5
    assert stale_seconds(0, 4) == 4
    assert stale_seconds(5000, 4) == 3
    assert stale_seconds(60_000, 4) == 4
