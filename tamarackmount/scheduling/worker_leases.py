"""Leases of workers, what they report, and when what they ran is surely over."""

import logging

from tamarackmount.ids import DataCentreId, Instant, RackId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.effects import PollWorker, StepDown, StopRun
from tamarackmount.scheduling.holder_authority import HolderAuthority
from tamarackmount.scheduling.journal import WorkerRecord, decode_task, encode_task
from tamarackmount.scheduling.model import WorkerIncarnation
from tamarackmount.scheduling.ranking import URGENT_PRIORITY
from tamarackmount.scheduling.run_ends import handle_run_end, record_checkpoint
from tamarackmount.scheduling.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.suspected_workers import (
    mark_suspected,
    request_speculative_copies,
)
from tamarackmount.scheduling.worker_reports import (
    PollFailure,
    RunningRun,
    WorkerEntry,
    WorkerReport,
)
from tamarackmount.scheduling.workers import (
    MAX_INHERITED_LEASE_S,
    ContactState,
    WorkerState,
)
from tamarackmount.units import MS_PER_SECOND

_log = logging.getLogger(__name__)

POLL_WAIT_MS = 1_500
"""How long a look waits for an end, in milliseconds; renews a lease of 6 s in time."""

URGENT_POLL_WAIT_MS = 400
"""The same while an urgent task runs there, in milliseconds: a look whose answer is
lost hides ends until it is given up, and urgent jobs have half a second to spare."""

FULL_PACE = 100
"""Pace of a run that was not slowed, in percent."""

RENEWAL_SILENCE_TIMEOUT_S = 1.0
"""A worker that is silent for longer gets no renewals, in seconds: its lease has to be
over some time, whether it hears the looks or not."""

UNSTORED_ENDS_POLL_DELAY_S = 0.4
"""Pause between looks while ends are not stored, in seconds: they are listed again at
once each time."""

MIN_POLL_INTERVAL_S = 0.1
"""Least time between two looks at one worker, in seconds: each is paid for, and ends
that come within it are told together; urgent jobs have half a second to spare."""

POLL_RETRY_DELAY_S = 0.3
"""Pause after a look without an answer, in seconds."""


def update_registered_workers(
    state: SchedulerState, entries: list[WorkerEntry], now: Instant
) -> None:
    """Take the workers that are registered now."""
    listed = {entry.incarnation for entry in entries}
    for entry in entries:
        _list_worker(state, entry, now)
    for worker in list(state.workers_by_incarnation.values()):
        if worker.incarnation not in listed and worker.listed:
            worker.listed = False
            _log.info("worker unlisted", extra={"worker": worker.incarnation.worker_id})


def _list_worker(state: SchedulerState, entry: WorkerEntry, now: Instant) -> None:
    worker = state.workers_by_incarnation.get(entry.incarnation)
    if worker is None:
        for other in list(state.workers_by_incarnation.values()):
            if other.incarnation.worker_id == entry.incarnation.worker_id:
                _reborn(state, other, entry, now)
        worker = WorkerState(entry, contact=ContactState.UNCONFIRMED, next_poll_at=now)
        state.workers_by_incarnation[entry.incarnation] = worker
        state.changed_workers.add(entry.incarnation)
        extra = {"worker": entry.incarnation.worker_id, "service": entry.service}
        _log.info("worker listed", extra=extra)
    if entry.is_draining and not worker.entry.is_draining:
        _log.info("worker drains", extra={"worker": entry.incarnation.worker_id})
    worker.entry = entry
    worker.listed = True


def _reborn(
    state: SchedulerState, old: WorkerState, entry: WorkerEntry, now: Instant
) -> None:
    if old.incarnation.born_unix_ms < entry.incarnation.born_unix_ms:
        remove_worker(state, old, now, "born again")


def worker_record(worker: WorkerState) -> WorkerRecord:
    """Return what the store has to keep of a worker."""
    runs = [(encode_task(run.task), run.number) for run in worker.runs_by_task.values()]
    entry = worker.entry
    return WorkerRecord(
        entry.incarnation, entry.service, entry.address, worker.known_end, runs
    )


def restore_worker(
    state: SchedulerState, record: WorkerRecord, last_order: Instant, now: Instant
) -> None:
    """Take a worker that a former holder gave orders to until ``last_order``.

    What was ordered there counts as running until the worker tells or its lease is
    over.
    """
    entry = WorkerEntry(
        incarnation=record.life,
        service=record.service,
        address=record.address,
        data_centre=DataCentreId(""),
        labels=frozenset(),
        rack=RackId(""),
        capacity=NOTHING,
    )
    worker = WorkerState(
        entry, contact=ContactState.UNCONFIRMED, listed=False, recorded=True
    )
    worker.known_end = record.ack
    worker.stored_end = record.ack
    worker.lease_ends = Instant(last_order + MAX_INHERITED_LEASE_S)
    state.workers_by_incarnation[entry.incarnation] = worker
    for text, number in record.runs:
        row = RunningRun(decode_task(text), number, "", FULL_PACE)
        _found_running(state, worker, row, now)


