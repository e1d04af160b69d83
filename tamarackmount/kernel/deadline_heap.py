"""Heap of deadlines by key, with updates in amortised O(log n)."""

import heapq
from collections.abc import Hashable
from itertools import count
from typing import Generic, TypeVar

from tamarackmount.ids import Instant

K = TypeVar("K", bound=Hashable)

_MIN_COMPACTED_LENGTH = 64
"""Heap length, in items, below which stale items are not removed."""


class DeadlineHeap(Generic[K]):
    """Heap with one deadline per key; setting a key again replaces its deadline."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[tuple[Instant, int, K]] = []
        self._current_by_key: dict[K, tuple[Instant, int]] = {}
        self._serial = count()

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._current_by_key)

    def __contains__(self, key: K) -> bool:
        """Return whether the key has a deadline."""
        return key in self._current_by_key

    @property
    def heap_size(self) -> int:
        """Number of items in memory, including those of replaced deadlines."""
        return len(self._heap)

    def set(self, key: K, deadline: Instant) -> None:
        """Set the deadline of a key."""
        serial = next(self._serial)
        self._current_by_key[key] = (deadline, serial)
        heapq.heappush(self._heap, (deadline, serial, key))
        self._compact()

    def discard(self, key: K) -> None:
        """Remove a key if it is present."""
        self._current_by_key.pop(key, None)
        self._compact()

    def pop_due(self, now: Instant) -> list[K]:
        """Remove and return the keys with a deadline at or before ``now``."""
        due: list[K] = []
        while self._heap and self._heap[0][0] <= now:
            deadline, serial, key = heapq.heappop(self._heap)
            if self._current_by_key.get(key) != (deadline, serial):
                continue
            del self._current_by_key[key]
            due.append(key)
        return due

    def _compact(self) -> None:
        # Removed and replaced keys leave stale items in the heap. Removing these once
        # they are the majority limits a large heap to twice the number of keys, at an
        # amortised cost of O(1).
        if len(self._heap) < _MIN_COMPACTED_LENGTH:
            return
        if len(self._heap) <= 2 * len(self._current_by_key):
            return
        self._heap = [
            item
            for item in self._heap
            if self._current_by_key.get(item[2]) == (item[0], item[1])
        ]
        heapq.heapify(self._heap)
