"""Isolation from suspects, computed from all evidence and runs for each question."""

from collections.abc import Sequence

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.evidence.crash_evidence import crash_addresses
from tamarackmount.scheduling.jobs.runs import Run, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState


def plain_isolated_workers(
    state: SchedulerState,
    step: StepState,
    index: int,
    workers: Sequence[WorkerState],
    now: Instant,
) -> Sequence[WorkerState]:
    """Return what ``isolated_workers`` has to return."""
    if not state.suspected_tasks:
        return workers
    job_id = step.key.job_id
    if _evidence_key(step, index) not in state.suspected_tasks:
        avoided = workers_of_new_suspects(state, job_id)
        return [
            worker for worker in workers if worker.incarnation not in avoided
        ] or workers
    found = [
        worker for worker in workers if not has_interference(state, worker, job_id)
    ]
    if not found and now < step.isolate_until:
        return []
    crashed_at = crash_addresses(step, index)
    elsewhere = [worker for worker in found if worker.entry.address not in crashed_at]
    return elsewhere or found or workers


def workers_of_new_suspects(
    state: SchedulerState, job_id: JobId
) -> set[WorkerIncarnation]:
    """Return the workers on which suspects of other jobs have just started."""
    return {
        run.incarnation
        for task in state.suspected_tasks
        if task.job_id != job_id and (step := state.step_of(task)) is not None
        for run in step.runs()
        if run.listed_s <= 0 and _evidence_key(step, run.task.index) == task
    }


def has_interference(state: SchedulerState, worker: WorkerState, job_id: JobId) -> bool:
    """Tell whether a crash could be due to runs of jobs other than ``job_id``."""
    return any(
        run.task.job_id != job_id
        and (run.listed_s <= 0 or _key_of_run(state, run) in state.suspected_tasks)
        for run in worker.runs_by_task.values()
    )


def _key_of_run(state: SchedulerState, run: Run) -> TaskKey:
    step = state.step_of(run.task)
    return run.task if step is None else _evidence_key(step, run.task.index)


def _evidence_key(step: StepState, index: int) -> TaskKey:
    return step.task(0 if step.spec.gang else index)
