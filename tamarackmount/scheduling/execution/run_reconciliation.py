"""Reconciliation of runs with worker reports."""

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import StopRun
from tamarackmount.scheduling.domain.worker_reports import RunningRun, WorkerReport
from tamarackmount.scheduling.evidence.crash_evidence import (
    clear_task,
    has_evidence,
    outlives_crashes,
)
from tamarackmount.scheduling.execution.run_ends import (
    give_up_culprits,
    record_checkpoint,
)
from tamarackmount.scheduling.jobs.runs import Presence, Run, RunPhase, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import ContactState, WorkerState

_log = logging.getLogger(__name__)


class Difference(Enum):
    """How a report differs from the runs that are known of a worker.

    ``ADOPTED``, ``ORPHANED``, ``OF_UNKNOWN_JOB`` and ``STOPPED`` are listed runs that
    were not known. An orphaned one reserves its capacity until it has ended, one of an
    unknown job reserves none; a stopped one is of a task with another run there.
    ``MISSING`` are known runs that are not listed and count as over; ``UNCERTAIN`` ones
    may be over, but the report does not list all ends.
    """

    ADOPTED = "adopted"
    ORPHANED = "orphaned"
    OF_UNKNOWN_JOB = "of_unknown_job"
    STOPPED = "stopped"
    MISSING = "missing"
    UNCERTAIN = "uncertain"


def reconcile_runs(
    state: SchedulerState,
    worker: WorkerState,
    report: WorkerReport,
    sent: Instant,
    now: Instant,
) -> None:
    """Compare the runs of a worker with its report on a poll sent at ``sent``.

    Known runs that are over are dropped before unknown ones are adopted: an unknown one
    may be a later start of the same task, whose capacity has to be reserved as well.
    """
    row_by_task = {row.task: row for row in report.running}
    differences: Counter[Difference] = Counter()
    unknown_rows = []
    for row in report.running:
        run = worker.runs_by_task.get(row.task)
        if run is not None and run.number == row.run_number:
            record_listed(state, run, sent)
            run.presence = Presence.CONFIRMED
            _confirm_run(state, run, row, now)
            _clear_if_outlived(state, run, now)
        else:
            unknown_rows.append(row)
    for run in list(worker.runs_by_task.values()):
        row_of_run = row_by_task.get(run.task)
        if row_of_run is None or row_of_run.run_number != run.number:
            differences.update(_handle_unlisted_run(state, report, run, sent, now))
    for row in unknown_rows:
        difference = adopt_or_stop_run(state, worker, row, now, Presence.CONFIRMED)
        differences[difference] += 1
    if differences:
        _log_differences(worker, differences)


def record_listed(state: SchedulerState, run: Run, sent: Instant) -> None:
    """Record that the report on a poll that was sent at ``sent`` lists a run."""
    was_listed = run.listed_s > 0
    run.listed_s = max(run.listed_s, sent - run.began_at)
    if not was_listed:
        state.isolation.update_run(run)


def _log_differences(
    worker: WorkerState, differences: Mapping[Difference, int]
) -> None:
    counts = {
        difference.value: differences.get(difference, 0) for difference in Difference
    }
    extra = {
        "worker": worker.incarnation.worker_id,
        **counts,
        "runs": len(worker.runs_by_task),
        "free_m": worker.free.millicores,
        "free_acc": worker.free.accelerators,
    }
    _log.info("worker runs differed", extra=extra)


def _clear_if_outlived(state: SchedulerState, run: Run, now: Instant) -> None:
    """Withdraw the evidence against a task once a run of it has gone on for long."""
    if not state.crash_suspects.has_any:
        return
    step = state.step_of(run.task)
    if step is None or not has_evidence(step, run.task.index):
        return
    if outlives_crashes(step, run):
        give_up_culprits(state, clear_task(state, step, run.task.index), now)


def _confirm_run(
    state: SchedulerState, run: Run, row: RunningRun, now: Instant
) -> None:
    run.confirmed_at = now
    if row.progress_percent != run.progress_percent:
        run.progress_percent = row.progress_percent
        run.progressed_at = now
    run.tail_ms_or_millicores = row.tail_ms_or_millicores
    step = state.step_of(run.task)
    if step is not None and row.checkpoint:
        record_checkpoint(step, run.task.index, row.checkpoint)
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    elif run.phase is RunPhase.OUTCOME_UNKNOWN:
        run.phase = RunPhase.STOPPING
    if run.is_orphaned or run.phase is RunPhase.STOPPING:
        state.stop_run(run, now)


