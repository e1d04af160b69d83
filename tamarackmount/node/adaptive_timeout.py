"""How long to wait for the store's answer to an append.

Appends are recognised when they are repeated, so a lost answer should be given up on
soon, while a slow store must not be asked again and again.
"""

MIN_TIMEOUT_S = 0.25
"""Shortest wait, in seconds: an append takes 6 ms; a slow store takes 0.3 s, and each
append given up on too early makes those behind it wait."""

MAX_TIMEOUT_S = 1.2
"""Longest wait, in seconds: a slow store answers in 0.3 to 0.6 s, a queue of appends in
1 s."""

TIMEOUT_FACTOR = 5.0
"""Wait this many times the usual answer."""

SMOOTHING = 0.2
"""Weight of the newest answer in the usual one."""

BACKOFF_FACTOR = 2.0
"""Each missed answer in a row makes the wait this many times as long."""


class AdaptiveTimeout:
    """The wait for the next answer, from those seen so far."""

    def __init__(
        self, least_s: float = MIN_TIMEOUT_S, most_s: float = MAX_TIMEOUT_S
    ) -> None:
        """Begin with the store's usual answer; wait from ``least_s`` to ``most_s``."""
        self._least_s = least_s
        self._most_s = most_s
        self._usual_s = 0.02
        self._backoff = 1.0

    @property
    def has_no_timeout(self) -> bool:
        """Whether the last answer came in time."""
        return self._backoff == 1.0

    @property
    def has_at_most_one_timeout(self) -> bool:
        """Whether at most one answer in a row was missed."""
        return self._backoff <= BACKOFF_FACTOR

    def seconds(self) -> float:
        """Return how long to wait."""
        return min(
            self._most_s,
            max(self._least_s, TIMEOUT_FACTOR * self._usual_s) * self._backoff,
        )

    def record_response(self, took_s: float) -> None:
        """Take the time of an answer."""
        self._usual_s += SMOOTHING * (took_s - self._usual_s)
        self._backoff = 1.0

    def record_timeout(self) -> None:
        """Note that no answer came in time."""
        self._backoff *= BACKOFF_FACTOR
