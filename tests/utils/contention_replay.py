"""Replays of workspaces that compete for the workers of one pool, in virtual time."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from tamarackmount.ids import JobId, WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.fleet_config import Workspace
from tamarackmount.scheduling.domain.model import StepSpec, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.domain.worker_reports import EndedRun, RunEnd, WorkerEntry
from tamarackmount.scheduling.jobs.objectives import LATE_FACTOR
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SchedulerHarness,
    ended_run,
    fleet_config,
    job,
    step,
    worker_report,
)

STEP_S = 0.05
STOP_S = 0.5
CHECKPOINT_INTERVAL_S = 1.0

URGENT_STEP = step(10, 1, estimated_ms=750)
LONG_STEP = step(20, 2, estimated_ms=3_800, saves_progress=True)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that a caller submits ``at_s`` seconds after the replay began."""

    at_s: float
    accepted: AcceptedJob


@dataclass(slots=True)
class Outcome:
    """What callers got: numbers of jobs by how they ended.

    A job is late if it ended within three times its target time, and too late if it
    ended after that or not at all.
    """

    on_time: int = 0
    late: int = 0
    too_late: int = 0
    refused: int = 0

    @property
    def jobs(self) -> int:
        """All jobs."""
        return self.on_time + self.late + self.too_late + self.refused

    @property
    def value(self) -> float:
        """Mean value of a job: 1 on time, a fifth if it is late."""
        return (self.on_time + 0.2 * self.late) / max(1, self.jobs)

    @property
    def accepted_on_time(self) -> float:
        """Fraction of the accepted jobs that were on time."""
        return self.on_time / max(1, self.jobs - self.refused)


