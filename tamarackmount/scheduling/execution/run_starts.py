"""Start runs: their numbers, leases and orders."""

import logging

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.domain.worker_reports import StartOrder
from tamarackmount.scheduling.evidence.crash_evidence import has_suspects, is_suspect
from tamarackmount.scheduling.execution.run_ends import format_task
from tamarackmount.scheduling.jobs.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import WorkerState

_log = logging.getLogger(__name__)


def start_run(
    state: SchedulerState,
    step: StepState,
    index: int,
    worker: WorkerState,
    now: Instant,
) -> None:
    """Start one task on a worker.

    With write-ahead enabled, the order waits until the store holds the run. Others do
    if ``waits_for_its_record`` says so.
    """
    lease_end = worker.lease_end_clock_ms(now)
    if lease_end is None:
        return
    worker.lease_sent(lease_end)
    checkpoint = step.checkpoints_by_index.get(0 if step.spec.gang else index, "")
    run = Run(
        task=step.task(index),
        number=step.run_number,
        incarnation=worker.incarnation,
        amount=step.reserved_amount,
        ceiling_usage=step.spec.amount,
        workspace_id=step.job.accepted.workspace_id,
        phase=RunPhase.STARTING,
        began_at=now,
        resumed=bool(checkpoint),
    )
    state.add_run(worker, step, run)
    job = step.job
    if job.phase is JobPhase.QUEUED:
        job.phase = JobPhase.RUNNING
        state.changed_jobs.add(job.job_id)
        state.observer.record_first_start(
            job.accepted.queue_name, now - job.accepted_at
        )
    order = StartOrder(
        incarnation=worker.incarnation,
        task=run.task,
        run_number=run.number,
        text=job.accepted.spec.text,
        lease_end_clock_ms=lease_end,
        checkpoint=checkpoint,
        ticket=step.advice.usable_ticket(worker.incarnation, now),
    )
    start = StartRun(worker.entry.address, order)
    if state.write_ahead.is_enabled or waits_for_its_record(state, run):
        state.unstored_starts.append(start)
    else:
        send_start(state, run, start)
    extra = {
        "job": job.job_id,
        "queue": job.accepted.queue_name,
        "task": format_task(run.task),
        "run": run.number,
        "worker": worker.incarnation.worker_id,
        "waited_s": round(now - job.accepted_at, 3),
    }
    _log.info("run starts", extra=extra)


def waits_for_its_record(state: SchedulerState, run: Run) -> bool:
    """Tell whether a start order waits for the store also while that is slow.

    The next holder has to know of each worker that a suspect crashes, and waits only
    for reports of workers of which the store has a record. The members of a gang wait
    together.
    """
    step = state.step_of(run.task)
    worker = state.workers_by_incarnation.get(run.incarnation)
    is_recorded = worker is not None and worker.is_stored
    return not is_recorded or (
        step is not None and _may_crash_workers(state, step, run)
    )


def _may_crash_workers(state: SchedulerState, step: StepState, run: Run) -> bool:
    if step.spec.gang:
        return has_suspects(state, step)
    return is_suspect(state, step, run.task.index)


def send_start(state: SchedulerState, run: Run, start: StartRun) -> None:
    """Send a run's start order."""
    run.is_ordered = True
    state.emit(start)
