"""Leases of workers, what they report, and when what they ran is surely over."""

import logging

from tamarackmount.ids import DataCentreId, Instant, RackId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.effects import HoldWorker, StepDown, StopRun
from tamarackmount.scheduling.holder_authority import Licence
from tamarackmount.scheduling.journal import WorkerRecord, run_text, task_of
from tamarackmount.scheduling.model import WorkerLife
from tamarackmount.scheduling.ranking import URGENT_PRIORITY
from tamarackmount.scheduling.run_ends import keep_checkpoint, take_end
from tamarackmount.scheduling.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.scheduler_state import Cell
from tamarackmount.scheduling.suspected_workers import copy_all, doubt
from tamarackmount.scheduling.worker_reports import (
    RunningRun,
    WorkerEntry,
    WorkerReport,
    WorkerTrouble,
)
from tamarackmount.scheduling.workers import (
    UNKNOWN_LEASE_S,
    Reach,
    WorkerState,
)
from tamarackmount.units import MS_PER_SECOND

_log = logging.getLogger(__name__)

HOLD_WAIT_MS = 1_500
"""How long a look waits for an end, in milliseconds; renews a lease of 6 s in time."""

URGENT_HOLD_WAIT_MS = 400
"""The same while an urgent task runs there, in milliseconds: a look whose answer is
lost hides ends until it is given up, and urgent jobs have half a second to spare."""

FULL_PACE = 100
"""Pace of a run that was not slowed, in percent."""

RENEW_SILENT_S = 1.0
"""A worker that is silent for longer gets no renewals, in seconds: its lease has to be
over some time, whether it hears the looks or not."""

UNSTORED_HOLD_S = 0.4
"""Pause between looks while ends are not stored, in seconds: they are listed again at
once each time."""

LOOK_GAP_S = 0.1
"""Least time between two looks at one worker, in seconds: each is paid for, and ends
that come within it are told together; urgent jobs have half a second to spare."""

RETRY_HOLD_S = 0.3
"""Pause after a look without an answer, in seconds."""


def list_workers(cell: Cell, entries: list[WorkerEntry], now: Instant) -> None:
    """Take the workers that are registered now."""
    listed = {entry.life for entry in entries}
    for entry in entries:
        _list_worker(cell, entry, now)
    for worker in list(cell.workers_by_life.values()):
        if worker.life not in listed and worker.listed:
            worker.listed = False
            _log.info("worker unlisted", extra={"worker": worker.life.worker_id})


def _list_worker(cell: Cell, entry: WorkerEntry, now: Instant) -> None:
    worker = cell.workers_by_life.get(entry.life)
    if worker is None:
        for other in list(cell.workers_by_life.values()):
            if other.life.worker_id == entry.life.worker_id:
                _reborn(cell, other, entry, now)
        worker = WorkerState(entry, reach=Reach.UNSEEN, next_hold_at=now)
        cell.workers_by_life[entry.life] = worker
        cell.changed_workers.add(entry.life)
        extra = {"worker": entry.life.worker_id, "service": entry.service}
        _log.info("worker listed", extra=extra)
    if entry.is_draining and not worker.entry.is_draining:
        _log.info("worker drains", extra={"worker": entry.life.worker_id})
    worker.entry = entry
    worker.listed = True


def _reborn(cell: Cell, old: WorkerState, entry: WorkerEntry, now: Instant) -> None:
    if old.life.born_unix_ms < entry.life.born_unix_ms:
        worker_gone(cell, old, now, "born again")


def worker_record(worker: WorkerState) -> WorkerRecord:
    """Return what the store has to keep of a worker."""
    runs = [(run_text(run.task), run.number) for run in worker.runs_by_task.values()]
    entry = worker.entry
    return WorkerRecord(
        entry.life, entry.service, entry.address, worker.known_end, runs
    )


def restore_worker(
    cell: Cell, record: WorkerRecord, last_order: Instant, now: Instant
) -> None:
    """Take a worker that a former holder gave orders to until ``last_order``.

    What was ordered there counts as running until the worker tells or its lease is
    over.
    """
    entry = WorkerEntry(
        life=record.life,
        service=record.service,
        address=record.address,
        data_centre=DataCentreId(""),
        labels=frozenset(),
        rack=RackId(""),
        capacity=NOTHING,
    )
    worker = WorkerState(entry, reach=Reach.UNSEEN, listed=False, recorded=True)
    worker.known_end = record.ack
    worker.stored_end = record.ack
    worker.lease_ends = Instant(last_order + UNKNOWN_LEASE_S)
    cell.workers_by_life[entry.life] = worker
    for text, number in record.runs:
        row = RunningRun(task_of(text), number, "", FULL_PACE)
        _found_running(cell, worker, row, now)


