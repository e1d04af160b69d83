"""Replays of a load on a pool of unlike workers in virtual time."""

import random
from collections.abc import Mapping, Sequence

from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import (
    JobPhase,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.domain.worker_reports import EndedRun, RunEnd, WorkerEntry
from tamarackmount.scheduling.store.job_index import JobRecords
from tamarackmount.scheduling.store.journal import JobProgress
from tests.utils.build_scheduling import SchedulerHarness, ended_run, worker_report


class PoolSimulation:
    """Simulates jobs on workers in steps of 50 ms.

    A task takes its estimate, times the factor of its worker (1 unless it is in
    ``factor_by_worker``), times a random factor of up to ``spread`` in either
    direction. A stop takes ``stop_s``.
    """

    STEP_S = 0.05
    REPORT_INTERVAL_S = 0.4

    def __init__(
        self,
        harness: SchedulerHarness,
        workers: Sequence[WorkerEntry],
        factor_by_worker: Mapping[str, float] | None = None,
        stop_s: float = 0.9,
        spread: float = 1.0,
    ) -> None:
        """Register the workers."""
        self.harness = harness
        self.first_start_s: dict[str, float] = {}
        self.done_s: dict[str, float] = {}
        self.worker_by_start: list[tuple[TaskKey, str]] = []
        self._workers = {worker.incarnation: worker for worker in workers}
        self._factor_by_worker = dict(factor_by_worker or {})
        self._stop_s = stop_s
        self._spread = spread
        self._rng = random.Random(1)
        self._job_by_id: dict[str, AcceptedJob] = {}
        self._left_by_job: dict[str, int] = {}
        self._runs: dict[tuple[TaskKey, int], tuple[WorkerIncarnation, float]] = {}
        self._stopped_at: dict[tuple[TaskKey, int], float] = {}
        self._end_numbers = dict.fromkeys(self._workers, 0)
        self._next_report_s = 0.0
        self._began_at = harness.now
        harness.register_workers(*workers)

    @property
    def now_s(self) -> float:
        """The time since the simulation began, in seconds."""
        return self.harness.now - self._began_at

    def remove_workers(self, names: set[str]) -> None:
        """Let workers vanish with all that they run."""
        self._workers = {
            incarnation: worker
            for incarnation, worker in self._workers.items()
            if incarnation.worker_id not in names
        }
        self._runs = {
            key: row for key, row in self._runs.items() if row[0] in self._workers
        }
        self.harness.scheduler.set_registered_workers(
            list(self._workers.values()), self.harness.now
        )

    def add_restored_job(self, accepted: AcceptedJob) -> None:
        """Add a job that a former holder has run; none of its runs is left."""
        self._add(accepted)
        records = JobRecords(accepted, JobProgress(JobPhase.RUNNING))
        self.harness.scheduler.add_job(records, self.harness.now, self.harness.unix_ms)

    def _add(self, accepted: AcceptedJob) -> None:
        self._job_by_id[accepted.job_id] = accepted
        count = sum(step.count for step in accepted.spec.steps)
        self._left_by_job[accepted.job_id] = count

    def run_until(
        self, arrivals: Sequence[tuple[float, AcceptedJob]], end_s: float
    ) -> None:
        """Submit jobs at their times, and run until ``end_s``."""
        waiting = sorted(arrivals, key=lambda row: row[0])
        for _, accepted in arrivals:
            self._add(accepted)
        while self.now_s < end_s:
            while waiting and self.now_s >= waiting[0][0]:
                self.harness.submit_job(waiting.pop(0)[1])
            self._answer_orders()
            self._report()
            self.harness.store_pending()
            self.harness.tick(self.STEP_S)

    def _answer_orders(self) -> None:
        for start in self.harness.answer_starts():
            order = start.order
            worker = order.incarnation.worker_id
            self.worker_by_start.append((order.task, worker))
            self.first_start_s.setdefault(order.task.job_id, self.now_s)
            steps = self._job_by_id[order.task.job_id].spec.steps
            duration_s = steps[order.task.step].estimated_ms / 1_000
            duration_s *= self._factor_by_worker.get(worker, 1.0)
            duration_s *= self._spread ** self._rng.uniform(-1.0, 1.0)
            ends_s = self.now_s + duration_s
            self._runs[order.task, order.run_number] = (order.incarnation, ends_s)
        stops, self.harness.stops = self.harness.stops, []
        for stop in stops:
            stopped_at = self.now_s + self._stop_s
            self._stopped_at.setdefault((stop.task, stop.run_number), stopped_at)

    def _report(self) -> None:
        """Let each worker report, if a run of its ended or 0.4 s have passed."""
        ended: dict[WorkerIncarnation, list[EndedRun]] = {}
        for key, (where, ends_s) in list(self._runs.items()):
            stopped_s = self._stopped_at.get(key, float("inf"))
            if min(ends_s, stopped_s) > self.now_s:
                continue
            del self._runs[key]
            outcome = RunEnd.DONE if ends_s <= stopped_s else RunEnd.STOPPED
            self._end_numbers[where] += 1
            row = ended_run(self._end_numbers[where], *key, outcome)
            ended.setdefault(where, []).append(row)
            if outcome is RunEnd.DONE:
                self._count_done(key[0].job_id)
        is_due = self.now_s >= self._next_report_s
        if is_due:
            self._next_report_s = self.now_s + self.REPORT_INTERVAL_S
        running: dict[WorkerIncarnation, list[tuple[TaskKey, int]]] = {}
        for key, (where, _) in self._runs.items():
            running.setdefault(where, []).append(key)
        for worker in self._workers if is_due else ended:
            report = worker_report(
                running=tuple(running.get(worker, ())),
                ended=tuple(ended.get(worker, ())),
            )
            self.harness.answer_poll(report, worker)

    def _count_done(self, job_id: str) -> None:
        self._left_by_job[job_id] -= 1
        if not self._left_by_job[job_id]:
            self.done_s[job_id] = self.now_s
