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

from tamarackmount.ids import Instant
from tamarackmount.scheduling.evidence.crash_evidence import (
    crash_addresses,
    is_suspect,
)
from tamarackmount.scheduling.jobs.runs import StepState
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
    isolation = state.isolation
    if not is_suspect(state, step, index):
        return [
            worker
            for worker in workers
            if not isolation.has_new_suspects(worker.incarnation, step.key.job_id)
        ] or workers
    found = [
        worker
        for worker in workers
        if not isolation.has_interfering_runs(worker.incarnation, step.key.job_id)
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
