"""Learn how much longer tasks take on some workers than on others.

Load pattern: a quarter of a pool's workers have half the speed of the others. A step is
done with its slowest task, so an urgent step with one task there is late.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from tamarackmount.ids import WorkerId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.workers.workers import WorkerState

SAMPLE_MEMORY = 30.0
"""Number of runs that a worker's mean covers. Durations within a step differ by up to
two times by themselves, which leaves an error of a twentieth."""

KIND_PRIOR_SAMPLES = 4.0
"""Number of samples that a kind's mean counts for in the factor of its worker."""

USUAL_PRIOR_SAMPLES = 20.0
"""Number of samples that the usual factor, 1, counts for in that of a kind."""

MAX_ABS_LOG_RATIO = math.log(4.0)
"""Limit of a sample's logarithm, without unit: workers that take more than four times
as long as usual are disturbed."""

SKEW_SMOOTHING = 0.01
"""Weight of the newest sample in the mean excess over the forecast ratio."""

MIN_PUBLISHED_CHANGE = 0.02
"""Change of a kind's mean logarithm from which on its workers' factors are computed
anew; smaller ones decide nothing."""

STORED_DIGITS = 3
"""Number of decimal places of stored means; a thousandth decides nothing."""

MAX_WORKERS = 2_000
"""Number of workers whose samples are kept; those without new ones go first."""


class WorkerSpeeds(Protocol):
    """Duration factors of workers: 1.0 is usual, 2.0 takes twice as long."""

    def duration_factor(self, worker: WorkerState) -> float:
        """Return the worker's duration factor, without unit."""

    def add_sample(self, worker: WorkerState, ratio: float) -> None:
        """Add a run's duration relative to the median of its step, without unit."""


class _Kind(NamedTuple):
    """What workers of about the same speed have in common."""

    labels: frozenset[str]
    capacity: Resources


@dataclass(slots=True)
class _Mean:
    """Mean logarithm of samples; ``weight`` is their number."""

    log_ratio: float = 0.0
    weight: float = 0.0
    kind: _Kind | None = None


@dataclass(slots=True)
class _KindSum:
    """Weighted sum of the means of a kind's workers.

    ``published`` is the kind's shrunk mean with which factors were computed.
    """

    log_ratio: float = 0.0
    weight: float = 0.0
    published: float = 0.0

    @property
    def shrunk(self) -> float:
        return self.log_ratio / (self.weight + USUAL_PRIOR_SAMPLES)


@dataclass(slots=True)
class LearnedWorkerSpeeds:
    """Duration factors learned from samples.

    A worker's mean is shrunk towards that of its kind, and that towards the usual one.
    Factors are kept until a sample changes them: placement reads all in each round.
    """

    _mean_by_worker: dict[WorkerId, _Mean] = field(default_factory=dict)
    _sum_by_kind: dict[_Kind, _KindSum] = field(default_factory=dict)
    _factor_by_worker: dict[WorkerId, float] = field(default_factory=dict)
    _skew: float = 0.0

    @property
    def has_samples(self) -> bool:
        """Whether any factor may differ from 1."""
        return bool(self._mean_by_worker)

    def duration_factor(self, worker: WorkerState) -> float:
        """Return the worker's duration factor, without unit."""
        worker_id = worker.incarnation.worker_id
        factor = self._factor_by_worker.get(worker_id)
        if factor is None:
            if not self._mean_by_worker:
                return 1.0
            factor = math.exp(self._log_factor(worker))
            self._factor_by_worker[worker_id] = factor
        return factor

    def add_sample(self, worker: WorkerState, ratio: float) -> None:
        """Add a run's duration relative to the median of its step, without unit.

        The mean excess of samples over their workers' factors is subtracted: durations
        with a long tail would raise all factors together without end.
        """
        if ratio <= 0:
            return
        log_ratio = max(-MAX_ABS_LOG_RATIO, min(MAX_ABS_LOG_RATIO, math.log(ratio)))
        excess = log_ratio - math.log(self.duration_factor(worker))
        self._skew += SKEW_SMOOTHING * (excess - self._skew)
        worker_id = worker.incarnation.worker_id
        mean = self._attached_mean(worker)
        self._detach(mean)
        mean.weight = min(SAMPLE_MEMORY, mean.weight + 1.0)
        mean.log_ratio += (log_ratio - self._skew - mean.log_ratio) / mean.weight
        del self._mean_by_worker[worker_id]
        self._mean_by_worker[worker_id] = mean
        self._attach(mean, worker)
        self._factor_by_worker.pop(worker_id, None)
        self._drop_oldest()

    def to_record(self) -> dict[str, tuple[float, float]]:
        """Return the workers' means for the store: see ``ForecastRecord``."""
        return {
            worker_id: (round(mean.log_ratio, STORED_DIGITS), round(mean.weight, 1))
            for worker_id, mean in self._mean_by_worker.items()
            if mean.weight > 0
        }

    def restore(self, means_by_worker: Mapping[str, tuple[float, float]]) -> None:
        """Continue from the means of a former holder.

        A worker's kind is known once the worker is; values out of range are limited.
        """
        for worker_id, (log_ratio, weight) in means_by_worker.items():
            if not (math.isfinite(log_ratio) and math.isfinite(weight)):
                continue
            self._mean_by_worker[WorkerId(worker_id)] = _Mean(
                max(-MAX_ABS_LOG_RATIO, min(MAX_ABS_LOG_RATIO, log_ratio)),
                max(0.0, min(SAMPLE_MEMORY, weight)),
            )
        self._drop_oldest()

    def _log_factor(self, worker: WorkerState) -> float:
        mean = self._attached_mean(worker)
        kind_sum = self._sum_by_kind[_kind_of(worker)]
        weighted = (
            mean.log_ratio * mean.weight + kind_sum.published * KIND_PRIOR_SAMPLES
        )
        return weighted / (mean.weight + KIND_PRIOR_SAMPLES)

    def _attached_mean(self, worker: WorkerState) -> _Mean:
        """Return a worker's mean, which counts for the kind that it has now."""
        mean = self._mean_by_worker.setdefault(worker.incarnation.worker_id, _Mean())
        if mean.kind != _kind_of(worker):
            self._detach(mean)
            self._attach(mean, worker)
        return mean

    def _attach(self, mean: _Mean, worker: WorkerState) -> None:
        mean.kind = _kind_of(worker)
        kind_sum = self._sum_by_kind.setdefault(mean.kind, _KindSum())
        kind_sum.log_ratio += mean.log_ratio * mean.weight
        kind_sum.weight += mean.weight
        shrunk = kind_sum.shrunk
        if abs(shrunk - kind_sum.published) > MIN_PUBLISHED_CHANGE:
            kind_sum.published = shrunk
            self._factor_by_worker.clear()

    def _detach(self, mean: _Mean) -> None:
        if mean.kind is None:
            return
        kind_sum = self._sum_by_kind[mean.kind]
        kind_sum.log_ratio -= mean.log_ratio * mean.weight
        kind_sum.weight -= mean.weight
        mean.kind = None

    def _drop_oldest(self) -> None:
        while len(self._mean_by_worker) > MAX_WORKERS:
            worker_id = next(iter(self._mean_by_worker))
            self._detach(self._mean_by_worker.pop(worker_id))
            self._factor_by_worker.pop(worker_id, None)


def _kind_of(worker: WorkerState) -> _Kind:
    entry = worker.entry
    return _Kind(entry.labels - {entry.rack}, worker.nominal_capacity)
