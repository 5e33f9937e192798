"""Tests of the lag of versions."""

import time
from unittest.mock import Mock

import pytest
from loguru import logger

from medlarhoist.core.snapshot import Snapshot
from medlarhoist.node.configuration import create_configuration
from medlarhoist.node.lag_monitor import create_lag_monitor
from medlarhoist.node.uplink import UplinkView
from medlarhoist.wire.message import Stage


@pytest.fixture(name='lines')
def _lines():
    """Return the log lines that are written while the test runs."""
    lines = []
    sink = logger.add(lambda line: lines.append(line.record), level='INFO')
    yield lines
    logger.remove(sink)


def _put_in_force(configuration, version, lag_s):
    snapshot = Snapshot(version=version)
    configuration.stage(Stage(version=version, snapshot=snapshot))
    configuration.acceptance.record(
        version, int(lag_s * 1000), time.monotonic()
    )
    configuration.establish(version)


def test_a_late_version_is_counted_and_logged(lines):
    uplink = Mock()
    uplink.view.return_value = UplinkView(parent='p', attempts=1)
    receiver = Mock()
    receiver.seconds_since_leader.return_value = 0.5
    configuration = create_configuration()
    configuration.set_floor(0)
    monitor = create_lag_monitor(configuration, uplink, receiver)
    _put_in_force(configuration, 1, 100)
    _put_in_force(configuration, 2, 0)
    _put_in_force(configuration, 3, 1.5)
    view = monitor.view()
    assert view.within['0.25'] == 1
    assert view.within['1'] == 1
    assert view.within['2.5'] == 2
    assert view.within['+Inf'] == 2
    late = [line for line in lines if 'came late' in line['message']]
    assert [line['extra']['parent'] for line in late] == ['p']
    assert late[0]['extra']['lag_s'] == pytest.approx(1.5, abs=0.2)
