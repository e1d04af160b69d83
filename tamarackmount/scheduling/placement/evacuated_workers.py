"""Release what waits for workers of evacuated data centres.

These workers get no new runs (``WorkerState.can_start``); their runs go on to their
end. Tickets and reservations for them would only keep steps from other workers.
"""

from collections.abc import Iterable

from tamarackmount.ids import DataCentreId
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState


def set_evacuated_data_centres(
    state: SchedulerState, data_centres: frozenset[DataCentreId]
) -> None:
    """Mark the workers of these data centres as evacuated, and no others."""
    state.evacuated_data_centres = data_centres
    for worker in state.workers_by_incarnation.values():
        worker.is_evacuated = worker.entry.data_centre in data_centres
    evacuated = [
        worker.incarnation
        for worker in state.workers_by_incarnation.values()
        if worker.is_evacuated
    ]
    for job in state.jobs_by_id.values():
        if job.preferred_data_centre in data_centres:
            job.preferred_data_centre = None
        for step in job.steps_by_key.values():
            release_workers(step, evacuated)


def release_workers(step: StepState, evacuated: Iterable[WorkerIncarnation]) -> None:
    """Release a step's tickets for evacuated workers, and a reservation of any."""
    step.advice.release_tickets(evacuated)
    if step.reservation and not step.reservation.workers.isdisjoint(evacuated):
        step.reservation = None


def count_evacuated_runs(state: SchedulerState) -> int:
    """Return the number of runs that go on in evacuated data centres."""
    if not state.evacuated_data_centres:
        return 0
    return sum(
        len(worker.runs_by_task)
        for worker in state.workers_by_incarnation.values()
        if worker.is_evacuated
    )
