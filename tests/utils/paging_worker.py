"""A worker that lists its unacknowledged ends in pages, as the platform specifies."""

from typing import Any

import orjson

from tamarackmount.platform import workers
from tamarackmount.platform.http import Reply
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.effects import StartRun
from tamarackmount.scheduling.domain.model import TaskKey
from tamarackmount.scheduling.domain.worker_reports import WorkerEntry
from tests.utils.build_scheduling import (
    CLOCK_MS,
    SchedulerHarness,
    incarnation,
    worker_entry,
)

PAGE_ENDS = 500
"""Number of ends that one report lists at most, as the platform specifies it."""


class PagingWorker:
    """Runs what it is told to; its reports pass through the platform's decoder."""

    def __init__(self, name: str = "w1") -> None:
        """Start without runs; there is room for thousands of tasks."""
        self.incarnation = incarnation(name)
        self.entry: WorkerEntry = worker_entry(
            name, capacity=Resources(9_000_000, 9_000_000, 0)
        )
        self.run_by_task: dict[TaskKey, int] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0

    def take_starts(self, harness: SchedulerHarness) -> list[StartRun]:
        """Carry out and confirm all start orders, which must be to this worker."""
        starts = harness.answer_starts()
        for start in starts:
            assert start.order.incarnation == self.incarnation
            self.run_by_task[start.order.task] = start.order.run_number
        return starts

    def end_runs(self, count: int, how: str = "done") -> None:
        """End the first ``count`` runs."""
        for task in list(self.run_by_task)[:count]:
            self._last_end += 1
            number = self.run_by_task.pop(task)
            self._ends.append([self._last_end, _name(task), number, how, ""])

    def answer_poll(self, harness: SchedulerHarness, after_s: float = 0.5) -> None:
        """Answer the newest poll, which is sent within ``after_s``."""
        harness.tick(after_s)
        polls = [one for one in harness.polls if one.incarnation == self.incarnation]
        assert polls, "no poll of the worker is in flight"
        harness.polls = [one for one in harness.polls if one not in polls]
        cursor = polls[-1].ack_cursor
        self._ends = [end for end in self._ends if end[0] > cursor]
        running = [[_name(task), run, "", 50] for task, run in self.run_by_task.items()]
        document = {
            "born": self.incarnation.born_unix_ms,
            "clockMs": CLOCK_MS,
            "running": running,
            "ended": self._ends[:PAGE_ENDS],
        }
        report = workers._decode_report(Reply(200, orjson.dumps(document)))
        harness.answer_poll(report, self.incarnation)


def _name(task: TaskKey) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"
