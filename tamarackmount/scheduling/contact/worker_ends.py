"""Worker incarnations that are over, and the runs that are lost with them."""

import logging
from collections.abc import Iterable
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import WorkerEntry
from tamarackmount.scheduling.evidence.common_cause import (
    MIN_SILENT_PEERS,
    jobs_of_silent_peers,
    remember_removed,
)
from tamarackmount.scheduling.evidence.crash_evidence import record_crash
from tamarackmount.scheduling.execution.run_ends import format_task, give_up_culprits
from tamarackmount.scheduling.jobs.runs import Presence, Run, RunPhase
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import CrashRecord
from tamarackmount.scheduling.workers.workers import (
    ContactState,
    LapsedWorker,
    LostRun,
    WorkerState,
)
from tamarackmount.units import MS_PER_SECOND

MAX_EARLY_S = 0.5
"""Longest time, in seconds, that a run can have worked when its worker crashed for the
crash to point at its start; an idle worker lists its runs only after 1.5 s."""

LAPSED_RETENTION_S = 60.0
"""Time for which the runs of a worker are remembered after its lease was over, in
seconds; a worker that crashed is back by then."""

LONG_AGO = Instant(0.0)
"""Before any report."""

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
) -> list[Run]:
    """Remove an incarnation whose place another one has taken.

    Return the runs whose orders may have come to the next incarnation under the same
    id: an order names the id only. :func:`carry_over_runs` stops them there.
    """
    if worker.has_announced_drain:
        cause = WorkerEndCause.DRAINED
    elif worker.was_registered:
        cause = WorkerEndCause.CRASHED
    else:
        cause = WorkerEndCause.UNKNOWN
    lost = _lost_runs(state, worker, worker.runs_by_task.values(), now)
    carried_over = [
        run for run in worker.runs_by_task.values() if _may_be_at_next(worker, run)
    ]
    _remove_worker(state, worker, lost, now, cause, replacement.value)
    state.replaced_incarnations.add(worker.incarnation)
    if cause is not WorkerEndCause.DRAINED:
        is_certain = cause is WorkerEndCause.CRASHED
        _record_crash(state, worker.entry, lost, is_certain, now)
        _record_crash_of_lapsed(state, worker.incarnation, now)
    return carried_over


def _may_be_at_next(worker: WorkerState, run: Run) -> bool:
    """Tell whether a run may have started on the next incarnation under the same id.

    It has not if this one has listed it.
    """
    is_unlisted = run.presence is not Presence.CONFIRMED or (
        not run.is_adopted and run.began_at >= worker.reported_at
    )
    return is_unlisted and (run.is_ordered or run.is_orphaned)


def carry_over_runs(
    state: SchedulerState, successor: WorkerState, runs: Iterable[Run], now: Instant
) -> None:
    """Stop runs that a worker may have started from orders to its last incarnation.

    Their tasks start nowhere before the worker has reported without them, and they
    count towards their workspaces' ceilings until then. An order that was not answered
    may still come, so that its run is stopped in any case. A task is carried over once,
    also if several former incarnations had runs of it.
    """
    for run in sorted(runs, key=lambda run: run.number, reverse=True):
        if run.task in successor.runs_by_task:
            continue
        orphan = Run(
            run.task,
            run.number,
            successor.incarnation,
            run.amount,
            run.ceiling_usage,
            run.workspace_id,
            RunPhase.STARTING if run.confirmed_at is None else RunPhase.RUNNING,
            now,
            confirmed_at=None if run.confirmed_at is None else LONG_AGO,
        )
        state.add_orphaned_run(
            successor, orphan, now, stops_now=run.confirmed_at is None
        )


def remove_expired_worker(
    state: SchedulerState, worker: WorkerState, now: Instant
) -> None:
    """Remove an incarnation that is not registered and whose lease is over."""
    lost = _lost_runs(state, worker, worker.runs_by_task.values(), now)
    _remember_lapsed(state, worker, lost, now)
    cause = WorkerEndCause.LEASE_EXPIRED
    _remove_worker(state, worker, lost, now, cause, "lease expired")


def record_replaced_lapsed_workers(
    state: SchedulerState, entry: WorkerEntry, now: Instant
) -> None:
    """Record the crashes that a new registration shows.

    It shows that former workers of the same id or address are over, also those that had
    been silent until their leases were over, and whose runs were dropped then.
    """
    for incarnation, lapsed in list(state.lapsed_workers.items()):
        is_replaced = (
            incarnation not in state.workers_by_incarnation
            and incarnation != entry.incarnation
            and (
                incarnation.worker_id == entry.incarnation.worker_id
                or lapsed.entry.address == entry.address
            )
        )
        if is_replaced:
            _record_crash_of_lapsed(state, incarnation, now)
        elif now >= lapsed.lapsed_at + LAPSED_RETENTION_S:
            del state.lapsed_workers[incarnation]


