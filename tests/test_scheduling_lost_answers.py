"""Histories of slow workers, lost orders and lost answers, with workers as they are.

Guards against work that runs twice, or again after its end was reported, because a
worker was only silent, slow to report, or its answer was lost or overtaken.
"""

from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tamarackmount.scheduling.domain.effects import PollWorker
from tamarackmount.scheduling.domain.model import TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import (
    EndedRun,
    OrderResult,
    PollFailure,
    RunEnd,
    WorkerReport,
)
from tests.utils.build_scheduling import (
    CLOCK_MS,
    START,
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)

NAMES = ("w1", "w2")


@dataclass
class Worker:
    """A worker that runs what it is told to under its lease."""

    lease_end_ms: int = 0
    runs: dict[TaskKey, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    stopped: set[tuple[TaskKey, int]] = field(default_factory=set)
    ends: int = 0

    def end(self, task: TaskKey, outcome: RunEnd) -> None:
        self.ends += 1
        self.ended.append(EndedRun(self.ends, task, self.runs.pop(task), outcome, ""))


class Cell:
    """A scheduler, its workers, and the calls that are in flight."""

    def __init__(self) -> None:
        """Begin with two workers and a step of three tasks."""
        self.harness = SchedulerHarness()
        self.harness.register_workers(*(worker_entry(name) for name in NAMES))
        self.workers = {incarnation(name): Worker() for name in NAMES}
        self.answers: list[tuple[PollWorker, WorkerReport, Any]] = []
        self.acknowledged: set[TaskKey] = set()
        self.harness.submit_job(job(1, step(3, 1)))

    def clock_ms(self) -> int:
        return CLOCK_MS + int((self.harness.now - START) * 1_000)

    def pass_time(self, seconds: float) -> None:
        self.harness.tick(seconds)
        for worker in self.workers.values():
            if self.clock_ms() > worker.lease_end_ms:
                for task in list(worker.runs):
                    worker.end(task, RunEnd.LEASE_EXPIRED)

    def start(self, arrives: bool, is_answered: bool) -> None:
        if not self.harness.starts:
            return
        order = self.harness.starts.pop(0).order
        worker = self.workers[order.incarnation]
        key = (order.task, order.run_number)
        if arrives and self.clock_ms() < order.lease_end_clock_ms:
            assert order.task not in self.acknowledged, "started again after its end"
            if key not in worker.stopped:
                self.check_alone(order.task)
                worker.runs[order.task] = order.run_number
                worker.lease_end_ms = max(worker.lease_end_ms, order.lease_end_clock_ms)
        is_done = arrives and is_answered
        result = OrderResult.DONE if is_done else OrderResult.UNKNOWN
        self.harness.scheduler.start_answered(
            order.incarnation, order.task, order.run_number, result, self.harness.now
        )
        self.harness.tick(0.005)

    def check_alone(self, task: TaskKey) -> None:
        running = [one for one in self.workers.values() if task in one.runs]
        assert not running, f"{task} runs twice"

    def stop(self, arrives: bool, is_answered: bool) -> None:
        if not self.harness.stops:
            return
        stop = self.harness.stops.pop(0)
        worker = self.workers[stop.incarnation]
        if arrives:
            worker.stopped.add((stop.task, stop.run_number))
            if worker.runs.get(stop.task) == stop.run_number:
                worker.end(stop.task, RunEnd.STOPPED)
        is_done = arrives and is_answered
        result = OrderResult.DONE if is_done else OrderResult.UNKNOWN
        self.harness.scheduler.stop_answered(
            stop.incarnation, stop.task, stop.run_number, result, self.harness.now
        )
        self.harness.tick(0.005)

    def receive_poll(self, arrives: bool) -> None:
        """Let the oldest poll arrive; its answer stays in flight."""
        if not self.harness.polls:
            return
        poll = self.harness.polls.pop(0)
        worker = self.workers[poll.incarnation]
        if not arrives:
            self.answer(poll, PollFailure.NO_ANSWER, self.harness.now)
            return
        if poll.lease_end_clock_ms is not None:
            worker.lease_end_ms = max(worker.lease_end_ms, poll.lease_end_clock_ms)
        for row in worker.ended:
            if row.end_number <= poll.ack_cursor and row.outcome is RunEnd.DONE:
                self.acknowledged.add(row.task)
        worker.ended = [row for row in worker.ended if row.end_number > poll.ack_cursor]
        report = worker_report(
            running=tuple(worker.runs.items()),
            ended=tuple(worker.ended),
            clock_ms=self.clock_ms(),
        )
        self.answers.append((poll, report, self.harness.now))

    def receive_answer(self, newest: bool, arrives: bool) -> None:
        if not self.answers:
            return
        poll, report, sent = self.answers.pop(-1 if newest else 0)
        self.answer(poll, report if arrives else PollFailure.NO_ANSWER, sent)
        if arrives:
            self.harness.store_pending()

    def answer(self, poll: PollWorker, answer: Any, sent: Any) -> None:
        known: WorkerIncarnation = poll.incarnation
        self.harness.scheduler.poll_answered(
            known, answer, sent, self.harness.now, is_extra=poll.is_extra
        )
        self.harness.tick(0.005)

    def finish_task(self, index: int) -> None:
        for worker in self.workers.values():
            for task in list(worker.runs):
                if task.index == index:
                    worker.end(task, RunEnd.DONE)


MOSTLY = st.sampled_from([True, True, True, False])
ARGUMENTS_BY_ACTION: dict[str, list[st.SearchStrategy[Any]]] = {
    "pass_time": [st.sampled_from([0.05, 0.4, 2.0, 7.0])],
    "start": [MOSTLY, MOSTLY],
    "stop": [MOSTLY, MOSTLY],
    "receive_poll": [MOSTLY],
    "receive_answer": [st.booleans(), MOSTLY],
    "finish_task": [st.integers(0, 2)],
}
ACTIONS = st.sampled_from(
    ["start", "start", "stop", "receive_poll", "receive_poll", "receive_answer"] * 2
    + ["pass_time", "receive_answer", "finish_task"]
).flatmap(lambda name: st.tuples(st.just(name), *ARGUMENTS_BY_ACTION[name]))


@settings(max_examples=60)
@given(st.lists(ACTIONS, min_size=40, max_size=120))
def test_no_task_runs_twice_or_again_whatever_is_lost_or_late(
    actions: list[tuple[Any, ...]],
) -> None:
    cell = Cell()
    for name, *arguments in actions:
        getattr(cell, name)(*arguments)
