"""Tests of the header by which a node reports the load of its target."""

import pytest

from medlarhoist.core.admission import Load
from medlarhoist.core.load_headers import format_load, parse_load

LOADS = (
    Load(3, 2, 1, 0.25),
    Load(3, 2, 1, 0.25, rate=4.65, delay_s=0.2),
    Load(3, 2, 1, 0.25, rate=4.65, delay_s=0.2, cold_s=2.5),
)


@pytest.mark.parametrize('load', LOADS)
def test_a_load_is_read_as_it_was_written(load):
    assert parse_load(format_load(load)) == load


@pytest.mark.parametrize(
    'value',
    [None, b'', b'1', b'1 2 3', b'1 2 3 4 5', b'1 2 3 4 5 6 7 8', b'1 2 3 x'],
)
def test_another_value_is_no_report(value):
    assert parse_load(value) is None


def test_a_coldness_without_a_rate_is_none():
    assert parse_load(b'3 2 1 250 0 0 900') == Load(3, 2, 1, 0.25)


def test_a_coldness_of_any_length_can_be_read():
    cold = Load(3, 2, 1, rate=1, cold_s=10**9)
    parsed = parse_load(format_load(cold))
    assert parsed is not None
    assert parsed.cold_s > 10**5
