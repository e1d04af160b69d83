"""Which workers may take tasks of a step, free capacity aside."""

from collections.abc import Iterable, Sequence

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.fleet_config import Queue
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState


def could_run(step: StepState, worker: WorkerState) -> bool:
    """Return whether a worker could run a task of the step if it were idle."""
    return _is_suitable(step, worker, worker.entry.capacity)


def could_run_at_nominal_capacity(step: StepState, worker: WorkerState) -> bool:
    """Return the same, also for a worker whose capacity has shrunk for a while."""
    return _is_suitable(step, worker, worker.nominal_capacity)


def _is_suitable(step: StepState, worker: WorkerState, capacity: Resources) -> bool:
    return (
        worker.entry.service == step.job.accepted.service
        and (not step.spec.label or step.spec.label in worker.entry.labels)
        and step.reserved_amount.fits_in(capacity)
    )


def eligible_workers(
    state: SchedulerState, step: StepState, queue: Queue, now: Instant
) -> list[WorkerState]:
    """Return the workers that may take a task of the step now, free capacity aside.

    Slow workers are left out if others remain, and for a while those on which the step
    has failed too.
    """
    candidates: Iterable[WorkerState] = state.workers_by_incarnation.values()
    if queue.advice is not None:
        advice = step.advice
        candidates = (
            worker
            for worker in state.find_workers(advice.allowed.values())
            if advice.usable_ticket(worker.incarnation, now)
        )
    found = [
        worker
        for worker in candidates
        if worker.can_start and now >= worker.backoff_until and could_run(step, worker)
    ]
    avoids = now < step.avoid_failed_on_until
    preferred = [
        worker
        for worker in found
        if not (avoids and has_failed_on(step, worker)) and not worker.is_slow(now)
    ]
    return preferred or found


def has_failed_on(step: StepState, worker: WorkerState) -> bool:
    """Return whether a task of the step failed or was a straggler on a worker."""
    return worker.incarnation.worker_id in step.failed_on


def without_failures(
    step: StepState, workers: Sequence[WorkerState]
) -> Sequence[WorkerState]:
    """Return the workers on which the step has not failed."""
    if not step.failed_on:
        return workers
    return [worker for worker in workers if not has_failed_on(step, worker)]
