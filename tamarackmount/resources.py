"""Amounts of resources: processors, memory and accelerators."""

from dataclasses import dataclass
from typing import Self


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processors, memory and accelerators.

    Units: thousandths of a core, mebibytes and whole accelerators.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: Self) -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Self) -> "Resources":
        """Return this amount less the other; the result may have negative parts."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> "Resources":
        """Return ``count`` times this amount."""
        return Resources(
            self.millicores * count,
            self.memory_mib * count,
            self.accelerators * count,
        )

    def fits_in(self, free: Self) -> bool:
        """Tell whether no resource of this amount exceeds that of ``free``."""
        return (
            self.millicores <= free.millicores
            and self.memory_mib <= free.memory_mib
            and self.accelerators <= free.accelerators
        )


NOTHING = Resources()
"""The empty amount."""


def componentwise_maximum(one: Resources, other: Resources) -> Resources:
    """Return the larger amount of each resource."""
    return Resources(
        max(one.millicores, other.millicores),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
    )


def componentwise_minimum(one: Resources, other: Resources) -> Resources:
    """Return the smaller amount of each resource."""
    return Resources(
        min(one.millicores, other.millicores),
        min(one.memory_mib, other.memory_mib),
        min(one.accelerators, other.accelerators),
    )
