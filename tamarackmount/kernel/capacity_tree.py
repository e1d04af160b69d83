"""A tree over workers that finds room without looking at every worker."""

from collections.abc import Iterator

from tamarackmount.resources import Resources

UNPLACEABLE = Resources(-1, -1, -1)
"""Stands for a worker that takes nothing, whatever is asked."""


class CapacityTree:
    """A segment tree whose nodes hold the largest room below them, part by part.

    Setting a slot costs the logarithm of the slots. Finding follows only branches
    in which each part alone is large enough.
    """

    def __init__(self) -> None:
        """Start with no slots."""
        self._leaves = 1
        self._nodes = [UNPLACEABLE, UNPLACEABLE]

    def set(self, slot: int, room: Resources) -> None:
        """Note the room of a slot; the tree grows to hold it."""
        while slot >= self._leaves:
            self._double()
        node = slot + self._leaves
        self._nodes[node] = room
        node //= 2
        while node:
            largest = _largest(self._nodes[2 * node], self._nodes[2 * node + 1])
            if largest == self._nodes[node]:
                return
            self._nodes[node] = largest
            node //= 2

    def slots_with(self, amount: Resources) -> Iterator[int]:
        """Yield the slots with room for ``amount``, in rising order."""
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
            below = self._nodes[2 * node], self._nodes[2 * node + 1]
            self._nodes[node] = _largest(*below)


def _largest(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
    )
