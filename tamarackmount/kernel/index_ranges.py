"""A set of task indexes stored as ranges, so that large jobs need little memory."""

from collections.abc import Iterable, Iterator

from sortedcontainers import SortedDict


class IndexRanges:
    """A set of integers stored as disjoint ranges that are not adjacent.

    Adding, discarding and looking up the lowest index take logarithmic time in the
    number of ranges; ``len`` takes constant time.
    """

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        """Start with ``ranges``, each a first and a last index, both inclusive."""
        self._last_by_first: SortedDict = SortedDict()
        self._count = 0
        for first, last in ranges:
            self.add_range(first, last)

    def __len__(self) -> int:
        """Return the number of indexes."""
        return self._count

    def __iter__(self) -> Iterator[int]:
        """Yield every index in ascending order."""
        for first, last in list(self._last_by_first.items()):
            yield from range(first, last + 1)

    def __contains__(self, index: int) -> bool:
        """Return whether ``index`` is in the set."""
        first = self._first_at_or_below(index)
        return first is not None and self._last_by_first[first] >= index

    def ranges(self) -> list[tuple[int, int]]:
        """Return the ranges in ascending order."""
        return list(self._last_by_first.items())

    def lowest(self) -> int:
        """Return the lowest index; the set must not be empty."""
        first, _ = self._last_by_first.peekitem(0)
        return int(first)

    def add(self, index: int) -> None:
        """Add one index if it is not in the set."""
        if index not in self:
            self.add_range(index, index)

    def add_range(self, first: int, last: int) -> None:
        """Add the indexes ``first`` to ``last``, none of which may be in the set."""
        self._count += last - first + 1
        before = self._first_at_or_below(first - 1)
        if before is not None and self._last_by_first[before] == first - 1:
            first = before
        last = self._last_by_first.pop(last + 1, last)
        self._last_by_first[first] = last

    def discard(self, index: int) -> None:
        """Remove one index if it is in the set."""
        first = self._first_at_or_below(index)
        if first is None or self._last_by_first[first] < index:
            return
        last = self._last_by_first.pop(first)
        if first < index:
            self._last_by_first[first] = index - 1
        if index < last:
            self._last_by_first[index + 1] = last
        self._count -= 1

    def gaps(self, count: int) -> list[tuple[int, int]]:
        """Return the ranges of indexes below ``count`` that are not in the set."""
        gaps = []
        free_from = 0
        for first, last in self._last_by_first.items():
            if first > free_from:
                gaps.append((free_from, first - 1))
            free_from = last + 1
        if free_from < count:
            gaps.append((free_from, count - 1))
        return gaps

    def take_all(self) -> list[tuple[int, int]]:
        """Empty the set and return the ranges that it contained."""
        ranges = self.ranges()
        self._last_by_first.clear()
        self._count = 0
        return ranges

    def _first_at_or_below(self, index: int) -> int | None:
        position = self._last_by_first.bisect_right(index) - 1
        if position < 0:
            return None
        return int(self._last_by_first.peekitem(position)[0])
