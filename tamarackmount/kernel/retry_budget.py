"""Limit on retries in proportion to requests."""


class RetryBudget:
    """Token bucket that gains ``ratio`` tokens per request; a retry costs one token."""

    def __init__(self, ratio: float, burst: float) -> None:
        """Start with a full bucket of ``burst`` tokens."""
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Add the tokens for one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take the token for one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
