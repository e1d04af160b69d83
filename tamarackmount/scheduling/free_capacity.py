"""Look up quickly whether any worker has free capacity for a waiting step.

Load pattern: hundreds of steps wait for a pool that is full. Scanning every worker for
each of them takes all of the holder's processor time at the moment when its answers
matter most.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from tamarackmount.ids import DataCentreId, Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.model import ServiceName
from tamarackmount.scheduling.runs import StepState
from tamarackmount.scheduling.workers import WorkerState

MIN_SUSPECTED_WORKERS = 2
"""Number of unresponsive workers (suspected or silent ones, see ``WorkerState``) from
which on a data centre may be cut off."""

MIN_SUSPECTED_FRACTION = 0.1
"""Fraction of a data centre's workers that have to be unresponsive as well, without
unit: a large data centre always loses some answers."""


class FreeCapacityIndex:
    """The free capacity of all workers at the beginning of one round of placement.

    Workers are sorted by the processor time that was free then, the most first.
    Placement in the round only lowers it, so a look-up can end at the first worker that
    had too little. ``suspected_data_centres`` are data centres that may be cut off.
    """

    def __init__(self, workers: Iterable[WorkerState], now: Instant) -> None:
        """Index the workers that may start new runs now."""
        self._rows_by_service: dict[ServiceName, list[tuple[int, WorkerState]]]
        self._rows_by_service = defaultdict(list)
        worker_count: Counter[DataCentreId] = Counter()
        unresponsive_count: Counter[DataCentreId] = Counter()
        for worker in workers:
            data_centre = worker.entry.data_centre
            worker_count[data_centre] += 1
            unresponsive_count[data_centre] += (
                worker.is_suspected or worker.silent_since is not None
            )
            if worker.can_start and now >= worker.backoff_until:
                row = (worker.free.millicores, worker)
                self._rows_by_service[worker.entry.service].append(row)
        self.suspected_data_centres = frozenset(
            data_centre
            for data_centre, count in unresponsive_count.items()
            if count >= MIN_SUSPECTED_WORKERS
            and count >= MIN_SUSPECTED_FRACTION * worker_count[data_centre]
        )
        for rows in self._rows_by_service.values():
            rows.sort(key=lambda row: row[0], reverse=True)

    def has_fitting_worker(
        self, step: StepState, may_take: Callable[[WorkerState], bool]
    ) -> bool:
        """Return whether a task of the step fits on any worker that may take it."""
        amount = step.reserved_amount
        label = step.spec.label
        for free_millicores, worker in self._rows_by_service.get(
            step.job.accepted.service, ()
        ):
            if free_millicores < amount.millicores:
                return False
            if not amount.fits_in(worker.free):
                continue
            if label and label not in worker.entry.labels:
                continue
            if may_take(worker):
                return True
        return False


def count_fitting_tasks(
    amount: Resources, free: Resources, wanted: int, max_per_worker: int
) -> int:
    """Return how many tasks fit into a worker's free capacity, at most ``wanted``.

    ``max_per_worker`` is their limit on one worker; 0 is no limit.
    """
    parts = (
        (amount.millicores, free.millicores),
        (amount.memory_mib, free.memory_mib),
        (amount.accelerators, free.accelerators),
    )
    fits = min(
        (free_amount // per_task for per_task, free_amount in parts if per_task),
        default=wanted,
    )
    return max(0, min(wanted, max_per_worker or wanted, fits))
