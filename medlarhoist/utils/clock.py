"""Clocks of the process, passed as functions to code that needs the time."""

import time
from typing import Final

MILLISECONDS_PER_SECOND: Final = 1000


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * MILLISECONDS_PER_SECOND)


def monotonic_seconds() -> float:
    """Return the monotonic time in seconds from an arbitrary origin."""
    return time.monotonic()


def boot_seconds() -> float:
    """Return the seconds since the machine was started.

    Unlike the monotonic clock, this one goes on while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
