"""A simulated pool whose workers leave orders unanswered and carry them out late."""

from collections import Counter
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from tamarackmount.resources import Resources, componentwise_maximum
from tamarackmount.scheduling.domain.effects import StartRun, StopRun
from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    OrderResult,
    RunEnd,
    StartOrder,
)
from tests.utils.crashing_pool import CrashingPool
from tests.utils.simulated_worker import LEASE_S, SimulatedWorker

ANSWER_TIMEOUT_S = 0.5
"""Time for which the holder waits for the answer to an order, in seconds."""

MAX_DELAY_S = 12.0
"""Longest delay of an order that is carried out late, in seconds. Short ones are as if
only the answer was lost."""


@dataclass(frozen=True, slots=True)
class LateOrder:
    """An order without an answer, which is carried out at ``due_at``.

    ``holder`` is the number of the holder that sent it at ``sent_at``. ``capacity`` is
    what the worker's registration said then.
    """

    due_at: float
    sent_at: float
    order: StartRun | StopRun
    holder: int
    capacity: Resources


class LateOrdersPool(CrashingPool):
    """A pool with orders that arrive late, and a list of tasks that ran twice.

    A worker rejects an order from a holder that another one has replaced once that one
    has polled it, and a run that is not later than one that was stopped there. A late
    start is checked against the larger one of the capacities when it was sent and when
    it is carried out: no holder can call it back.
    """

    def __init__(self, rng: Random, late_share: float, **options: Any) -> None:
        """Carry out this share of the orders late, as drawn from ``rng``."""
        super().__init__(**options)
        self.ran_twice: list[str] = []
        self.late_starts = 0
        self._rng = rng
        self._late_share = late_share
        self._late: list[LateOrder] = []
        self._unanswered: list[tuple[float, StartRun | StopRun]] = []
        self._barred: Counter[tuple[WorkerIncarnation, TaskKey]] = Counter()
        self._holder = 1
        self._holder_by_worker: Counter[WorkerIncarnation] = Counter()

    def kill_holder(self, vacant_s: float = 1.5) -> None:
        """Replace the holder; orders that it has sent may still be carried out."""
        self._unanswered.clear()
        self._holder += 1
        super().kill_holder(vacant_s)

    def _advance_workers(self) -> None:
        due = [row for row in self._late if row.due_at <= self.now]
        self._late = [row for row in self._late if row.due_at > self.now]
        for row in due:
            self._carry_out_late(row)
        super()._advance_workers()

    def _carry_out_late(self, row: LateOrder) -> None:
        if isinstance(row.order, StopRun):
            self._stop_late(row, row.order)
            return
        order = row.order.order
        worker = self.workers.get(order.incarnation)
        is_rejected = (
            worker is None
            or row.holder < self._holder_by_worker[order.incarnation]
            or order.run_number <= self._barred[order.incarnation, order.task]
            or self.now >= row.sent_at + LEASE_S
        )
        if is_rejected or worker is None:
            return
        entry = worker.entry
        largest = componentwise_maximum(entry.capacity, row.capacity)
        worker.entry = replace(entry, capacity=largest)
        self._start(worker, order)
        worker.entry = entry
        self.late_starts += 1

    def _stop_late(self, row: LateOrder, stop: StopRun) -> None:
        worker = self.workers.get(stop.incarnation)
        if worker is None or row.holder < self._holder_by_worker[stop.incarnation]:
            return
        self._bar(stop)
        run = worker.runs.get((stop.task, stop.run_number))
        if run is not None:
            run.ends_at, run.outcome = self.now + 0.1, RunEnd.STOPPED

    def _carry_out_orders(self) -> None:
        self._give_up_answers()
        scheduler = self.harness.scheduler
        self.harness.starts = [
            start
            for start in self.harness.starts
            if not (scheduler.may_send(start.order) and self._is_late(start))
        ]
        self.harness.stops = [
            stop for stop in self.harness.stops if not self._is_late(stop)
        ]
        for stop in self.harness.stops:
            self._bar(stop)
        super()._carry_out_orders()

    def _is_late(self, order: StartRun | StopRun) -> bool:
        """Draw whether an order is carried out late, and prepare that."""
        where = (order.order if isinstance(order, StartRun) else order).incarnation
        worker = self.workers.get(where)
        if worker is None or self._rng.random() >= self._late_share:
            return False
        due_at = self.now + MAX_DELAY_S * self._rng.random() ** 3
        capacity = worker.entry.capacity
        self._late.append(LateOrder(due_at, self.now, order, self._holder, capacity))
        self._unanswered.append((self.now + ANSWER_TIMEOUT_S, order))
        return True

    def _give_up_answers(self) -> None:
        due = [order for until, order in self._unanswered if until <= self.now]
        self._unanswered = [row for row in self._unanswered if row[0] > self.now]
        scheduler, unknown = self.harness.scheduler, OrderResult.UNKNOWN
        for order in due:
            if isinstance(order, StopRun):
                where, task, number = order.incarnation, order.task, order.run_number
                scheduler.stop_answered(where, task, number, unknown, self.now)
                continue
            start = order.order
            where, task, number = start.incarnation, start.task, start.run_number
            scheduler.start_answered(where, task, number, unknown, self.now)

    def _bar(self, stop: StopRun) -> None:
        key = stop.incarnation, stop.task
        self._barred[key] = max(self._barred[key], stop.run_number)

    def _start(self, worker: SimulatedWorker, order: StartOrder) -> None:
        where = self.worker_of(order.task)
        if where is not None:
            self.ran_twice.append(f"{order.task} run {order.run_number} beside {where}")
        super()._start(worker, order)

    def _end(
        self, worker: SimulatedWorker, key: tuple[TaskKey, int], outcome: RunEnd
    ) -> None:
        task, number = key
        barred = worker.entry.incarnation, task
        self._barred[barred] = max(self._barred[barred], number)
        super()._end(worker, key, outcome)

    def _answer_polls(self) -> None:
        for poll in self.harness.polls:
            worker = self.workers.get(poll.incarnation)
            if worker is not None and not worker.is_cut:
                self._holder_by_worker[poll.incarnation] = self._holder
        super()._answer_polls()
