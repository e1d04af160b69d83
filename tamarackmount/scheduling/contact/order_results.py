"""Updates of runs and workers from the results of start and stop orders."""

import logging
from collections.abc import Callable

from tamarackmount.ids import Instant
from tamarackmount.scheduling.contact.worker_ends import (
    Replacement,
    remove_replaced_worker,
)
from tamarackmount.scheduling.contact.worker_leases import step_down
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import OrderResult, StartOrder
from tamarackmount.scheduling.evidence.suspected_workers import mark_suspected
from tamarackmount.scheduling.execution.run_starts import send_start
from tamarackmount.scheduling.jobs.run_numbers import FIRST_RUN_NUMBER_AFTER_TAKEOVER
from tamarackmount.scheduling.jobs.runs import Presence, Run, RunPhase
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.scheduler_state import SchedulerState

_log = logging.getLogger(__name__)

UNHEALTHY_BACKOFF_S = 1.0
"""How long a worker gets no new run after a start order could not be sent to it or was
refused as unhealthy, in seconds."""

PLACEMENT_RETRY_DELAY_S = 0.05
"""Delay before a task whose start was refused is placed again, in seconds; a poll in
between shows the worker's free capacity."""

_UNANSWERED = (OrderResult.UNKNOWN, OrderResult.NOT_SENT)

_NOT_WRITTEN = (OrderResult.NOT_SENT, OrderResult.UNIDENTIFIED)

_NO_ANSWER_OF_WORKER = (
    *_UNANSWERED,
    OrderResult.OTHER_INCARNATION,
    OrderResult.UNIDENTIFIED,
)


def send_stored_start(state: SchedulerState, start: StartRun, now: Instant) -> None:
    """Send a start order whose run is stored, if it is still wanted and allowed.

    Its lease end was computed at placement. So even if this process was frozen since
    then, the run ends before the next holder may assume that it is over.
    """
    order = start.order
    run = state.find_run(order.incarnation, order.task, order.run_number)
    worker = state.workers_by_incarnation.get(order.incarnation)
    if run is None or worker is None:
        return
    may_start = (
        state.is_start_wanted(run)
        and worker.can_start
        and worker.covers_reservations(run.amount)
        and state.authority is HolderAuthority.FULL
        and _has_valid_ticket(state, start, now)
    )
    if not may_start:
        state.drop_run(run, now)
        return
    run.began_at = now
    send_start(state, run, start)


def _has_valid_ticket(state: SchedulerState, start: StartRun, now: Instant) -> bool:
    """Tell whether the order's ticket, if it has one, is still usable."""
    order = start.order
    step = state.step_of(order.task)
    if step is None or not order.ticket:
        return True
    return step.advice.usable_ticket(order.incarnation, now) == order.ticket


def may_send_start(state: SchedulerState, order: StartOrder) -> bool:
    """Return whether a start order may be sent now.

    It may have waited since it was placed, perhaps in a process that was paused. Its
    run may not be wanted any more, its worker may have begun to drain, or another
    incarnation may have taken that one's place.
    """
    worker = state.workers_by_incarnation.get(order.incarnation)
    run = state.find_run(order.incarnation, order.task, order.run_number)
    return (
        state.authority is HolderAuthority.FULL
        and worker is not None
        and run is not None
        and state.is_start_wanted(run)
        and worker.can_start
        and worker.covers_reservations(run.amount)
    )


def start_answered(
    state: SchedulerState,
    incarnation: WorkerIncarnation,
    task: TaskKey,
    run_number: int,
    result: OrderResult,
    now: Instant,
    clock_ms: int | None = None,
) -> None:
    """Handle the result of a start order.

    ``clock_ms`` is the clock reading in the reply. One that this incarnation can't have
    made shows that another one has taken the order. The outcome counts as unknown then:
    a poll tells which incarnation it is, and the run is stopped there.
    """
    worker = state.workers_by_incarnation.get(incarnation)
    if worker is not None:
        if result not in _NOT_WRITTEN:
            worker.record_lease_call(now)
        if clock_ms is not None and not worker.may_have_read(clock_ms):
            _log.info(
                "order answered by another incarnation",
                extra={"worker": incarnation.worker_id, "result": result.value},
            )
            if result is not OrderResult.FENCED:
                result = OrderResult.UNKNOWN
        if result not in _NO_ANSWER_OF_WORKER:
            worker.record_answer(now)
    run = state.find_run(incarnation, task, run_number)
    if run is None:
        return
    if result is not OrderResult.DONE:
        extra = {
            "job": task.job_id,
            "run": run_number,
            "worker": incarnation.worker_id,
            "result": result.value,
        }
        _log.info("start order not confirmed", extra=extra)
    _HANDLER_BY_START_RESULT[result](state, run, now)


