"""When callers should retry while the store takes no jobs.

Load pattern: the store is away for some seconds, and callers have a few tries and a
deadline for all of them. Those who are told to return too soon have used their tries
before the store is back; those who are told to return too late have left by then. So
the retry time follows from the time that the caller still waits.
"""

MIN_STORE_RETRY_S = 1.0
"""Minimum retry time, in seconds; the shortest outage of the store."""

MAX_STORE_RETRY_S = 3.0
"""Maximum retry time, in seconds: a caller should return soon after the store does."""

TRIES = 4
"""Number of tries, without unit, over which the time that a caller waits is spread."""


def store_retry_s(remaining_s: float) -> float:
    """Return after which time a caller should retry who waits for ``remaining_s``."""
    return min(MAX_STORE_RETRY_S, max(MIN_STORE_RETRY_S, remaining_s / TRIES))
