"""Segment tree that finds workers with enough capacity without a full scan."""

from collections.abc import Iterator

from tamarackmount.resources import Resources

UNPLACEABLE = Resources(-1, -1, -1)
"""Capacity of a worker that takes no work; not even an empty amount fits in it."""


class CapacityTree:
    """Segment tree over worker capacities.

    Each node holds the maximum below it, separately for cores, memory and
    accelerators. Setting a value takes O(log n). A search descends only into nodes
    whose maxima all suffice; no single worker below such a node need have them all.
    """

    def __init__(self) -> None:
        """Create an empty tree."""
        self._leaves = 1
        self._nodes = [UNPLACEABLE, UNPLACEABLE]

    def set(self, index: int, capacity: Resources) -> None:
        """Set the capacity at an index; the tree grows as needed."""
        while index >= self._leaves:
            self._double()
        node = index + self._leaves
        self._nodes[node] = capacity
        node //= 2
        while node:
            maximum = _maximum(self._nodes[2 * node], self._nodes[2 * node + 1])
            if maximum == self._nodes[node]:
                return
            self._nodes[node] = maximum
            node //= 2

    def indexes_fitting(self, amount: Resources) -> Iterator[int]:
        """Yield the indexes at which ``amount`` fits, in ascending order."""
        stack = [1]
        while stack:
            node = stack.pop()
            if not amount.fits_in(self._nodes[node]):
                continue
            if node >= self._leaves:
                yield node - self._leaves
                continue
            stack.append(2 * node + 1)
            stack.append(2 * node)

    def _double(self) -> None:
        leaves = self._nodes[self._leaves :] + [UNPLACEABLE] * self._leaves
        self._leaves *= 2
        self._nodes = [UNPLACEABLE] * self._leaves + leaves
        for node in range(self._leaves - 1, 0, -1):
            children = self._nodes[2 * node], self._nodes[2 * node + 1]
            self._nodes[node] = _maximum(*children)


def _maximum(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
    )