def drop_runs_of_expired_lease(
    state: SchedulerState, worker: WorkerState, now: Instant
) -> None:
    """Drop the runs of a worker that may return after its lease was over.

    Those that may go on at an incarnation that is not known yet are kept.
    """
    over = [
        run
        for run in worker.runs_by_task.values()
        if not may_outlive_lease(state, worker, run, now)
    ]
    if not over:
        return
    extra = {
        "worker": worker.incarnation.worker_id,
        "runs": len(over),
        "silent_s": round(now - worker.answered_at, 3),
        "foreign_lease": worker.foreign_lease_ends >= worker.lease_ends,
    }
    _log.info("worker lease expired", extra=extra)
    lost = _lost_runs(state, worker, over, now)
    _remember_lapsed(state, worker, lost, now)
    _drop_runs(state, lost, WorkerEndCause.LEASE_EXPIRED, now)


def may_outlive_lease(
    state: SchedulerState, worker: WorkerState, run: Run, now: Instant
) -> bool:
    """Tell whether a run may go on at an incarnation that is not known yet.

    Its order was not answered: the worker may have restarted under its id and taken the
    order, with a longer lease. Perpetual tasks don't wait for that, as they have to run
    again within seconds.
    """
    step = state.step_of(run.task)
    return (
        run.is_ordered
        and not run.is_adopted
        and run.presence is not Presence.CONFIRMED
        and step is not None
        and not step.spec.perpetual
        and now <= worker.lease_calls_end + state.longest_lease_s
    )


def _remove_worker(
    state: SchedulerState,
    worker: WorkerState,
    lost: list[LostRun],
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
    if cause is not WorkerEndCause.DRAINED:
        remember_removed(state, worker, now)
    _drop_runs(state, lost, cause, now)
    state.workers_by_incarnation.pop(worker.incarnation, None)
    state.changed_workers.discard(worker.incarnation)
    state.removed_workers.add(worker.incarnation)


def _drop_runs(
    state: SchedulerState, lost: list[LostRun], cause: WorkerEndCause, now: Instant
) -> None:
    for one in lost:
        _log_lost_run(one, cause)
        state.observer.record_lost_run(cause.value)
        state.drop_run(one.run, now)


def _remember_lapsed(
    state: SchedulerState, worker: WorkerState, lost: list[LostRun], now: Instant
) -> None:
    """Remember the runs of a worker that may have crashed or been cut off."""
    if worker.has_announced_drain or not lost:
        return
    earlier = state.lapsed_workers.get(worker.incarnation)
    runs = (*earlier.runs, *lost) if earlier is not None else tuple(lost)
    state.lapsed_workers[worker.incarnation] = LapsedWorker(worker.entry, runs, now)


def _record_crash_of_lapsed(
    state: SchedulerState, incarnation: WorkerIncarnation, now: Instant
) -> None:
    lapsed = state.lapsed_workers.pop(incarnation, None)
    if lapsed is not None:
        # Its runs may have ended with the lease, before the crash.
        _record_crash(state, lapsed.entry, lapsed.runs, False, now)


def _record_crash(
    state: SchedulerState,
    entry: WorkerEntry,
    lost: Iterable[LostRun],
    is_certain: bool,
    now: Instant,
) -> None:
    """Record a crash as evidence against the tasks that the worker may have run.

    Nothing counts for a task whose run the worker had not begun when it last reported.
    No run counts as an early one unless it ``is_certain`` that the crash ended it, and
    this holder knows when it started. An order without an answer may have come to a
    worker that had crashed before.
    """
    for one in lost:
        run = one.run
        step = state.step_of(run.task)
        if step is None or not run.is_ordered or run.presence is Presence.ABSENT:
            continue
        if step.job.phase.is_final or run.task.index in step.done:
            continue
        is_confirmed = run.presence is Presence.CONFIRMED
        is_early = (
            is_certain
            and is_confirmed
            and not run.is_adopted
            and run.listed_s <= 0
            and one.longest_s <= MAX_EARLY_S
        )
        ran_ms = int(one.longest_s * MS_PER_SECOND)
        crash = CrashRecord(
            entry.incarnation,
            entry.address,
            ran_ms,
            is_early=is_early,
            is_confirmed=is_confirmed,
            run_number=run.number,
            is_widespread=one.silent_peers >= MIN_SILENT_PEERS,
        )
        record_crash(state, step, run.task.index, crash, now)
    give_up_culprits(state, [entry.incarnation], now)


def _lost_runs(
    state: SchedulerState, worker: WorkerState, runs: Iterable[Run], now: Instant
) -> list[LostRun]:
    """Return runs of a worker that is over, with what is known of their ends."""
    peers = jobs_of_silent_peers(state, worker)
    ended_at = worker.fell_silent_at or now
    return [
        LostRun(
            run,
            max(0.0, ended_at - run.began_at),
            sum(run.task.job_id not in jobs for jobs in peers),
        )
        for run in runs
    ]


def _log_lost_run(lost: LostRun, cause: WorkerEndCause) -> None:
    run = lost.run
    extra = {
        "job": run.task.job_id,
        "task": format_task(run.task),
        "run": run.number,
        "worker": run.incarnation.worker_id,
        "cause": cause.value,
        "ran_s": round(lost.longest_s, 3),
        "listed_s": round(run.listed_s, 3),
        "presence": run.presence.value,
        "silent_peers": lost.silent_peers,
    }
    _log.info("run lost", extra=extra)
