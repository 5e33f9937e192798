"""Tests of the times at which versions were accepted."""

from medlarhoist.core.acceptance import MAX_VERSIONS, AcceptanceTimes


def test_the_earliest_time_counts():
    """A version that is told again, by a slower way, keeps its age."""
    times = AcceptanceTimes()
    times.record(3, 500, now=10)
    times.record(3, 100, now=11)
    assert times.ms_since(3, now=12) == 2500


def test_an_unknown_version_has_no_age():
    assert AcceptanceTimes().seconds_since(3, now=12) == 0


def test_old_versions_are_forgotten():
    times = AcceptanceTimes()
    for version in range(MAX_VERSIONS + 1):
        times.record(version, 0, now=version)
    assert times.seconds_since(0, now=100) == 0
    assert times.seconds_since(MAX_VERSIONS, now=100) == 100 - MAX_VERSIONS
