"""The process's clocks."""

import time

from tamarackmount.ids import Instant

NANOSECONDS_PER_MS = 1_000_000
"""Nanoseconds in a millisecond."""


def now() -> Instant:
    """Return the monotonic time, which also advances while the machine is suspended."""
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


def unix_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // NANOSECONDS_PER_MS
