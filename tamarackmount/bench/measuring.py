"""Repeated measurements, and straight lines fitted to them."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

MIN_SIZES = 3
"""Minimum number of sizes for fitting a line."""


@dataclass(frozen=True, slots=True)
class SamplingOptions:
    """Number and sizes of samples.

    ``repeats`` is the number of samples at each size, ``rounds`` the number of
    operations in a sample. ``is_small`` replaces the sizes by tiny ones.
    """

    repeats: int = 5
    rounds: int = 200
    is_small: bool = False

    def sizes(self, *full: int) -> tuple[int, ...]:
        """Return the sizes to measure: ``full``, or tiny ones for a small run."""
        return (1, 2, 3) if self.is_small else full


@dataclass(frozen=True, slots=True)
class Point:
    """Median of the samples at one size.

    ``spread`` is half the range of the samples, relative to the median.
    """

    size: int
    value: float
    spread: float


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line: the value is ``base`` at size 0, plus ``per_unit`` per unit."""

    base: float
    per_unit: float
    points: tuple[Point, ...] = ()

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.per_unit * size

    @property
    def spread(self) -> float:
        """Largest relative spread among the points."""
        return max((point.spread for point in self.points), default=0.0)


def summarise(size: int, samples: Sequence[float]) -> Point:
    """Return the median and the spread of the samples at one size."""
    median = statistics.median(samples)
    half_range = (max(samples) - min(samples)) / 2
    return Point(size, median, half_range / median if median else 0.0)


def fit_line(points: Sequence[Point]) -> Line:
    """Return the least-squares line through at least three points."""
    if len(points) < MIN_SIZES:
        raise ValueError(
            f"fitting a line needs at least {MIN_SIZES} sizes: got {len(points)}"
        )
    sizes = [float(point.size) for point in points]
    values = [point.value for point in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    return Line(intercept, slope, tuple(points))


def measure_line(
    sizes: Sequence[int], sample: Callable[[int], float], repeats: int
) -> Line:
    """Fit a line through the medians of repeated samples.

    The sizes are measured in turn, so that a time in which the machine is slow affects
    all of them.
    """
    samples_by_size: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size in sizes:
            samples_by_size[size].append(sample(size))
    return fit_line(
        [summarise(size, values) for size, values in samples_by_size.items()]
    )


def cpu_seconds(action: Callable[[], object]) -> float:
    """Return the processor time that an action takes in this process, in seconds."""
    gc.collect()
    started_at = time.process_time()
    action()
    return time.process_time() - started_at


def memory_bytes(build: Callable[[], object]) -> float:
    """Return the memory that the result of ``build`` keeps allocated, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del built
        return after - before
    finally:
        tracemalloc.stop()
