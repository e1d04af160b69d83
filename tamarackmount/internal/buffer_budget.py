"""A limit on the bytes that all connections of a process buffer together."""


class BufferBudget:
    """Counts reserved bytes up to a limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing reserved of ``limit_bytes``."""
        self.limit = limit_bytes
        self.used = 0
        self.peak = 0

    def try_reserve(self, count: int) -> bool:
        """Reserve ``count`` bytes; return False if they exceed the limit."""
        if self.used + count > self.limit:
            return False
        self.used += count
        self.peak = max(self.peak, self.used)
        return True

    def release(self, count: int) -> None:
        """Return ``count`` reserved bytes.

        Raises ValueError if fewer bytes are reserved.
        """
        if count > self.used:
            raise ValueError(f"released {count} bytes, but {self.used} are reserved")
        self.used -= count


class Reservation:
    """What one connection buffers: an allowance of its own, then shared bytes."""

    __slots__ = ("_allowance", "_budget", "reserved")

    def __init__(self, budget: BufferBudget, allowance_bytes: int) -> None:
        """Take bytes beyond ``allowance_bytes`` from ``budget``."""
        self._budget = budget
        self._allowance = allowance_bytes
        self.reserved = 0

    def resize(self, count: int) -> bool:
        """Cover ``count`` buffered bytes; return False, unchanged, if none are left."""
        needed = max(0, count - self._allowance)
        if needed > self.reserved:
            if not self._budget.try_reserve(needed - self.reserved):
                return False
        elif needed < self.reserved:
            self._budget.release(self.reserved - needed)
        self.reserved = needed
        return True

    def release(self) -> None:
        """Return all shared bytes."""
        if self.reserved:
            self._budget.release(self.reserved)
            self.reserved = 0
