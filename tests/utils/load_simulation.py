"""Replays of a load on one worker in virtual time."""

import math
from collections import Counter

from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import TaskKey
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tests.utils.build_scheduling import SchedulerHarness, ended_run, worker_report


class LoadSimulation:
    """Simulates jobs on one worker in steps of 50 ms; tasks take their estimates."""

    STEP_S = 0.05
    STOP_S = 0.2

    def __init__(self, harness: SchedulerHarness) -> None:
        """Begin without jobs."""
        self._duration_s_by_job: dict[str, float] = {}
        self.harness = harness
        self.first_start_s: dict[str, float] = {}
        self.start_count_by_job: Counter[str] = Counter()
        self._ends: dict[tuple[TaskKey, int], tuple[float, RunEnd]] = {}
        self._last_end_number = 0

    def run_for(
        self, arrivals: list[tuple[float, AcceptedJob]], seconds: float
    ) -> None:
        """Submit jobs at their times, and run for ``seconds``."""
        waiting = sorted(arrivals, key=lambda row: row[0])
        for _, accepted in arrivals:
            duration_s = accepted.spec.steps[0].estimated_ms / 1_000
            self._duration_s_by_job[accepted.job_id] = duration_s
        began_at = self.harness.now
        while self.harness.now - began_at < seconds:
            while waiting and self.harness.now - began_at >= waiting[0][0]:
                self.harness.submit_job(waiting.pop(0)[1])
            self._answer_orders(began_at)
            self._report()
            self.harness.store_pending()
            self.harness.tick(self.STEP_S)

    def _answer_orders(self, began_at: float) -> None:
        for start in self.harness.answer_starts():
            task = start.order.task
            self.start_count_by_job[task.job_id] += 1
            self.first_start_s.setdefault(task.job_id, self.harness.now - began_at)
            duration_s = self._duration_s_by_job.get(task.job_id, math.inf)
            self._ends[task, start.order.run_number] = (
                self.harness.now + duration_s,
                RunEnd.DONE,
            )
        stops, self.harness.stops = self.harness.stops, []
        for stop in stops:
            key = (stop.task, stop.run_number)
            if key in self._ends:
                ends = (self.harness.now + self.STOP_S, RunEnd.STOPPED)
                self._ends[key] = min(self._ends[key], ends)

    def _report(self) -> None:
        rows = []
        for (task, run), (ends, outcome) in list(self._ends.items()):
            if ends <= self.harness.now:
                del self._ends[task, run]
                self._last_end_number += 1
                rows.append(ended_run(self._last_end_number, task, run, outcome))
        running = tuple(self._ends)
        self.harness.answer_poll(worker_report(running=running, ended=tuple(rows)))
