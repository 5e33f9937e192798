"""Clocks of the process, passed as functions to code that needs the time."""

import time
from collections.abc import Callable
from math import inf
from typing import Final

MILLISECONDS_PER_SECOND: Final = 1000
_NOTICED_SUSPENSION_S: Final = 0.01


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * MILLISECONDS_PER_SECOND)


def monotonic_seconds() -> float:
    """Return the monotonic time in seconds from an arbitrary origin."""
    return time.monotonic()


def boot_seconds() -> float:
    """Return the seconds since boot, which go on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def create_boot_converter(
    read_monotonic: Callable[[], float] = time.monotonic,
    read_boot: Callable[[], float] = boot_seconds,
) -> Callable[[float], float | None]:
    """Return a function that converts monotonic times to boot_seconds.

    The monotonic clock stops while the VM is suspended. The function returns
    None for a time before the last suspension that a call of it has noticed.
    """
    resumed_at = -inf
    offset = read_boot() - read_monotonic()

    def convert(at: float) -> float | None:  # noqa: WPS430
        nonlocal offset, resumed_at  # noqa: WPS420
        now = read_monotonic()
        present = read_boot() - now
        if present - offset > _NOTICED_SUSPENSION_S:
            offset = present
            resumed_at = now
        return at + offset if at > resumed_at else None

    return convert
