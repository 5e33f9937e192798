"""Tests of the conversion to a clock that goes on through a suspension."""

from medlarhoist.utils.clock import create_boot_converter


def test_times_before_a_suspension_are_not_converted():
    monotonic, boot = [10], [100]
    convert = create_boot_converter(lambda: monotonic[0], lambda: boot[0])
    assert convert(9) == 99
    monotonic[0] += 1
    boot[0] += 31
    assert convert(10) is None
    monotonic[0] += 1
    boot[0] += 1
    assert convert(12) == 132