def poll_answered(
    state: SchedulerState,
    incarnation: WorkerIncarnation,
    answer: WorkerReport | PollFailure,
    sent: Instant,
    now: Instant,
) -> None:
    """Take the answer of a look at a worker that was sent at ``sent``."""
    worker = state.workers_by_incarnation.get(incarnation)
    if worker is None:
        return
    worker.poll_in_flight = False
    if isinstance(answer, PollFailure):
        _troubled(state, worker, answer, sent, now)
        return
    if answer.born_unix_ms not in (None, incarnation.born_unix_ms):
        remove_worker(state, worker, now, "another life answers")
        return
    _heard(worker, now)
    worker.read_clock(answer.clock_ms, sent, now)
    for ended in sorted(answer.ended, key=lambda row: row.number):
        if ended.number > worker.known_end:
            handle_run_end(state, worker, ended, now)
    _compare_runs(state, worker, answer, sent, now)
    worker.earliest_poll_at = Instant(now + MIN_POLL_INTERVAL_S)
    worker.next_poll_at = worker.earliest_poll_at if answer.ended else now
    if worker.known_end > worker.stored_end:
        worker.next_poll_at = Instant(now + UNSTORED_ENDS_POLL_DELAY_S)


def _troubled(
    state: SchedulerState,
    worker: WorkerState,
    trouble: PollFailure,
    sent: Instant,
    now: Instant,
) -> None:
    if trouble is PollFailure.FENCED:
        step_down_if_fenced(state, worker.incarnation)
        return
    if trouble is PollFailure.OTHER_INCARNATION:
        remove_worker(state, worker, now, "address has another worker")
        return
    if worker.silent_since is None and not worker.poll_timed_out:
        worker.poll_timed_out = True
        worker.next_poll_at = now
        mark_suspected(state, worker, sent)
        return
    if worker.silent_since is None:
        worker.silent_since = now
        extra = {"worker": worker.incarnation.worker_id, "reason": trouble.value}
        _log.info("worker lost", extra=extra)
        request_speculative_copies(state, worker)
    worker.next_poll_at = Instant(now + POLL_RETRY_DELAY_S)


def step_down_if_fenced(state: SchedulerState, incarnation: WorkerIncarnation) -> None:
    """Give up: a worker follows a holder with a higher token."""
    if not state.superseded:
        state.superseded = True
        state.emit(StepDown(f"worker {incarnation.worker_id} follows a later holder"))


def _heard(worker: WorkerState, now: Instant) -> None:
    if worker.contact is not ContactState.CONFIRMED or worker.silent_since is not None:
        extra = {"worker": worker.incarnation.worker_id, "reach": worker.contact.value}
        _log.info("worker follows", extra=extra)
    worker.contact = ContactState.CONFIRMED
    worker.silent_since = None
    worker.poll_timed_out = False
    worker.answered(now)


def _compare_runs(
    state: SchedulerState,
    worker: WorkerState,
    report: WorkerReport,
    sent: Instant,
    now: Instant,
) -> None:
    listed = {row.task: row for row in report.running}
    for row in report.running:
        run = worker.runs_by_task.get(row.task)
        if run is not None and run.number == row.run:
            _seen_running(state, run, row, now)
        else:
            _found_running(state, worker, row, now)
    for run in list(worker.runs_by_task.values()):
        row_of_run = listed.get(run.task)
        if row_of_run is None or row_of_run.run != run.number:
            _absent(state, run, sent, now)


def _seen_running(
    state: SchedulerState, run: Run, row: RunningRun, now: Instant
) -> None:
    run.confirmed_at = now
    run.percent = row.percent
    run.reading = row.tail_ms_or_millicores
    step = state.step_of(run.task)
    if step is not None and row.checkpoint:
        record_checkpoint(step, run.task.index, row.checkpoint)
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    elif run.phase is RunPhase.OUTCOME_UNKNOWN:
        run.phase = RunPhase.STOPPING
    if run.phase is RunPhase.STOPPING:
        state.stop_run(run, now)


