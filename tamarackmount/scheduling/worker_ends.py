"""Worker incarnations that are over, and the runs that are lost with them."""

import logging
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.scheduling.run_ends import format_task
from tamarackmount.scheduling.runs import Run
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers import ContactState, WorkerState

_log = logging.getLogger(__name__)


class WorkerEndCause(Enum):
    """Why the runs of a worker are over without ends that it reported.

    ``CRASHED``: another incarnation took its place, and it had not announced that it
    drains. ``DRAINED``: it had. ``UNKNOWN``: another one took its place, and this
    holder never read its registration. ``LEASE_EXPIRED``: it did not answer until its
    lease was over; it may have been cut off.
    """

    CRASHED = "crashed"
    DRAINED = "drained"
    UNKNOWN = "unknown"
    LEASE_EXPIRED = "lease_expired"


class Replacement(Enum):
    """How it is known that another incarnation has taken a worker's place."""

    RESTARTED = "restarted as a newer incarnation"
    OTHER_INCARNATION_ANSWERS = "another incarnation answers at its address"
    OTHER_WORKER_ANSWERS = "another worker answers at its address"


def remove_replaced_worker(
    state: SchedulerState,
    worker: WorkerState,
    now: Instant,
    replacement: Replacement,
) -> None:
    """Remove an incarnation whose place another one has taken."""
    if worker.entry.is_draining:
        cause = WorkerEndCause.DRAINED
    elif worker.was_registered:
        cause = WorkerEndCause.CRASHED
    else:
        cause = WorkerEndCause.UNKNOWN
    _remove_worker(state, worker, now, cause, replacement.value)


def remove_expired_worker(
    state: SchedulerState, worker: WorkerState, now: Instant
) -> None:
    """Remove an incarnation that is not registered and whose lease is over."""
    _remove_worker(state, worker, now, WorkerEndCause.LEASE_EXPIRED, "lease expired")


def drop_runs_of_expired_lease(
    state: SchedulerState, worker: WorkerState, now: Instant
) -> None:
    """Drop the runs of a worker that may return after its lease was over."""
    if worker.runs_by_task:
        extra = {
            "worker": worker.incarnation.worker_id,
            "runs": len(worker.runs_by_task),
        }
        _log.info("worker lease expired", extra=extra)
    _drop_runs(state, worker, now, WorkerEndCause.LEASE_EXPIRED)


def _remove_worker(
    state: SchedulerState,
    worker: WorkerState,
    now: Instant,
    cause: WorkerEndCause,
    reason: str,
) -> None:
    extra = {
        "worker": worker.incarnation.worker_id,
        "reason": reason,
        "cause": cause.value,
        "runs": len(worker.runs_by_task),
    }
    _log.info("worker removed", extra=extra)
    worker.contact = ContactState.EXPIRED
    if worker.runs_by_task:
        state.observer.record_worker_end(cause.value)
    _drop_runs(state, worker, now, cause)
    state.workers_by_incarnation.pop(worker.incarnation, None)
    state.changed_workers.discard(worker.incarnation)
    state.removed_workers.add(worker.incarnation)


def _drop_runs(
    state: SchedulerState, worker: WorkerState, now: Instant, cause: WorkerEndCause
) -> None:
    for run in list(worker.runs_by_task.values()):
        _log_lost_run(worker, run, now, cause)
        state.observer.record_lost_run(cause.value)
        state.drop_run(run, now)


def ran_s(worker: WorkerState, run: Run, now: Instant) -> float:
    """Return how long a lost run may have worked at most, in seconds."""
    ended_at = worker.unanswered_since or now
    return max(0.0, ended_at - run.began_at)


def _log_lost_run(
    worker: WorkerState, run: Run, now: Instant, cause: WorkerEndCause
) -> None:
    extra = {
        "job": run.task.job_id,
        "task": format_task(run.task),
        "run": run.number,
        "worker": worker.incarnation.worker_id,
        "cause": cause.value,
        "ran_s": round(ran_s(worker, run, now), 3),
        "listed_s": round(run.listed_s, 3),
    }
    _log.info("run lost", extra=extra)
