"""Adaptive response timeouts, for appends to the store and records sent to the holder.

A repeated append takes effect once, so a request whose response was lost should be
given up on soon. A slow store, however, must not be flooded with repetitions.
"""

MIN_TIMEOUT_S = 0.25
"""Minimum timeout, in seconds. An append takes 6 ms, and 0.3 s in a slow store; each
append that is given up on too early delays those queued behind it."""

MAX_TIMEOUT_S = 1.2
"""Maximum timeout, in seconds. A slow store answers in 0.3 to 0.6 s, and in 1 s with
several appends queued."""

TIMEOUT_FACTOR = 5.0
"""Ratio of the timeout to the mean response time, without unit."""

SMOOTHING = 0.2
"""Weight of the newest response time in the moving average, from 0 to 1."""

BACKOFF_FACTOR = 2.0
"""Factor by which each consecutive timeout multiplies the next one, without unit."""


class AdaptiveTimeout:
    """A timeout that follows the response times seen so far."""

    def __init__(
        self, min_s: float = MIN_TIMEOUT_S, max_s: float = MAX_TIMEOUT_S
    ) -> None:
        """Keep the timeout between ``min_s`` and ``max_s``."""
        self._min_s = min_s
        self._max_s = max_s
        # Initial mean: the store's usual response time as seen by a caller. Measured
        # response times replace it step by step.
        self._mean_s = 0.02
        self._backoff_multiplier = 1.0

    @property
    def has_no_timeout(self) -> bool:
        """Whether the last response arrived in time."""
        return self._backoff_multiplier == 1.0

    @property
    def has_at_most_one_timeout(self) -> bool:
        """Whether at most one consecutive request timed out."""
        return self._backoff_multiplier <= BACKOFF_FACTOR

    def seconds(self) -> float:
        """Return the timeout of the next request, in seconds."""
        return min(
            self._max_s,
            max(self._min_s, TIMEOUT_FACTOR * self._mean_s) * self._backoff_multiplier,
        )

    def record_response(self, response_s: float) -> None:
        """Add a response time to the average and reset the backoff."""
        self._mean_s += SMOOTHING * (response_s - self._mean_s)
        self._backoff_multiplier = 1.0

    def record_timeout(self) -> None:
        """Lengthen the timeout after a request without a response."""
        self._backoff_multiplier *= BACKOFF_FACTOR
