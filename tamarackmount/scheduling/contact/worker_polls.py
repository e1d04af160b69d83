"""Polls of workers that are due, expired leases, and workers that drain."""

from tamarackmount.ids import Instant
from tamarackmount.scheduling.contact.worker_ends import (
    drop_runs_of_expired_lease,
    may_outlive_lease,
    remove_expired_worker,
)
from tamarackmount.scheduling.domain.effects import PollWorker
from tamarackmount.scheduling.execution.run_ends import expected_duration_s
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY
from tamarackmount.scheduling.jobs.runs import RunPhase
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.workers import (
    CALL_DELAY_S,
    ContactState,
    WorkerState,
)
from tamarackmount.units import MS_PER_SECOND

POLL_WAIT_MS = 1_500
"""Longest time for which a worker delays its answer to a poll until a run ends, in
milliseconds; short enough to renew a lease of 6 s in time."""

URGENT_POLL_WAIT_MS = 400
"""The same while the worker runs a task of an urgent job, in milliseconds: a poll whose
answer is lost delays run ends until it times out, and urgent jobs have half a second
to spare."""


RENEWAL_SILENCE_TIMEOUT_S = 1.0
"""Silence until which a worker's lease is reckoned as if polls still renewed it, in
seconds. A worker that crashed is often back before its lease is over, and what the
crash tells of its tasks is known before these start elsewhere."""


def poll_and_expire_workers(state: SchedulerState, now: Instant) -> None:
    """Send the polls that are due, and drop the runs of workers with expired leases.

    A lease counts as expired only if the worker does not answer, or has not answered
    this holder yet and is not registered.
    """
    if state.authority is HolderAuthority.NONE:
        return
    for worker in list(state.workers_by_incarnation.values()):
        is_unreachable = worker.silent_since is not None or (
            worker.contact is ContactState.UNCONFIRMED and not worker.is_registered
        )
        if is_unreachable and now > worker.lease_ends:
            _expire_lease(state, worker, now)
            if worker.incarnation not in state.workers_by_incarnation:
                continue
        if worker.entry.is_draining:
            _stop_runs_before_drain(state, worker, now)
        if not worker.poll_in_flight and now >= worker.next_poll_at:
            _send_poll(state, worker, now)
        elif worker.needs_extra_poll and not worker.extra_poll_in_flight:
            _send_extra_poll(state, worker)


def may_send_poll(state: SchedulerState, poll: PollWorker) -> bool:
    """Tell whether a poll may be sent now; connecting may have taken some time.

    One with a lease or an acknowledgement is only for the incarnation that it names.
    """
    worker = state.workers_by_incarnation.get(poll.incarnation)
    if worker is None:
        return False
    is_question = poll.lease_end_clock_ms is None and not poll.ack_cursor
    return is_question or worker.is_incarnation_certain


def _stop_runs_before_drain(
    state: SchedulerState, worker: WorkerState, now: Instant
) -> None:
    """Stop runs that would not finish before a draining worker leaves.

    These are perpetual ones and those that save progress: they continue elsewhere.
    Others keep running, since workers often stay longer than announced.
    """
    for run in list(worker.runs_by_task.values()):
        step = state.step_of(run.task)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        spec = step.spec
        left_s = run.began_at + expected_duration_s(state, step, run) - now
        will_finish = left_s * MS_PER_SECOND < worker.entry.drain_left_ms
        if spec.perpetual or (spec.saves_progress and not will_finish):
            state.stop_run(run, now)


def _expire_lease(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    may_go_on = any(
        may_outlive_lease(state, worker, run, now)
        for run in worker.runs_by_task.values()
    )
    if not worker.is_registered and not may_go_on:
        remove_expired_worker(state, worker, now)
        return
    drop_runs_of_expired_lease(state, worker, now)
    if not worker.has_listed_all_ends:
        worker.contact = ContactState.EXPIRED


def _send_poll(state: SchedulerState, worker: WorkerState, now: Instant) -> None:
    """Poll a worker; renew its lease too, if it is certain which incarnation answers.

    Otherwise the poll asks which one it is: the next one under the same id would take a
    lease on this one's clock.

    The worker is asked to answer at once if its state or its lease is uncertain, or
    if ends that it reported are not stored yet.
    """
    lease_end = worker.lease_end_clock_ms(now)
    silent_since = worker.silent_since
    if lease_end is not None and (
        silent_since is None or now <= silent_since + RENEWAL_SILENCE_TIMEOUT_S
    ):
        worker.lease_sent(lease_end)
    if not worker.is_incarnation_certain:
        lease_end = None
    may_wait = (
        worker.reported_end_number == worker.stored_end_number
        and lease_end is not None
        and not worker.needs_extra_poll
    )
    worker.poll_in_flight = True
    wait_ms = _poll_wait_ms(state, worker) if may_wait else 0
    if lease_end is not None:
        worker.record_lease_call(Instant(now + wait_ms / MS_PER_SECOND + CALL_DELAY_S))
    _emit_poll(state, worker, lease_end, wait_ms)


def _send_extra_poll(state: SchedulerState, worker: WorkerState) -> None:
    """Ask a worker for a report at once; this renews no lease.

    Load pattern: the answer to the start order of an urgent task is lost. Its worker
    answers the poll in flight only when a run ends, up to 0.4 s later, while the task
    may not start elsewhere.
    """
    worker.extra_poll_in_flight = True
    _emit_poll(state, worker, None, 0, is_extra=True)


def _emit_poll(
    state: SchedulerState,
    worker: WorkerState,
    lease_end: int | None,
    wait_ms: int,
    is_extra: bool = False,
) -> None:
    """Emit a poll.

    Ends are acknowledged only if it is certain which incarnation answers: the next one
    would forget its own.
    """
    worker.needs_extra_poll = False
    state.emit(
        PollWorker(
            incarnation=worker.incarnation,
            address=worker.entry.address,
            ack_cursor=(
                worker.stored_end_number if worker.is_incarnation_certain else 0
            ),
            lease_end_clock_ms=lease_end,
            wait_ms=wait_ms,
            is_extra=is_extra,
        )
    )


def _poll_wait_ms(state: SchedulerState, worker: WorkerState) -> int:
    for run in worker.runs_by_task.values():
        job = state.jobs_by_id.get(run.task.job_id)
        if job is not None and job.priority == URGENT_PRIORITY:
            return URGENT_POLL_WAIT_MS
    return POLL_WAIT_MS
