"""Keep suspects apart, so that a crash tells which of them caused it.

Load pattern: a task that crashes its workers restarts beside others that have just
started. The crash then speaks against all of them, and takes them with it. So a suspect
starts where nothing else has just started and no other suspect runs, and nothing starts
beside it before its worker is known to have survived the start. Where all suitable
workers are taken, a suspect waits for a while; then tasks start there all the same. A
suspect prefers other addresses than those of its crashes, since a worker may be at
fault.
"""

from collections.abc import Sequence

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.crash_evidence import (
    crash_addresses,
    evidence_key,
    is_suspect,
)
from tamarackmount.scheduling.runs import Run, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers import WorkerState


def isolated_workers(
    state: SchedulerState,
    step: StepState,
    index: int,
    workers: Sequence[WorkerState],
    now: Instant,
) -> Sequence[WorkerState]:
    """Return the workers on which a task can start apart from suspects of other jobs.

    If there are none, return all of them, or none while a suspect waits for one.
    """
    if not state.suspected_tasks:
        return workers
    must_be_alone = is_suspect(state, step, index)
    job_id = step.key.job_id
    found = [
        worker
        for worker in workers
        if not any(
            _interferes(state, run, job_id, must_be_alone)
            for run in worker.runs_by_task.values()
        )
    ]
    if not found and must_be_alone and now < step.isolate_until:
        return []
    crashed_at = crash_addresses(step, index)
    elsewhere = [worker for worker in found if worker.entry.address not in crashed_at]
    return elsewhere or found or workers


def _interferes(
    state: SchedulerState, run: Run, job_id: JobId, must_be_alone: bool
) -> bool:
    """Tell whether a crash could not be told apart between a run and a job's task."""
    if run.task.job_id == job_id:
        return False
    has_just_started = run.listed_s <= 0
    if must_be_alone:
        return has_just_started or _is_run_of_suspect(state, run)
    return has_just_started and _is_run_of_suspect(state, run)


def _is_run_of_suspect(state: SchedulerState, run: Run) -> bool:
    step = state.step_of(run.task)
    task = run.task if step is None else evidence_key(step, run.task.index)
    return task in state.suspected_tasks
