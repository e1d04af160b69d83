"""Sets of indexes that are stored as ranges."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import Self


class IndexRanges:
    """A set of integers from 0 on, as sorted ranges that do not touch.

    What most tasks of a job have in common takes a few ranges, however many they are.
    Look-ups and changes take a time that grows with the number of ranges only.
    """

    __slots__ = ("_count", "_ends", "_starts")

    def __init__(self, ranges: Iterable[Iterable[int]] = ()) -> None:
        """Begin with ranges, each given by its first and its last index."""
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._count = 0
        for first, last in ranges:
            self.add_range(first, last)

    @classmethod
    def below(cls, count: int) -> Self:
        """Return the indexes below ``count``."""
        return cls([(0, count - 1)] if count > 0 else [])

    def __contains__(self, index: int) -> bool:
        """Tell whether an index is in the set."""
        position = bisect_right(self._starts, index) - 1
        return position >= 0 and index < self._ends[position]

    def __len__(self) -> int:
        """Return the number of indexes."""
        return self._count

    def __iter__(self) -> Iterator[int]:
        """Yield the indexes in order; changes behind the current one are allowed."""
        index = self.first_from(0)
        while index is not None:
            yield index
            index = self.first_from(index + 1)

    def first_from(self, index: int) -> int | None:
        """Return the lowest index that is at least ``index``, if there is one."""
        position = bisect_right(self._starts, index) - 1
        if position >= 0 and index < self._ends[position]:
            return index
        position += 1
        return self._starts[position] if position < len(self._starts) else None

    def ranges(self) -> list[tuple[int, int]]:
        """Return the first and the last index of each range, in order."""
        return [
            (start, end - 1)
            for start, end in zip(self._starts, self._ends, strict=True)
        ]

    def add(self, index: int) -> None:
        """Add an index."""
        self.add_range(index, index)

    def add_range(self, first: int, last: int) -> None:
        """Add the indexes from ``first`` to ``last``."""
        if first > last:
            return
        start, end = first, last + 1
        # Ranges that overlap or touch the new one are merged with it.
        low = bisect_right(self._starts, start)
        if low and self._ends[low - 1] >= start:
            low -= 1
        high = bisect_right(self._starts, end)
        for position in range(low, high):
            start = min(start, self._starts[position])
            end = max(end, self._ends[position])
            self._count -= self._ends[position] - self._starts[position]
        self._starts[low:high] = [start]
        self._ends[low:high] = [end]
        self._count += end - start

    def discard(self, index: int) -> None:
        """Remove an index, if it is in the set."""
        self.discard_range(index, index)

    def discard_range(self, first: int, last: int) -> None:
        """Remove the indexes from ``first`` to ``last``, if they are in the set."""
        if first > last:
            return
        low = max(0, bisect_right(self._starts, first) - 1)
        high = bisect_right(self._starts, last)
        parts: list[tuple[int, int]] = []
        for position in range(low, high):
            start, end = self._starts[position], self._ends[position]
            self._count -= end - start
            left, right = (start, min(end, first)), (max(start, last + 1), end)
            parts += [part for part in (left, right) if part[0] < part[1]]
        self._starts[low:high] = [start for start, _ in parts]
        self._ends[low:high] = [end for _, end in parts]
        self._count += sum(end - start for start, end in parts)

    def clear(self) -> None:
        """Remove all indexes."""
        self._starts.clear()
        self._ends.clear()
        self._count = 0