def adopt_or_stop_run(
    state: SchedulerState,
    worker: WorkerState,
    row: RunningRun,
    now: Instant,
    presence: Presence,
) -> Difference:
    """Adopt a run of a former holder, or stop it if its task does not need it."""
    step = state.step_of(row.task)
    if step is not None:
        # A later start needs a higher number, whether or not this run is adopted.
        step.run_number = max(step.run_number, row.run_number)
        _drop_older_run(state, worker, step, row, now)
    accepted = state.find_job(row.task.job_id)
    reserved, ceiling_usage = _reserved_and_ceiling_amounts(accepted, row)
    run = Run(
        row.task,
        row.run_number,
        worker.incarnation,
        reserved,
        ceiling_usage,
        accepted.workspace_id if accepted is not None else None,
        RunPhase.RUNNING,
        now,
        now,
        is_adopted=True,
        is_ordered=True,
        presence=presence,
    )
    index = row.task.index
    is_wanted = (
        step is not None
        and not step.job.phase.is_final
        and index not in step.done
        and index not in step.runs_by_index
        and row.task not in worker.runs_by_task
    )
    if step is not None and is_wanted:
        state.add_run(worker, step, run)
        _confirm_run(state, run, row, now)
        return Difference.ADOPTED
    if row.task not in worker.runs_by_task:
        state.add_orphaned_run(worker, run, now)
        is_unknown = accepted is None
        return Difference.OF_UNKNOWN_JOB if is_unknown else Difference.ORPHANED
    state.emit(
        StopRun(worker.incarnation, worker.entry.address, row.task, row.run_number)
    )
    return Difference.STOPPED


def _drop_older_run(
    state: SchedulerState,
    worker: WorkerState,
    step: StepState,
    row: RunningRun,
    now: Instant,
) -> None:
    """Drop a stored run of a task if the worker reports a later run of it.

    Unless the step allows copies, a holder restarts a task only once its previous run
    is certainly over, so the later run proves that the older one ended.
    """
    older = step.runs_by_index.get(row.task.index)
    if (
        older is not None
        and older.number < row.run_number
        and not step.spec.speculative
        and _is_known_from_store_only(state, worker, older)
    ):
        state.drop_run(older, now)


def _is_known_from_store_only(
    state: SchedulerState, worker: WorkerState, run: Run
) -> bool:
    """Tell whether nothing but a former holder's record says that a run exists.

    One that this holder has started, or that its own worker has listed, uses that
    worker's capacity, whatever ``worker`` reports.
    """
    if run.incarnation == worker.incarnation:
        return run.is_adopted
    other = state.workers_by_incarnation.get(run.incarnation)
    return other is None or other.contact is not ContactState.CONFIRMED


def _reserved_and_ceiling_amounts(
    accepted: AcceptedJob | None, row: RunningRun
) -> tuple[Resources, Resources]:
    """Return what a run reserves on its worker and what counts for the ceiling."""
    if accepted is None or row.task.step >= len(accepted.spec.steps):
        return NOTHING, NOTHING
    step = accepted.spec.steps[row.task.step]
    return step.reserved_amount, step.amount


def _handle_unlisted_run(
    state: SchedulerState, report: WorkerReport, run: Run, sent: Instant, now: Instant
) -> tuple[Difference, ...]:
    """Handle a run that a report does not list as running; return what it means."""
    if not report.lists_all_ends:
        _repeat_stop(state, run, now)
        return (Difference.UNCERTAIN,)
    is_over = _handle_missing_run(state, run, sent, now)
    return (Difference.MISSING,) if is_over else ()


def _handle_missing_run(
    state: SchedulerState, run: Run, sent: Instant, now: Instant
) -> bool:
    """Handle a run that is missing from a complete report; tell whether it is over.

    A run whose start order is in flight is left alone. Others are dropped if they were
    last confirmed, or confirmed as stopped, before the poll was sent. If not, the
    report may be older than the run's state, and only a pending stop is repeated.
    """
    if run.presence is Presence.UNKNOWN and sent >= run.began_at:
        run.presence = Presence.ABSENT
    if run.phase is RunPhase.STARTING:
        return False
    known_at = run.confirmed_at if run.phase is RunPhase.RUNNING else run.stopped_at
    if known_at is None or known_at >= sent:
        _repeat_stop(state, run, now)
        return False
    state.drop_run(run, now)
    return True


def _repeat_stop(state: SchedulerState, run: Run, now: Instant) -> None:
    """Send the stop of a run that is to stop once more."""
    if run.phase in (RunPhase.OUTCOME_UNKNOWN, RunPhase.STOPPING):
        state.stop_run(run, now)