@dataclass(slots=True)
class ContentionReplay:
    """Plays arrivals on workers that answer at once; tasks take their estimates.

    ``uses_admission`` tells whether jobs can be refused. ``max_retries`` is how often a
    caller comes back with a refused job.
    """

    workers: Sequence[WorkerEntry]
    weight_by_workspace: Mapping[str, float]
    uses_admission: bool = True
    max_retries: int = 0
    ceiling: Resources = field(default_factory=Resources)
    harness: SchedulerHarness = field(init=False)
    refusals: list[tuple[float, JobId, float]] = field(default_factory=list)
    _arrival_s: dict[JobId, float] = field(default_factory=dict)
    _finished_s: dict[JobId, float] = field(default_factory=dict)
    _left: dict[JobId, int] = field(default_factory=dict)
    _jobs: dict[JobId, AcceptedJob] = field(default_factory=dict)
    _refused: set[JobId] = field(default_factory=set)
    _runs: dict[WorkerIncarnation, dict[tuple[TaskKey, int], tuple[float, RunEnd]]] = (
        field(default_factory=dict)
    )
    _left_s: dict[TaskKey, float] = field(default_factory=dict)
    _last_end: int = 0

    def __post_init__(self) -> None:
        """Register the workers and configure the workspaces."""
        self.harness = SchedulerHarness(ceiling=Resources())
        workspaces = {
            WorkspaceId(name): Workspace(WorkspaceId(name), weight, self.ceiling)
            for name, weight in self.weight_by_workspace.items()
        }
        config = replace(fleet_config(2), workspaces_by_id=workspaces)
        self.harness.scheduler.set_fleet_config(config, self.harness.now)
        self.harness.register_workers(*self.workers)
        self._runs = {entry.incarnation: {} for entry in self.workers}

    def run(self, arrivals: Sequence[Arrival], seconds: float) -> None:
        """Play the arrivals for some seconds."""
        began = self.harness.now
        waiting = sorted(
            ((row.at_s, 0, row.accepted) for row in arrivals),
            key=lambda row: row[:1] + (row[2].job_id,),
        )
        while (now_s := self.harness.now - began) < seconds:
            while waiting and waiting[0][0] <= now_s:
                _, tries, accepted = waiting.pop(0)
                retry_s = self._submit(accepted, now_s)
                if retry_s is not None and tries < self.max_retries:
                    waiting.append((now_s + retry_s, tries + 1, accepted))
                    waiting.sort(key=lambda row: row[:1] + (row[2].job_id,))
            self._advance(now_s)

    def outcome(self, workspace: str, queue: str | None = None) -> Outcome:
        """Return what the callers of one workspace, and maybe one queue, got."""
        found = Outcome()
        for job_id, accepted in self._jobs.items():
            if accepted.workspace_id != workspace:
                continue
            if queue is not None and accepted.queue_name != queue:
                continue
            if job_id in self._refused:
                found.refused += 1
                continue
            took_s = self._finished_s.get(job_id, float("inf"))
            took_s -= self._arrival_s[job_id]
            target_s = target_time_s(accepted)
            if took_s <= target_s + STEP_S:
                found.on_time += 1
            elif took_s <= LATE_FACTOR * target_s:
                found.late += 1
            else:
                found.too_late += 1
        return found

    def _submit(self, accepted: AcceptedJob, now_s: float) -> float | None:
        """Submit a job; return the time to retry, in seconds, if it is refused."""
        job_id = accepted.job_id
        self._jobs[job_id] = accepted
        self._arrival_s.setdefault(job_id, now_s)
        accepted = replace(accepted, accepted_unix_ms=self.harness.unix_ms)
        if self.uses_admission:
            scheduler = self.harness.scheduler
            refusal = scheduler.check_admission(accepted, self.harness.now)
            if refusal is not None:
                self._refused.add(job_id)
                self.refusals.append((now_s, job_id, refusal.retry_after_s))
                return refusal.retry_after_s
        self._refused.discard(job_id)
        self._left[job_id] = sum(row.count for row in accepted.spec.steps)
        self.harness.submit_job(accepted)
        return None

    def _advance(self, now_s: float) -> None:
        for start in self.harness.answer_starts():
            task = start.order.task
            duration_s = self._left_s.get(task, self._spec(task).estimated_ms / 1_000)
            run = task, start.order.run_number
            self._runs[start.order.incarnation][run] = (
                self.harness.now + duration_s,
                RunEnd.DONE,
            )
        stops, self.harness.stops = self.harness.stops, []
        for stop in stops:
            runs = self._runs[stop.incarnation]
            row = runs.get((stop.task, stop.run_number))
            if row is not None and row[0] > self.harness.now + STOP_S:
                # What was done since the last checkpoint is lost.
                left_s = row[0] - self.harness.now + CHECKPOINT_INTERVAL_S / 2
                self._left_s[stop.task] = left_s
                ends = (self.harness.now + STOP_S, RunEnd.STOPPED)
                runs[stop.task, stop.run_number] = ends
        for incarnation in self._runs:
            self._report(incarnation, now_s)
        self.harness.store_pending()
        self.harness.tick(STEP_S)

    def _report(self, incarnation: WorkerIncarnation, now_s: float) -> None:
        runs = self._runs[incarnation]
        now = self.harness.now
        ended: list[EndedRun] = []
        for run, (ends, outcome) in list(runs.items()):
            if ends > now:
                continue
            del runs[run]
            self._last_end += 1
            ended.append(ended_run(self._last_end, *run, outcome))
            if outcome is RunEnd.DONE:
                self._count_end(run[0].job_id, now_s)
        report = worker_report(tuple(runs), tuple(ended))
        self.harness.scheduler.poll_answered(incarnation, report, now, now)

    def _count_end(self, job_id: JobId, now_s: float) -> None:
        self._left[job_id] -= 1
        if not self._left[job_id]:
            self._finished_s[job_id] = now_s

    def _spec(self, task: TaskKey) -> StepSpec:
        return self._jobs[task.job_id].spec.steps[task.step]


def target_time_s(accepted: AcceptedJob) -> float:
    """Return the time within which a job of one chain of steps is on time."""
    chain_s = sum(row.estimated_ms for row in accepted.spec.steps) / 1_000
    queue = fleet_config().queues_by_name[accepted.queue_name]
    return queue.stretch * chain_s + queue.target_ms / 1_000


def poisson_arrivals(
    workspace: str,
    per_second: float,
    seconds: tuple[float, float],
    step_spec: StepSpec,
    first_number: int,
    is_urgent: bool,
) -> list[Arrival]:
    """Return jobs of one step that a workspace submits at random between two times."""
    rng = random.Random(first_number)
    rows: list[Arrival] = []
    at_s = seconds[0] + rng.expovariate(per_second)
    while at_s < seconds[1]:
        queue = HIGH_PRIORITY if is_urgent else LOW_PRIORITY
        accepted = job(first_number + len(rows), step_spec, in_queue=queue)
        accepted = replace(
            accepted,
            workspace_id=WorkspaceId(workspace),
            terms=fleet_config().queues_by_name[queue],
        )
        rows.append(Arrival(at_s, accepted))
        at_s += rng.expovariate(per_second)
    return rows
