"""What waits until it is due: steps, and the next repetitions of jobs."""

from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Generic, TypeVar

K = TypeVar("K")


class DueQueue(Generic[K]):
    """Keys in the order in which they are due.

    A key that is not wanted any more is left in place; the reader skips it.
    """

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        """Begin empty."""
        self._rows: list[tuple[int, K]] = []

    def add(self, key: K, due_unix_ms: int) -> None:
        """Add a key that is due at a time, in milliseconds since 1970."""
        heappush(self._rows, (due_unix_ms, key))

    def take_due(self, unix_ms: int) -> Iterator[K]:
        """Remove and yield the keys that are due."""
        while self._rows and self._rows[0][0] <= unix_ms:
            yield heappop(self._rows)[1]
