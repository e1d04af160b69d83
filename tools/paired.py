"""Compare paired measurements of two versions of the code."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from statistics import mean, stdev

SIGNIFICANT_ERRORS = 2.0
"""Number of standard errors beyond which a mean difference counts, without unit."""


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """The mean of ``variant - base`` over ``count`` pairs, and its standard error.

    ``standard_error`` is None for a single pair, which says nothing about the spread.
    """

    count: int
    base_mean: float
    variant_mean: float
    difference: float
    standard_error: float | None

    @property
    def is_significant(self) -> bool:
        """Whether the difference is beyond two standard errors."""
        if self.standard_error is None:
            return False
        return abs(self.difference) > SIGNIFICANT_ERRORS * self.standard_error


def compare_pairs(base: Sequence[float], variant: Sequence[float]) -> PairedDifference:
    """Compare measurements that were made in pairs, such as on one day and seed.

    Raise :exc:`ValueError` if there are none, or if the numbers of measurements differ.
    """
    if len(base) != len(variant):
        raise ValueError(f"{len(base)} base but {len(variant)} variant measurements")
    if not base:
        raise ValueError("no measurements to compare")
    differences = [after - before for before, after in zip(base, variant, strict=True)]
    error = stdev(differences) / sqrt(len(base)) if len(base) > 1 else None
    return PairedDifference(
        len(base), mean(base), mean(variant), mean(differences), error
    )
