"""Tests of versions that arrive out of order, late or twice."""

import pytest
from msgspec.structs import replace

from bench.distribution_fleet import create_snapshot
from medlarhoist.core.confirmation import Contact
from medlarhoist.core.resource import Account
from medlarhoist.node.configuration import create_configuration, may_serve
from medlarhoist.wire.message import Stage
from medlarhoist.wire.snapshot_history import SnapshotHistory


def _stage(version):
    return Stage(version=version, snapshot=create_snapshot(version, 3))


@pytest.fixture
def configuration():
    """Return a configuration with version 3 in force."""
    configuration = create_configuration()
    configuration.set_floor(0)
    configuration.stage(_stage(3))
    configuration.establish(3)
    return configuration


def test_no_version_is_in_force_before_the_floor_is_read():
    configuration = create_configuration()
    configuration.stage(_stage(3))
    configuration.establish(3)
    assert configuration.active is None
    configuration.set_floor(2)
    assert configuration.version == 3


def test_a_version_below_the_floor_is_not_put_in_force():
    configuration = create_configuration()
    configuration.set_floor(4)
    configuration.stage(_stage(3))
    configuration.establish(3)
    assert configuration.active is None
    configuration.stage(_stage(4))
    configuration.establish(4)
    assert configuration.version == 4


def test_late_and_repeated_messages_change_nothing(configuration):
    assert configuration.stage(_stage(2)).holds
    assert configuration.establish(2)
    assert configuration.establish(3)
    configuration.abandon(3)
    assert configuration.version == 3
    assert configuration.staged == 0


def test_a_staged_version_is_not_served_until_it_is_established(
    configuration,
):
    configuration.stage(_stage(4))
    assert (configuration.version, configuration.staged) == (3, 4)
    configuration.abandon(4)
    assert not configuration.establish(4)
    assert configuration.version == 3


def test_versions_may_be_skipped(configuration):
    configuration.stage(_stage(4))
    configuration.stage(_stage(9))
    assert configuration.establish(9)
    assert configuration.version == 9


def test_a_delta_against_other_content_is_a_mismatch(configuration):
    history = SnapshotHistory()
    history.put(create_snapshot(3, 2))
    history.put(create_snapshot(4, 2))
    stage = history.stage_message(4, 3, history.digest(3))
    assert stage.delta is not None
    assert configuration.stage(stage).mismatch
    assert configuration.stage(_stage(4)).holds


def test_a_delta_against_a_held_snapshot_is_compiled(configuration):
    history = SnapshotHistory()
    history.put(create_snapshot(3, 3))
    history.put(create_snapshot(4, 3))
    stage = history.stage_message(4, 3, history.digest(3))
    assert stage.delta is not None
    assert configuration.stage(stage).holds
    configuration.establish(4)
    assert configuration.active.snapshot == create_snapshot(4, 3)


def test_a_version_is_sent_in_full_if_its_base_is_not_held():
    history = SnapshotHistory()
    history.put(create_snapshot(4, 3))
    assert history.stage_message(4, 3, 'unknown').snapshot is not None


def test_a_node_serves_accounts_once_it_has_heard_of_the_leader(configuration):
    """Until then each call with a key would be refused."""
    assert may_serve(configuration, 0)
    assert may_serve(configuration, 5000)
    held = replace(create_snapshot(4, 3), accounts=(Account(name='studio'),))
    configuration.stage(Stage(version=4, snapshot=held))
    configuration.establish(4)
    assert may_serve(configuration, 0)
    assert not may_serve(configuration, 5000)
    configuration.confirmations.record(
        Contact(version=4, sent_ms=1, offset_ms=0)
    )
    assert may_serve(configuration, 5000)


def test_a_node_without_a_version_does_not_serve():
    assert not may_serve(create_configuration(), 0)
