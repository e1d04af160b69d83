"""Limit on retries as a ratio of requests."""


class RetryBudget:
    """Token bucket: each request earns a part of a token, each retry spends one."""

    def __init__(self, ratio: float, burst: float) -> None:
        """Start with a full bucket of ``burst`` tokens."""
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Credit one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take a token for one retry; tell whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
