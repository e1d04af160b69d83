"""Look up quickly whether any worker has free capacity for a waiting step.

Load pattern: hundreds of steps wait for a pool that is full. Scanning every worker for
each of them takes all of the holder's processor time at the moment when its answers
matter most.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from tamarackmount.ids import DataCentreId, Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.workers.workers import WorkerState

MIN_SUSPECTED_WORKERS = 2
"""Number of unresponsive workers (suspected or silent ones, see ``WorkerState``) from
which on a data centre may be cut off."""

MIN_SUSPECTED_FRACTION = 0.1
"""Fraction of a data centre's workers that have to be unresponsive as well, without
unit: a large data centre always loses some answers."""


class FreeCapacityIndex:
    """The free capacity of all workers during one tick of the scheduler.

    Workers of a service are sorted at the first look-up by the processor time that is
    free then, the most first. Placement in the tick only lowers it, so a look-up can
    end at the first worker that had too little. Nothing is computed in ticks without
    look-ups.
    """

    def __init__(self, workers: Iterable[WorkerState], now: Instant) -> None:
        """Index the workers that may start new runs now, once they are looked up."""
        self._workers = workers
        self.now = now
        self._rows_by_service: dict[ServiceName, list[tuple[int, WorkerState]]] = {}
        self._suspected: frozenset[DataCentreId] | None = None

    @property
    def suspected_data_centres(self) -> frozenset[DataCentreId]:
        """The data centres that may be cut off."""
        if self._suspected is None:
            self._suspected = self._find_suspected_data_centres()
        return self._suspected

    def has_fitting_worker(
        self, step: StepState, may_take: Callable[[WorkerState], bool]
    ) -> bool:
        """Return whether a task of the step fits on any worker that may take it."""
        amount = step.reserved_amount
        label = step.spec.label
        for free_millicores, worker in self._rows_of(step.job.accepted.service):
            if free_millicores < amount.millicores:
                return False
            if not amount.fits_in(worker.available):
                continue
            if label and label not in worker.entry.labels:
                continue
            if may_take(worker):
                return True
        return False

    def _rows_of(self, service: ServiceName) -> list[tuple[int, WorkerState]]:
        rows = self._rows_by_service.get(service)
        if rows is None:
            rows = [
                (worker.available.millicores, worker)
                for worker in self._workers
                if worker.entry.service == service
                and worker.can_start
                and self.now >= worker.backoff_until
            ]
            rows.sort(key=lambda row: row[0], reverse=True)
            self._rows_by_service[service] = rows
        return rows

    def _find_suspected_data_centres(self) -> frozenset[DataCentreId]:
        worker_count: Counter[DataCentreId] = Counter()
        unresponsive_count: Counter[DataCentreId] = Counter()
        for worker in self._workers:
            data_centre = worker.entry.data_centre
            worker_count[data_centre] += 1
            if worker.is_suspected or worker.silent_since is not None:
                unresponsive_count[data_centre] += 1
        return frozenset(
            data_centre
            for data_centre, count in unresponsive_count.items()
            if count >= MIN_SUSPECTED_WORKERS
            and count >= MIN_SUSPECTED_FRACTION * worker_count[data_centre]
        )


def count_startable_tasks(
    step: StepState, worker: WorkerState, free: Resources, wanted: int
) -> int:
    """Return how many more tasks of a step a worker could start, at most ``wanted``.

    ``free`` is the capacity that it would have free. The step's runs on the worker
    count towards the step's limit there.
    """
    limit = step.spec.max_per_worker
    if limit:
        wanted = min(wanted, limit - count_runs_on(step, worker))
    return count_fitting_tasks(step.reserved_amount, free, wanted, 0)


def count_runs_on(step: StepState, worker: WorkerState) -> int:
    """Return how many runs of a step may still be running on a worker.

    The runs of the step or those of the worker are gone through, whichever are fewer.
    """
    if len(step.runs_by_index) > len(worker.runs_by_task):
        return worker.count_runs_of(step.key)
    return sum(run.incarnation == worker.incarnation for run in step.runs())


def count_fitting_tasks(
    amount: Resources, free: Resources, wanted: int, max_per_worker: int
) -> int:
    """Return how many tasks fit into a worker's free capacity, at most ``wanted``.

    ``max_per_worker`` is their limit on one worker; 0 is no limit.
    """
    fits = min(wanted, max_per_worker) if max_per_worker else wanted
    if amount.millicores:
        fits = min(fits, free.millicores // amount.millicores)
    if amount.memory_mib:
        fits = min(fits, free.memory_mib // amount.memory_mib)
    if amount.accelerators:
        fits = min(fits, free.accelerators // amount.accelerators)
    return max(0, fits)
