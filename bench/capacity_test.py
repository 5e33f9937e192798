"""Tests of the fit of slopes and of the tables of the capacity page."""

import pytest

from bench.capacity import (
    CURRENT_SIZE,
    PAGE,
    ROWS,
    size_at_budget,
    update_tables,
)
from bench.slopes import Point, fit, read_measurements


def test_fit_of_points_on_line_is_exact():
    points = tuple(Point(size=size, value=3 + 2 * size) for size in range(4))
    slope = fit('x', 'y', 'ms', points)
    assert (slope.base, slope.slope, slope.error) == pytest.approx((3, 2, 0))


def test_fit_error_is_largest_deviation():
    points = tuple(
        Point(size=size, value=value)
        for size, value in ((0, 0), (1, 10), (2, 0), (3, 10))
    )
    assert fit('x', 'y', 'ms', points).error == pytest.approx(0.6)


def test_page_has_tables_of_measured_slopes():
    page = PAGE.read_text()
    assert update_tables(page, read_measurements()) == page


def test_cost_over_budget_exceeds_it_below_current_size():
    measured = read_measurements()
    for row in ROWS:
        if row.budget and row.compute(measured, CURRENT_SIZE) > row.budget:
            assert size_at_budget(measured, row) < CURRENT_SIZE.instances * 1.15
