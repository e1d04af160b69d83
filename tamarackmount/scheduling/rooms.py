"""Where there is room, looked up fast for steps that can't start.

Load pattern: hundreds of steps wait for a pool that is full. Looking at every worker
for each of them takes the holder's whole processor time, just when its answers count
most.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

from tamarackmount.ids import Instant
from tamarackmount.scheduling.model import ServiceName
from tamarackmount.scheduling.runs import StepState
from tamarackmount.scheduling.workers import WorkerState


class Rooms:
    """The room of all workers at the begin of one round of placing.

    Workers are kept with the processor time that was free then, the most first; what is
    placed in the round only takes room away.
    """

    def __init__(self, workers: Iterable[WorkerState], now: Instant) -> None:
        """Take the room of workers that may start anything now."""
        self._rows_by_service: dict[ServiceName, list[tuple[int, WorkerState]]]
        self._rows_by_service = defaultdict(list)
        for worker in workers:
            if worker.can_start and now >= worker.rest_until:
                row = (worker.free.millicores, worker)
                self._rows_by_service[worker.entry.service].append(row)
        for rows in self._rows_by_service.values():
            rows.sort(key=lambda row: row[0], reverse=True)

    def has_place(
        self, step: StepState, may_take: Callable[[WorkerState], bool]
    ) -> bool:
        """Tell whether some worker that may take a task of the step has room for it."""
        amount = step.room_amount
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
