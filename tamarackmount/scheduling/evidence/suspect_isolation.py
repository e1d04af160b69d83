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
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.evidence.crash_evidence import (
    crash_addresses,
    evidence_key,
    is_suspect,
)
from tamarackmount.scheduling.jobs.runs import Run, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState


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
    if not is_suspect(state, step, index):
        avoided = _workers_of_new_suspects(state, step.key.job_id)
        return [
            worker for worker in workers if worker.incarnation not in avoided
        ] or workers
    found = [
        worker
        for worker in workers
        if not any(
            _interferes(state, run, step.key.job_id)
            for run in worker.runs_by_task.values()
        )
    ]
    if not found and waits_apart(state, step, index, now):
        return []
    crashed_at = crash_addresses(step, index)
    elsewhere = [worker for worker in found if worker.entry.address not in crashed_at]
    return elsewhere or found or workers


def waits_apart(
    state: SchedulerState, step: StepState, index: int, now: Instant
) -> bool:
    """Tell whether a task is a suspect that starts only apart from others for now."""
    return now < step.isolate_until and is_suspect(state, step, index)


def _workers_of_new_suspects(
    state: SchedulerState, job_id: JobId
) -> set[WorkerIncarnation]:
    """Return the workers on which suspects of other jobs have just started."""
    return {
        run.incarnation
        for task in state.suspected_tasks
        if task.job_id != job_id and (step := state.step_of(task)) is not None
        for run in step.runs()
        if _has_just_started(run) and evidence_key(step, run.task.index) == task
    }


def _interferes(state: SchedulerState, run: Run, job_id: JobId) -> bool:
    """Tell whether a crash could be due to a run as well as to a suspect of a job."""
    if run.task.job_id == job_id:
        return False
    if _has_just_started(run):
        return True
    step = state.step_of(run.task)
    task = run.task if step is None else evidence_key(step, run.task.index)
    return task in state.suspected_tasks


def _has_just_started(run: Run) -> bool:
    """Tell whether no poll that was sent after its start has shown a run yet."""
    return run.listed_s <= 0
