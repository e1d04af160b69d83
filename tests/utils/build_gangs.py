"""Builders of gangs on workers that crash."""

from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobPhase, TaskKey, WorkerIncarnation
from tests.utils.build_scheduling import job, step
from tests.utils.crashing_pool import CrashingPool, tasks_of

START_TIMEOUT_S = 20.0


def wide_gang(
    count: int, number: int = 1, estimated_ms: int = 24_000, saves_progress: bool = True
) -> AcceptedJob:
    """Return a gang with one member on each of ``count`` workers."""
    spec = step(
        count,
        estimated_ms=estimated_ms,
        gang=True,
        saves_progress=saves_progress,
        max_per_worker=1,
    )
    return job(number, spec)


def crash_under(pool: CrashingPool, task: TaskKey) -> WorkerIncarnation:
    """Crash the worker that runs a task, and return it; wait for its start before."""
    pool.run(START_TIMEOUT_S, until=lambda: pool.worker_of(task) is not None)
    where = pool.worker_of(task)
    assert where is not None
    pool.crash(where)
    return where


def has_excuse(pool: CrashingPool, accepted: AcceptedJob) -> bool:
    """Tell whether two workers crashed under one of a job's tasks."""
    return any(pool.crashed_under[task] >= 2 for task in tasks_of(accepted))


def is_given_up(pool: CrashingPool, accepted: AcceptedJob) -> bool:
    """Tell whether a job was given up."""
    return pool.phase(accepted) is JobPhase.FAILED
