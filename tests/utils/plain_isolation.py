"""Isolation from suspects, computed from all evidence and runs for each question."""

from collections.abc import Sequence

from tamarackmount.ids import Instant, JobId
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.evidence.crash_evidence import crash_addresses
from tamarackmount.scheduling.jobs.runs import StepState
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
    if step.task(index) not in state.suspected_tasks:
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
        if run.listed_s <= 0 and run.task == task
    }


def has_interference(state: SchedulerState, worker: WorkerState, job_id: JobId) -> bool:
    """Tell whether a crash could be due to runs of jobs other than ``job_id``."""
    return any(
        run.task.job_id != job_id
        and (run.listed_s <= 0 or run.task in state.suspected_tasks)
        for run in worker.runs_by_task.values()
    )


Choice = tuple[set[WorkerIncarnation], dict[int, set[WorkerIncarnation]]]
"""Workers for all members of a gang, and those for its suspects by their index."""


def plain_gang_workers(
    state: SchedulerState, step: StepState, workers: Sequence[WorkerState], now: Instant
) -> list[Choice]:
    """Return what ``gang_workers`` has to return, as sets of incarnations."""
    job_id = step.key.job_id
    everywhere = {worker.incarnation for worker in workers}
    others = everywhere - workers_of_new_suspects(state, job_id)
    suspects = {
        task.index for task in state.suspected_tasks if task.step_key == step.key
    }
    if not suspects:
        choices: list[Choice] = [(others, {}), (everywhere, {})]
        return choices if others != everywhere else choices[1:]
    apart = {
        worker.incarnation
        for worker in workers
        if not has_interference(state, worker, job_id)
    }
    elsewhere = {
        index: {
            worker.incarnation
            for worker in workers
            if worker.incarnation in apart
            and worker.entry.address not in crash_addresses(step, index)
        }
        for index in suspects
    }
    choices = [(others, elsewhere), (everywhere, dict.fromkeys(suspects, apart))]
    return choices if now < step.isolate_until else [*choices, (everywhere, {})]
