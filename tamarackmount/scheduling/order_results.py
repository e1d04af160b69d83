"""What the answers to orders mean for runs."""

import logging
from collections.abc import Callable

from tamarackmount.ids import Instant
from tamarackmount.scheduling.effects import StartRun
from tamarackmount.scheduling.holder_authority import Licence
from tamarackmount.scheduling.model import TaskKey, WorkerLife
from tamarackmount.scheduling.placement import FIRST_RUN_AFTER_TAKEOVER
from tamarackmount.scheduling.runs import Run, RunPhase
from tamarackmount.scheduling.scheduler_state import Cell
from tamarackmount.scheduling.suspected_workers import doubt
from tamarackmount.scheduling.worker_leases import fenced, worker_gone
from tamarackmount.scheduling.worker_reports import OrderResult

_log = logging.getLogger(__name__)

UNHEALTHY_REST_S = 1.0
"""How long a worker that refused an order gets no new run, in seconds."""

REPLACE_DELAY_S = 0.05
"""Pause before a task that was refused is placed again, in seconds; a look at the
worker in between shows its room."""


_NO_ANSWER = (OrderResult.UNKNOWN, OrderResult.NOT_SENT)


def start_recorded(cell: Cell, start: StartRun, now: Instant) -> None:
    """Send an order whose run the store holds, if it is still wanted and allowed.

    Its lease was reckoned when it was placed: a holder that froze since then sends
    nothing that outlives the time after which its successor takes the run for over.
    """
    order = start.order
    run = cell.find_run(order.life, order.task, order.run)
    worker = cell.workers_by_life.get(order.life)
    if run is None or worker is None:
        return
    may_start = (
        run.phase is RunPhase.STARTING
        and worker.can_start
        and cell.licence is Licence.FULL
        and _is_permitted(cell, start, now)
    )
    if not may_start:
        cell.drop_run(run, now)
        return
    run.began_at = now
    cell.emit(start)


def _is_permitted(cell: Cell, start: StartRun, now: Instant) -> bool:
    """Tell whether the order's permission, if it needs one, is still good."""
    order = start.order
    step = cell.step_of(order.task)
    if step is None or not order.ticket:
        return True
    return step.advice.ticket(order.life, now) == order.ticket


def start_answered(
    cell: Cell,
    life: WorkerLife,
    task: TaskKey,
    number: int,
    result: OrderResult,
    now: Instant,
) -> None:
    """Take the answer to an order to start."""
    worker = cell.workers_by_life.get(life)
    if worker is not None and result not in _NO_ANSWER:
        worker.answered(now)
    run = cell.find_run(life, task, number)
    if run is None:
        return
    if result is not OrderResult.DONE:
        extra = {
            "job": task.job_id,
            "run": number,
            "worker": life.worker_id,
            "result": result.value,
        }
        _log.info("start not done", extra=extra)
    _AFTER_START[result](cell, run, now)


def stop_answered(
    cell: Cell,
    life: WorkerLife,
    task: TaskKey,
    number: int,
    result: OrderResult,
    now: Instant,
) -> None:
    """Take the answer to an order to stop."""
    if result is OrderResult.FENCED:
        fenced(cell, life)
    run = cell.find_run(life, task, number)
    if run is None:
        return
    run.stop_in_flight = False
    worker = cell.workers_by_life.get(life)
    if result is OrderResult.DONE:
        run.stopped_at = run.stopped_at or now
    if worker is None:
        return
    if result is OrderResult.OTHER_LIFE:
        worker_gone(cell, worker, now, "address has another worker")
    elif result in _NO_ANSWER and worker.silent_since is None:
        cell.stop_run(run, now)


def _running(_cell: Cell, run: Run, now: Instant) -> None:
    run.confirmed_at = now
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
    elif run.phase is RunPhase.UNSETTLED:
        run.phase = RunPhase.STOPPING


def _not_started(cell: Cell, run: Run, now: Instant) -> None:
    step = cell.step_of(run.task)
    if step is not None:
        step.not_before = Instant(now + REPLACE_DELAY_S)
    cell.drop_run(run, now)


def _old_run(cell: Cell, run: Run, now: Instant) -> None:
    step = cell.step_of(run.task)
    if step is not None:
        step.run_number = max(step.run_number, run.number + FIRST_RUN_AFTER_TAKEOVER)
    _not_started(cell, run, now)


def _bad_ticket(cell: Cell, run: Run, now: Instant) -> None:
    step = cell.step_of(run.task)
    if step is not None:
        step.advice.drop(run.life)
    _not_started(cell, run, now)


def _unhealthy(cell: Cell, run: Run, now: Instant) -> None:
    worker = cell.workers_by_life.get(run.life)
    if worker is not None:
        worker.rest_until = max(worker.rest_until, Instant(now + UNHEALTHY_REST_S))
    _not_started(cell, run, now)


def _fenced(cell: Cell, run: Run, now: Instant) -> None:
    fenced(cell, run.life)
    _not_started(cell, run, now)


def _other_life(cell: Cell, run: Run, now: Instant) -> None:
    worker = cell.workers_by_life.get(run.life)
    if worker is not None:
        worker_gone(cell, worker, now, "address has another worker")


def _unknown(cell: Cell, run: Run, now: Instant) -> None:
    """Make sure that the order is not carried out later, unless it was already."""
    if run.confirmed_at is None:
        cell.stop_run(run, now)
        cell.copy_elsewhere(run)
    worker = cell.workers_by_life.get(run.life)
    if worker is not None:
        doubt(cell, worker, run.began_at)


_AFTER_START: dict[OrderResult, Callable[[Cell, Run, Instant], None]] = {
    OrderResult.DONE: _running,
    OrderResult.FENCED: _fenced,
    OrderResult.OLD_RUN: _old_run,
    OrderResult.LATE: _not_started,
    OrderResult.NO_ROOM: _not_started,
    OrderResult.BAD_TICKET: _bad_ticket,
    OrderResult.MALFORMED: _not_started,
    OrderResult.UNHEALTHY: _unhealthy,
    OrderResult.OTHER_LIFE: _other_life,
    OrderResult.NOT_SENT: _unhealthy,
    OrderResult.UNKNOWN: _unknown,
}