def worker_held(
    cell: Cell,
    life: WorkerLife,
    answer: WorkerReport | WorkerTrouble,
    sent: Instant,
    now: Instant,
) -> None:
    """Take the answer of a look at a worker that was sent at ``sent``."""
    worker = cell.workers_by_life.get(life)
    if worker is None:
        return
    worker.hold_in_flight = False
    if isinstance(answer, WorkerTrouble):
        _troubled(cell, worker, answer, sent, now)
        return
    if answer.born_unix_ms not in (None, life.born_unix_ms):
        worker_gone(cell, worker, now, "another life answers")
        return
    _heard(worker, now)
    worker.read_clock(answer.clock_ms, sent, now)
    for ended in sorted(answer.ended, key=lambda row: row.number):
        if ended.number > worker.known_end:
            take_end(cell, worker, ended, now)
    _compare_runs(cell, worker, answer, sent, now)
    worker.look_again_at = Instant(now + LOOK_GAP_S)
    worker.next_hold_at = worker.look_again_at if answer.ended else now
    if worker.known_end > worker.stored_end:
        worker.next_hold_at = Instant(now + UNSTORED_HOLD_S)


def _troubled(
    cell: Cell,
    worker: WorkerState,
    trouble: WorkerTrouble,
    sent: Instant,
    now: Instant,
) -> None:
    if trouble is WorkerTrouble.FENCED:
        fenced(cell, worker.life)
        return
    if trouble is WorkerTrouble.OTHER_LIFE:
        worker_gone(cell, worker, now, "address has another worker")
        return
    if worker.silent_since is None and not worker.look_missed:
        worker.look_missed = True
        worker.next_hold_at = now
        doubt(cell, worker, sent)
        return
    if worker.silent_since is None:
        worker.silent_since = now
        extra = {"worker": worker.life.worker_id, "reason": trouble.value}
        _log.info("worker lost", extra=extra)
        copy_all(cell, worker)
    worker.next_hold_at = Instant(now + RETRY_HOLD_S)


def fenced(cell: Cell, life: WorkerLife) -> None:
    """Give up: a worker follows a holder with a higher token."""
    if not cell.superseded:
        cell.superseded = True
        cell.emit(StepDown(f"worker {life.worker_id} follows a later holder"))


def _heard(worker: WorkerState, now: Instant) -> None:
    if worker.reach is not Reach.FOLLOWING or worker.silent_since is not None:
        extra = {"worker": worker.life.worker_id, "reach": worker.reach.value}
        _log.info("worker follows", extra=extra)
    worker.reach = Reach.FOLLOWING
    worker.silent_since = None
    worker.look_missed = False
    worker.answered(now)


def _compare_runs(
    cell: Cell,
    worker: WorkerState,
    report: WorkerReport,
    sent: Instant,
    now: Instant,
) -> None:
    listed = {row.task: row for row in report.running}
    for row in report.running:
        run = worker.runs_by_task.get(row.task)
        if run is not None and run.number == row.run:
            _seen_running(cell, run, row, now)
        else:
            _found_running(cell, worker, row, now)
    for run in list(worker.runs_by_task.values()):
        row_of_run = listed.get(run.task)
        if row_of_run is None or row_of_run.run != run.number:
            _absent(cell, run, sent, now)


def _seen_running(cell: Cell, run: Run, row: RunningRun, now: Instant) -> None:
    run.confirmed_at = now
    run.percent = row.percent
    run.reading = row.tail_ms_or_millicores
    step = cell.step_of(run.task)
    if step is not None and row.checkpoint:
        keep_checkpoint(step, run.task.index, row.checkpoint)
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    elif run.phase is RunPhase.UNSETTLED:
        run.phase = RunPhase.STOPPING
    if run.phase is RunPhase.STOPPING:
        cell.stop_run(run, now)