def stop_answered(
    state: SchedulerState,
    incarnation: WorkerIncarnation,
    task: TaskKey,
    run_number: int,
    result: OrderResult,
    now: Instant,
) -> None:
    """Handle the result of a stop order."""
    if result is OrderResult.FENCED:
        step_down(state, incarnation)
    run = state.find_run(incarnation, task, run_number)
    if run is None:
        return
    run.stop_in_flight = False
    worker = state.workers_by_incarnation.get(incarnation)
    if result is OrderResult.DONE:
        run.stopped_at = run.stopped_at or now
        if worker is not None and run.presence is not Presence.CONFIRMED:
            # It may never have started; then no end of it answers the poll in flight,
            # while it holds back its task and its workspace.
            worker.needs_extra_poll = True
    if worker is None:
        return
    if result is OrderResult.OTHER_INCARNATION:
        remove_replaced_worker(state, worker, now, Replacement.OTHER_WORKER_ANSWERS)
    elif result in _UNANSWERED and worker.silent_since is None:
        state.stop_run(run, now)


def _confirm_start(_state: SchedulerState, run: Run, now: Instant) -> None:
    run.confirmed_at = now
    run.presence = Presence.CONFIRMED
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    elif run.phase is RunPhase.OUTCOME_UNKNOWN:
        run.phase = RunPhase.STOPPING


def _retry_placement(state: SchedulerState, run: Run, now: Instant) -> None:
    step = state.step_of(run.task)
    if step is not None:
        step.not_before = Instant(now + PLACEMENT_RETRY_DELAY_S)
    state.drop_run(run, now)


def _raise_run_number(state: SchedulerState, run: Run, now: Instant) -> None:
    step = state.step_of(run.task)
    if step is not None:
        step.run_number = max(
            step.run_number, run.number + FIRST_RUN_NUMBER_AFTER_TAKEOVER
        )
    _retry_placement(state, run, now)


def _discard_ticket(state: SchedulerState, run: Run, now: Instant) -> None:
    step = state.step_of(run.task)
    if step is not None:
        step.advice.discard_ticket(run.incarnation)
    _retry_placement(state, run, now)


def _back_off_worker(state: SchedulerState, run: Run, now: Instant) -> None:
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None:
        worker.backoff_until = max(
            worker.backoff_until, Instant(now + UNHEALTHY_BACKOFF_S)
        )
    _retry_placement(state, run, now)


def _handle_unsent_start(state: SchedulerState, run: Run, now: Instant) -> None:
    """Place a task again whose start order was not sent.

    The worker backs off only if nothing else explains why it was not sent.
    """
    if not state.is_start_wanted(run):
        state.drop_run(run, now)
        return
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None and worker.can_start:
        _back_off_worker(state, run, now)
    else:
        _retry_placement(state, run, now)


def _ask_unidentified_worker(state: SchedulerState, run: Run, now: Instant) -> None:
    """Place a task again, and ask the worker at once which incarnation is there.

    The regular poll may wait on a connection to the former one until it times out. A
    healthy worker whose answer was lost may start runs again after this one.
    """
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None:
        mark_suspected(state, worker, now)
        worker.needs_extra_poll = True
    _retry_placement(state, run, now)


def _step_down(state: SchedulerState, run: Run, now: Instant) -> None:
    step_down(state, run.incarnation)
    _retry_placement(state, run, now)


def _remove_replaced_worker(state: SchedulerState, run: Run, now: Instant) -> None:
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None:
        remove_replaced_worker(state, worker, now, Replacement.OTHER_WORKER_ANSWERS)


def _handle_unknown_start(state: SchedulerState, run: Run, now: Instant) -> None:
    """Stop a run whose start order may still be carried out.

    A run that a poll has confirmed in the meantime goes on.
    """
    if run.confirmed_at is None:
        state.stop_run(run, now)
        state.request_speculative_copy(run)
    worker = state.workers_by_incarnation.get(run.incarnation)
    if worker is not None:
        mark_suspected(state, worker, run.began_at)
        worker.needs_extra_poll = True


_HANDLER_BY_START_RESULT: dict[
    OrderResult, Callable[[SchedulerState, Run, Instant], None]
] = {
    OrderResult.DONE: _confirm_start,
    OrderResult.FENCED: _step_down,
    OrderResult.STALE_RUN: _raise_run_number,
    OrderResult.LATE: _retry_placement,
    OrderResult.NO_CAPACITY: _retry_placement,
    OrderResult.BAD_TICKET: _discard_ticket,
    OrderResult.MALFORMED: _retry_placement,
    OrderResult.UNHEALTHY: _back_off_worker,
    OrderResult.OTHER_INCARNATION: _remove_replaced_worker,
    OrderResult.NOT_SENT: _handle_unsent_start,
    OrderResult.UNIDENTIFIED: _ask_unidentified_worker,
    OrderResult.UNKNOWN: _handle_unknown_start,
}
