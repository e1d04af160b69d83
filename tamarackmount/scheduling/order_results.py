"""What the answers to orders mean for runs."""

import logging
from collections.abc import Callable

from tamarackmount.ids import Instant
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.holder_authority import HolderAuthority
from tamarackmount.scheduling.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.placement import FIRST_RUN_NUMBER_AFTER_TAKEOVER
from tamarackmount.scheduling.runs import Run, RunPhase
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.suspected_workers import mark_suspected
from tamarackmount.scheduling.worker_leases import remove_worker, step_down_if_fenced
from tamarackmount.scheduling.worker_reports import OrderResult

_log = logging.getLogger(__name__)

UNHEALTHY_BACKOFF_S = 1.0
"""How long a worker that refused an order gets no new run, in seconds."""

REPLACE_DELAY_S = 0.05
"""Pause before a task that was refused is placed again, in seconds; a look at the
worker in between shows its room."""


_NO_ANSWER = (OrderResult.UNKNOWN, OrderResult.NOT_SENT)


def send_stored_start(state: SchedulerState, start: StartRun, now: Instant) -> None:
    """Send an order whose run the store holds, if it is still wanted and allowed.

    Its lease was reckoned when it was placed: a holder that froze since then sends
    nothing that outlives the time after which its successor takes the run for over.
    """
    order = start.order
    run = state.find_run(order.incarnation, order.task, order.run)
    worker = state.workers_by_incarnation.get(order.incarnation)
    if run is None or worker is None:
        return
    may_start = (
        run.phase is RunPhase.STARTING
        and worker.can_start
        and state.authority is HolderAuthority.FULL
        and _is_permitted(state, start, now)
    )
    if not may_start:
        state.drop_run(run, now)
        return
    run.began_at = now
    state.emit(start)


def _is_permitted(state: SchedulerState, start: StartRun, now: Instant) -> bool:
    """Tell whether the order's permission, if it needs one, is still good."""
    order = start.order
    step = state.step_of(order.task)
    if step is None or not order.ticket:
        return True
    return step.advice.usable_ticket(order.incarnation, now) == order.ticket


def start_answered(
    state: SchedulerState,
    incarnation: WorkerIncarnation,
    task: TaskKey,
    number: int,
    result: OrderResult,
    now: Instant,
) -> None:
    """Take the answer to an order to start."""
    worker = state.workers_by_incarnation.get(incarnation)
    if worker is not None and result not in _NO_ANSWER:
        worker.answered(now)
    run = state.find_run(incarnation, task, number)
    if run is None:
        return
    if result is not OrderResult.DONE:
        extra = {
            "job": task.job_id,
            "run": number,
            "worker": incarnation.worker_id,
            "result": result.value,
        }
        _log.info("start not done", extra=extra)
    _AFTER_START[result](state, run, now)


def stop_answered(
    state: SchedulerState,
    incarnation: WorkerIncarnation,
    task: TaskKey,
    number: int,
    result: OrderResult,
    now: Instant,
) -> None:
    """Take the answer to an order to stop."""
    if result is OrderResult.FENCED:
        step_down_if_fenced(state, incarnation)
    run = state.find_run(incarnation, task, number)
    if run is None:
        return
    run.stop_in_flight = False
    worker = state.workers_by_incarnation.get(incarnation)
    if result is OrderResult.DONE:
        run.stopped_at = run.stopped_at or now
    if worker is None:
        return
    if result is OrderResult.OTHER_INCARNATION:
        remove_worker(state, worker, now, "address has another worker")
    elif result in _NO_ANSWER and worker.silent_since is None:
        state.stop_run(run, now)


def _running(_state: SchedulerState, run: Run, now: Instant) -> None:
    run.confirmed_at = now
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    elif run.phase is RunPhase.OUTCOME_UNKNOWN:
        run.phase = RunPhase.STOPPING


def _not_started(state: SchedulerState, run: Run, now: Instant) -> None:
    step = state.step_of(run.task)
    if step is not None:
        step.not_before = Instant(now + REPLACE_DELAY_S)
    state.drop_run(run, now)


def _old_run(state: SchedulerState, run: Run, now: Instant) -> None:
    step = state.step_of(run.task)
    if step is not None:
        step.run_number = max(
            step.run_number, run.number + FIRST_RUN_NUMBER_AFTER_TAKEOVER
        )
    _not_started(state, run, now)


def _bad_ticket(state: SchedulerState, run: Run, now: Instant) -> None:
    step = state.step_of(run.task)
    if step is not None:
        step.advice.discard_ticket(run.incarnation)
    _not_started(state, run, now)


def _unhealthy(state: SchedulerState, run: Run, now: Instant) -> None:
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None:
        worker.backoff_until = max(
            worker.backoff_until, Instant(now + UNHEALTHY_BACKOFF_S)
        )
    _not_started(state, run, now)


def _fenced(state: SchedulerState, run: Run, now: Instant) -> None:
    step_down_if_fenced(state, run.incarnation)
    _not_started(state, run, now)


def _other_incarnation(state: SchedulerState, run: Run, now: Instant) -> None:
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None:
        remove_worker(state, worker, now, "address has another worker")


def _unknown(state: SchedulerState, run: Run, now: Instant) -> None:
    """Make sure that the order is not carried out later, unless it was already."""
    if run.confirmed_at is None:
        state.stop_run(run, now)
        state.request_speculative_copy(run)
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None:
        mark_suspected(state, worker, run.began_at)


_AFTER_START: dict[OrderResult, Callable[[SchedulerState, Run, Instant], None]] = {
    OrderResult.DONE: _running,
    OrderResult.FENCED: _fenced,
    OrderResult.STALE_RUN: _old_run,
    OrderResult.LATE: _not_started,
    OrderResult.NO_CAPACITY: _not_started,
    OrderResult.BAD_TICKET: _bad_ticket,
    OrderResult.MALFORMED: _not_started,
    OrderResult.UNHEALTHY: _unhealthy,
    OrderResult.OTHER_INCARNATION: _other_incarnation,
    OrderResult.NOT_SENT: _unhealthy,
    OrderResult.UNKNOWN: _unknown,
}
