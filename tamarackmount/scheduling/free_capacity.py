"""Where there is room, looked up fast for steps that can't start.

Load pattern: hundreds of steps wait for a pool that is full. Looking at every worker
for each of them takes the holder's whole processor time, just when its answers count
most.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from tamarackmount.ids import DataCentreId, Instant
from tamarackmount.scheduling.model import ServiceName
from tamarackmount.scheduling.runs import StepState
from tamarackmount.scheduling.workers import WorkerState

MIN_SUSPECTED_WORKERS = 2
"""Workers of a data centre that don't answer, from which on it may be cut off."""

MIN_SUSPECTED_FRACTION = 0.1
"""The part of its workers that this has to be, without unit: some answers are always
lost in a large one."""


class FreeCapacityIndex:
    """The room of all workers at the begin of one round of placing.

    ``suspected_data_centres`` are data centres that may be cut off.

    Workers are kept with the processor time that was free then, the most first; what is
    placed in the round only takes room away.
    """

    def __init__(self, workers: Iterable[WorkerState], now: Instant) -> None:
        """Take the room of workers that may start anything now."""
        self._rows_by_service: dict[ServiceName, list[tuple[int, WorkerState]]]
        self._rows_by_service = defaultdict(list)
        known: Counter[DataCentreId] = Counter()
        lost: Counter[DataCentreId] = Counter()
        for worker in workers:
            home = worker.entry.data_centre
            known[home] += 1
            lost[home] += worker.is_suspected or worker.silent_since is not None
            if worker.can_start and now >= worker.backoff_until:
                row = (worker.free.millicores, worker)
                self._rows_by_service[worker.entry.service].append(row)
        self.suspected_data_centres = frozenset(
            home
            for home, count in lost.items()
            if count >= MIN_SUSPECTED_WORKERS
            and count >= MIN_SUSPECTED_FRACTION * known[home]
        )
        for rows in self._rows_by_service.values():
            rows.sort(key=lambda row: row[0], reverse=True)

    def has_fitting_worker(
        self, step: StepState, may_take: Callable[[WorkerState], bool]
    ) -> bool:
        """Tell whether some worker that may take a task of the step has room for it."""
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