def _found_running(
    cell: Cell, worker: WorkerState, row: RunningRun, now: Instant
) -> None:
    """Take over a run of an earlier holder, or stop one that nobody wants."""
    step = cell.step_of(row.task)
    if step is not None:
        _drop_older(cell, step, row, now)
    amount, charged = _amounts(cell, row)
    run = Run(
        row.task, row.run, worker.life, amount, charged, RunPhase.RUNNING, now, now
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
        step.run_number = max(step.run_number, row.run)
        cell.add_run(worker, step, run)
        _seen_running(cell, run, row, now)
        return
    if row.task not in worker.runs_by_task:
        cell.add_stray(worker, run, now)
        return
    cell.emit(StopRun(worker.life, worker.entry.address, row.task, row.run))


def _drop_older(cell: Cell, step: StepState, row: RunningRun, now: Instant) -> None:
    """Drop a recorded run that a later one of its task shows to be over.

    A holder starts a task again only when its last run is surely over.
    """
    older = step.runs_by_index.get(row.task.index)
    if older is not None and older.number < row.run and not step.spec.speculative:
        cell.drop_run(older, now)


def _amounts(cell: Cell, row: RunningRun) -> tuple[Resources, Resources]:
    accepted = cell.find_job(row.task.job_id)
    if accepted is None or row.task.step >= len(accepted.spec.steps):
        return NOTHING, NOTHING
    step = accepted.spec.steps[row.task.step]
    return step.room_amount, step.amount


def _absent(cell: Cell, run: Run, sent: Instant, now: Instant) -> None:
    """Decide on a run that the worker's lists lack."""
    if run.phase is RunPhase.STARTING:
        return
    known = run.confirmed_at if run.phase is RunPhase.RUNNING else run.stopped_at
    if known is None or known >= sent:
        if run.phase is not RunPhase.RUNNING:
            cell.stop_run(run, now)
        return
    cell.drop_run(run, now)


def worker_gone(cell: Cell, worker: WorkerState, now: Instant, reason: str) -> None:
    """End everything that ran on a life of a worker that is surely over."""
    extra = {
        "worker": worker.life.worker_id,
        "reason": reason,
        "runs": len(worker.runs_by_task),
    }
    _log.info("worker gone", extra=extra)
    worker.reach = Reach.GONE
    for run in list(worker.runs_by_task.values()):
        cell.drop_run(run, now)
    cell.workers_by_life.pop(worker.life, None)
    cell.changed_workers.discard(worker.life)
    cell.removed_workers.add(worker.life)


def watch_workers(cell: Cell, now: Instant) -> None:
    """Send looks that are due, and end what lapsed."""
    if cell.licence is Licence.NONE:
        return
    for worker in list(cell.workers_by_life.values()):
        is_out_of_reach = worker.silent_since is not None or (
            worker.reach is Reach.UNSEEN and not worker.listed
        )
        if is_out_of_reach and now > worker.lease_ends:
            _lapsed(cell, worker, now)
            if worker.life not in cell.workers_by_life:
                continue
        if worker.entry.is_draining:
            _evacuate(cell, worker, now)
        if not worker.hold_in_flight and now >= worker.next_hold_at:
            _look(cell, worker, now)


def _evacuate(cell: Cell, worker: WorkerState, now: Instant) -> None:
    """Stop what would not end before the worker leaves, so that it goes on elsewhere.

    Work that keeps no progress is left to its luck: workers often stay longer.
    """
    for run in list(worker.runs_by_task.values()):
        step = cell.step_of(run.task)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        spec = step.spec
        queue = step.job.accepted.queue
        left_s = run.began_at + cell.forecast.seconds(queue, spec.estimated_ms) - now
        is_done_in_time = left_s * MS_PER_SECOND < worker.entry.drain_left_ms
        if spec.perpetual or (spec.saves_progress and not is_done_in_time):
            cell.stop_run(run, now)


def _lapsed(cell: Cell, worker: WorkerState, now: Instant) -> None:
    if not worker.listed:
        worker_gone(cell, worker, now, "lease over")
        return
    if worker.runs_by_task:
        extra = {
            "worker": worker.life.worker_id,
            "runs": len(worker.runs_by_task),
        }
        _log.info("lease over", extra=extra)
    for run in list(worker.runs_by_task.values()):
        cell.drop_run(run, now)
    if worker.reach is Reach.UNSEEN:
        worker.reach = Reach.GONE


def _look(cell: Cell, worker: WorkerState, now: Instant) -> None:
    lease_end = worker.lease_end_clock_ms(now)
    silent_since = worker.silent_since
    if silent_since is not None and now > silent_since + RENEW_SILENT_S:
        lease_end = None
    if lease_end is not None:
        worker.granted(lease_end)
    is_settled = (
        worker.reach is Reach.FOLLOWING
        and worker.silent_since is None
        and not worker.look_missed
        and worker.known_end == worker.stored_end
        and lease_end is not None
    )
    worker.hold_in_flight = True
    cell.emit(
        HoldWorker(
            life=worker.life,
            address=worker.entry.address,
            ack_cursor=worker.stored_end,
            lease_end_clock_ms=lease_end,
            wait_ms=_hold_wait_ms(cell, worker) if is_settled else 0,
        )
    )


def _hold_wait_ms(cell: Cell, worker: WorkerState) -> int:
    for run in worker.runs_by_task.values():
        job = cell.jobs_by_id.get(run.task.job_id)
        if job is not None and job.priority == URGENT_PRIORITY:
            return URGENT_HOLD_WAIT_MS
    return HOLD_WAIT_MS