def _found_running(
    state: SchedulerState, worker: WorkerState, row: RunningRun, now: Instant
) -> None:
    """Take over a run of an earlier holder, or stop one that nobody wants."""
    step = state.step_of(row.task)
    if step is not None:
        _drop_older(state, step, row, now)
    amount, charged = _amounts(state, row)
    run = Run(
        row.task,
        row.run,
        worker.incarnation,
        amount,
        charged,
        RunPhase.RUNNING,
        now,
        now,
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
        state.add_run(worker, step, run)
        _seen_running(state, run, row, now)
        return
    if row.task not in worker.runs_by_task:
        state.add_orphaned_run(worker, run, now)
        return
    state.emit(StopRun(worker.incarnation, worker.entry.address, row.task, row.run))


def _drop_older(
    state: SchedulerState, step: StepState, row: RunningRun, now: Instant
) -> None:
    """Drop a recorded run that a later one of its task shows to be over.

    A holder starts a task again only when its last run is surely over.
    """
    older = step.runs_by_index.get(row.task.index)
    if older is not None and older.number < row.run and not step.spec.speculative:
        state.drop_run(older, now)


def _amounts(state: SchedulerState, row: RunningRun) -> tuple[Resources, Resources]:
    accepted = state.find_job(row.task.job_id)
    if accepted is None or row.task.step >= len(accepted.spec.steps):
        return NOTHING, NOTHING
    step = accepted.spec.steps[row.task.step]
    return step.reserved_amount, step.amount


def _absent(state: SchedulerState, run: Run, sent: Instant, now: Instant) -> None:
    """Decide on a run that the worker's lists lack."""
    if run.phase is RunPhase.STARTING:
        return
    known = run.confirmed_at if run.phase is RunPhase.RUNNING else run.stopped_at
    if known is None or known >= sent:
        if run.phase is not RunPhase.RUNNING:
            state.stop_run(run, now)
        return
    state.drop_run(run, now)


def remove_worker(
    state: SchedulerState, worker: WorkerState, now: Instant, reason: str
) -> None:
    """End everything that ran on a life of a worker that is surely over."""
    extra = {
        "worker": worker.incarnation.worker_id,
        "reason": reason,
        "runs": len(worker.runs_by_task),
    }
    _log.info("worker gone", extra=extra)
    worker.contact = ContactState.LOST
    for run in list(worker.runs_by_task.values()):
        state.drop_run(run, now)
    state.workers_by_incarnation.pop(worker.incarnation, None)
    state.changed_workers.discard(worker.incarnation)
    state.removed_workers.add(worker.incarnation)


def poll_and_expire_workers(state: SchedulerState, now: Instant) -> None:
    """Send looks that are due, and end what lapsed."""
    if state.authority is HolderAuthority.NONE:
        return
    for worker in list(state.workers_by_incarnation.values()):
        is_out_of_reach = worker.silent_since is not None or (
            worker.contact is ContactState.UNCONFIRMED and not worker.listed
        )
        if is_out_of_reach and now > worker.lease_ends:
            _lapsed(state, worker, now)
            if worker.incarnation not in state.workers_by_incarnation:
                continue
        if worker.entry.is_draining:
            _evacuate(state, worker, now)
        if not worker.poll_in_flight and now >= worker.next_poll_at:
            _look(state, worker, now)


def _evacuate(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    """Stop what would not end before the worker leaves, so that it goes on elsewhere.

    Work that keeps no progress is left to its luck: workers often stay longer.
    """
    for run in list(worker.runs_by_task.values()):
        step = state.step_of(run.task)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        spec = step.spec
        queue = step.job.accepted.queue
        left_s = (
            run.began_at + state.forecast.estimate_s(queue, spec.estimated_ms) - now
        )
        is_done_in_time = left_s * MS_PER_SECOND < worker.entry.drain_left_ms
        if spec.perpetual or (spec.saves_progress and not is_done_in_time):
            state.stop_run(run, now)


def _lapsed(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    if not worker.listed:
        remove_worker(state, worker, now, "lease over")
        return
    if worker.runs_by_task:
        extra = {
            "worker": worker.incarnation.worker_id,
            "runs": len(worker.runs_by_task),
        }
        _log.info("lease over", extra=extra)
    for run in list(worker.runs_by_task.values()):
        state.drop_run(run, now)
    if worker.contact is ContactState.UNCONFIRMED:
        worker.contact = ContactState.LOST


def _look(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    lease_end = worker.lease_end_clock_ms(now)
    silent_since = worker.silent_since
    if silent_since is not None and now > silent_since + RENEWAL_SILENCE_TIMEOUT_S:
        lease_end = None
    if lease_end is not None:
        worker.lease_sent(lease_end)
    is_settled = (
        worker.contact is ContactState.CONFIRMED
        and worker.silent_since is None
        and not worker.poll_timed_out
        and worker.known_end == worker.stored_end
        and lease_end is not None
    )
    worker.poll_in_flight = True
    state.emit(
        PollWorker(
            incarnation=worker.incarnation,
            address=worker.entry.address,
            ack_cursor=worker.stored_end,
            lease_end_clock_ms=lease_end,
            wait_ms=_poll_wait_ms(state, worker) if is_settled else 0,
        )
    )


def _poll_wait_ms(state: SchedulerState, worker: WorkerState) -> int:
    for run in worker.runs_by_task.values():
        job = state.jobs_by_id.get(run.task.job_id)
        if job is not None and job.priority == URGENT_PRIORITY:
            return URGENT_POLL_WAIT_MS
    return POLL_WAIT_MS
