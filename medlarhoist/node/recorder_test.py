"""Tests of the recorder, which counts the calls of a node."""

import pytest

from medlarhoist.node.recorder import MAX_PENDING_ROWS, create_recorder

BOOK = ('bookings', 'book')
VIEW = ('sightings', 'view')


class Clock:
    """A clock that a test sets, in milliseconds."""

    def __init__(self):
        self.now_ms = 5000

    def __call__(self):
        return self.now_ms


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def recorder(clock):
    recorder = create_recorder('a', clock)
    recorder.select_services({'bookings'})
    return recorder


def count(recorder, route=BOOK, label='v1', **outcome):
    outcome = {'succeeded': False, 'refused': False, **outcome}
    recorder.record(route, label, latency_us=900, **outcome)


def test_calls_are_counted_by_outcome(recorder):
    count(recorder, succeeded=True)
    count(recorder, succeeded=True)
    count(recorder, refused=True)
    count(recorder)
    row = recorder.drain()[0]
    assert (row.succeeded, row.refused, row.failed) == (2, 1, 1)
    assert (row.key.domain, row.key.route, row.window) == ('a', 'book', 5)
    assert sum(row.latency) == 2
    assert recorder.drain() == ()


def test_window_drained_in_parts_counts_the_node_once(recorder, clock):
    count(recorder)
    assert recorder.drain()[0].nodes == 1
    count(recorder)
    assert recorder.drain()[0].nodes == 0
    clock.now_ms += 1000
    count(recorder)
    assert recorder.drain()[0].nodes == 1


def test_services_not_selected_only_count_in_the_totals(recorder):
    count(recorder, route=VIEW, succeeded=True)
    assert recorder.drain() == ()
    count(recorder, route=VIEW, succeeded=True)
    totals = recorder.totals()[0]
    assert (totals.service, totals.succeeded) == ('sightings', 2)


def test_pending_rows_are_bounded_in_a_long_outage(recorder, clock):
    for _ in range(MAX_PENDING_ROWS + 50):
        clock.now_ms += 1000
        count(recorder)
        recorder.collect_rows()
    rows = recorder.drain()
    assert len(rows) == MAX_PENDING_ROWS
    assert recorder.dropped_rows == 50
    assert rows[-1].window == clock.now_ms // 1000
