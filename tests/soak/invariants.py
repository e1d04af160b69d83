"""Checks what callers and workers observe against the system's invariants."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackmount.resources import NOTHING, Resources

CEILING_OVERAGE_FRACTION = 0.1
"""Fraction by which a workspace may briefly exceed its ceiling, as the users allow."""

CANCEL_GRACE_S = 3.0
"""Time after a cancellation within which tasks of the job may start, in seconds.

The users set this bound.
"""

EVACUATION_S = 5.0
"""Time after an evacuation within which tasks may start there, in seconds, if nothing
was disturbed for ``CALM_S``."""

MAX_STRETCH_S = 6.0
"""Time beyond that which the users allow while the store or the nodes are disturbed, in
seconds."""

CALM_S = 4.0
"""Time without a fault after which the nodes count as undisturbed, in seconds."""

MAX_CRASHES = 3
"""Crashes of workers under a task after which it may start ``MAX_STARTS_AFTER`` more
times, as the users allow."""

MAX_STARTS_AFTER = 2

MIN_CRASHES_TO_FAIL = 2
"""Crashes of workers under a task from which on its job may fail, as the users
allow."""

TaskKey = tuple[str, int, int]
"""Job id, step number and index of a task."""


@dataclass(slots=True)
class SoakStep:
    """A step as a caller submitted it."""

    count: int
    amount: Resources
    after: tuple[int, ...] = ()
    is_speculative: bool = False


@dataclass(slots=True)
class SoakJob:
    """A job of the soak, with what was observed of it.

    ``max_attempts`` is the limit of its queue. ``acknowledged_done`` and ``failures``
    cover the ends that the system has acknowledged to a worker. Tasks in ``deadly``
    crash each worker that starts them; ``crashes`` counts the workers that have crashed
    under a task, and ``starts_after_crashes`` its starts after ``MAX_CRASHES``.
    """

    job_id: str
    workspace: str
    spec: str
    steps: list[SoakStep]
    max_attempts: int
    is_accepted: bool = False
    is_refused: bool = False
    cancelled_at: float | None = None
    final_state: str = ""
    acknowledged_done: set[TaskKey] = field(default_factory=set)
    failures: Counter[TaskKey] = field(default_factory=Counter)
    deadly: set[TaskKey] = field(default_factory=set)
    crashes: Counter[TaskKey] = field(default_factory=Counter)
    starts_after_crashes: Counter[TaskKey] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class SoakRun:
    """A run of a task on one incarnation of a worker."""

    task: TaskKey
    number: int
    worker: str


class InvariantChecker:
    """Records observations and collects violations of the invariants.

    ``ceiling_by_workspace`` contains the highest ceiling that is in force during the
    run.
    """

    def __init__(self, ceiling_by_workspace: dict[str, Resources]) -> None:
        """Start without observations."""
        self.jobs_by_id: dict[str, SoakJob] = {}
        self.violations: list[str] = []
        self.start_count = 0
        self.crash_count = 0
        self.reported_done: set[TaskKey] = set()
        self.starts_after_evacuation_s: list[float] = []
        self._ceiling_by_workspace = ceiling_by_workspace
        self._runs_by_task: dict[TaskKey, list[SoakRun]] = defaultdict(list)
        self._usage_by_workspace: dict[str, Resources] = {}
        self._evacuated_at_by_zone: dict[str, float] = {}
        self._faults_end_at = float("-inf")

    def fault_injected(self, ends_at: float) -> None:
        """Record a fault that is in effect until ``ends_at``."""
        self._faults_end_at = max(self._faults_end_at, ends_at)

    def zone_evacuated(self, zone: str, now: float) -> None:
        """Record that the store has the operator's record of an evacuation."""
        self._evacuated_at_by_zone.setdefault(zone, now)

    def zone_taken_back(self, zone: str) -> None:
        """Record that the operator's record was removed."""
        self._evacuated_at_by_zone.pop(zone, None)

    def check_zone(self, run: SoakRun, zone: str, now: float) -> None:
        """Check that a run may start in a data centre."""
        evacuated_at = self._evacuated_at_by_zone.get(zone)
        if evacuated_at is None:
            return
        self.starts_after_evacuation_s.append(now - evacuated_at)
        is_calm = now >= self._faults_end_at + CALM_S
        allowed_s = EVACUATION_S + (0.0 if is_calm else MAX_STRETCH_S)
        if now > evacuated_at + allowed_s:
            self.report_violation(
                "EVACUATED", f"{run} started in {zone} {now - evacuated_at:.1f} s after"
            )

    def report_violation(self, rule: str, detail: str) -> None:
        """Record the violation of a rule."""
        self.violations.append(f"{rule}: {detail}")

    def run_started(self, run: SoakRun, spec: str, now: float) -> None:
        """Check a run that a worker has started."""
        self.start_count += 1
        job = self.jobs_by_id.get(run.task[0])
        if job is None or job.spec != spec:
            self.report_violation("UNASKED", f"{run}")
            return
        step = job.steps[run.task[1]]
        self._check_order(job, step, run)
        if not step.is_speculative:
            self._check_not_duplicate(job, run)
        if job.failures[run.task] >= job.max_attempts:
            self.report_violation(
                "BUDGET", f"{run} started after {job.failures[run.task]} failures"
            )
        self._check_crashes(job, run)
        if job.cancelled_at is not None and now > job.cancelled_at + CANCEL_GRACE_S:
            self.report_violation(
                "UNASKED", f"{run} started too long after its job was cancelled"
            )
        self._runs_by_task[run.task].append(run)
        usage = self._usage_by_workspace.get(job.workspace, NOTHING) + step.amount
        self._usage_by_workspace[job.workspace] = usage
        limit = self._ceiling_by_workspace[job.workspace].millicores * (
            1 + CEILING_OVERAGE_FRACTION
        )
        if usage.millicores > limit + step.amount.millicores:
            self.report_violation(
                "QUOTA",
                f"{job.workspace} uses {usage.millicores} millicores, limit {limit}",
            )

    def _check_crashes(self, job: SoakJob, run: SoakRun) -> None:
        if run.task not in job.deadly or job.crashes[run.task] < MAX_CRASHES:
            return
        job.starts_after_crashes[run.task] += 1
        if job.starts_after_crashes[run.task] > MAX_STARTS_AFTER:
            self.report_violation(
                "BUDGET", f"{run} started after {job.crashes[run.task]} crashes"
            )

    def is_deadly(self, task: TaskKey) -> bool:
        """Return whether a task crashes the workers that start it."""
        job = self.jobs_by_id.get(task[0])
        return job is not None and task in job.deadly

    def worker_crashed(self, tasks: Iterable[TaskKey]) -> None:
        """Record that a worker has crashed that ran some tasks."""
        self.crash_count += 1
        for task in tasks:
            job = self.jobs_by_id.get(task[0])
            if job is not None:
                job.crashes[task] += 1

    def run_ended(self, run: SoakRun) -> None:
        """Record that a run has ended, with any outcome."""
        runs = self._runs_by_task[run.task]
        if run in runs:
            runs.remove(run)
            job = self.jobs_by_id[run.task[0]]
            usage = (
                self._usage_by_workspace[job.workspace] - job.steps[run.task[1]].amount
            )
            self._usage_by_workspace[job.workspace] = usage

    def end_acknowledged(self, run: SoakRun, outcome: str) -> None:
        """Record that the system has acknowledged the end of a run to its worker."""
        job = self.jobs_by_id.get(run.task[0])
        if job is None:
            return
        if outcome == "done":
            job.acknowledged_done.add(run.task)
        if outcome == "failed":
            job.failures[run.task] += 1

    def state_reported(self, job_id: str, state: str) -> None:
        """Check a job state that was reported to a caller."""
        job = self.jobs_by_id[job_id]
        if state == "completed" and not all(
            self.is_step_done(job, number) for number in range(len(job.steps))
        ):
            self.report_violation(
                "MIXED", f"{job_id} reported as completed before all its tasks"
            )
        has_used_attempts = any(
            count >= job.max_attempts for count in job.failures.values()
        )
        has_crashed_workers = any(
            count >= MIN_CRASHES_TO_FAIL for count in job.crashes.values()
        )
        if state == "failed" and not (has_used_attempts or has_crashed_workers):
            self.report_violation(
                "LOST",
                f"{job_id} reported as failed after failures {dict(job.failures)} "
                f"and crashes {dict(job.crashes)}",
            )
        if state == "cancelled" and job.cancelled_at is None:
            self.report_violation(
                "LOST", f"{job_id} reported as cancelled, but was not cancelled"
            )
        if state in ("completed", "failed", "cancelled"):
            job.final_state = state

    def is_step_done(self, job: SoakJob, number: int) -> bool:
        """Return whether every task of a step has succeeded on some worker."""
        tasks = (
            (job.job_id, number, index) for index in range(job.steps[number].count)
        )
        return all(task in self.reported_done for task in tasks)

    def check_end(self) -> None:
        """Check what must hold after the faults have ended."""
        for job in self.jobs_by_id.values():
            has_run = any(task[0] == job.job_id for task in self._runs_by_task)
            if job.is_refused and not job.is_accepted and has_run:
                self.report_violation("REFUSED", f"{job.job_id} was refused but ran")
            if job.is_accepted and not job.final_state:
                self.report_violation(
                    "LOST", f"{job.job_id} was accepted but has not ended"
                )

    def _check_order(self, job: SoakJob, step: SoakStep, run: SoakRun) -> None:
        # An end counts as soon as a worker reports it; it is acknowledged later.
        for number in step.after:
            for index in range(job.steps[number].count):
                task = (job.job_id, number, index)
                if task not in self.reported_done:
                    self.report_violation(
                        "ORDER", f"{run} started before the end of {task}"
                    )
                    return

    def _check_not_duplicate(self, job: SoakJob, run: SoakRun) -> None:
        other_runs = [other for other in self._runs_by_task[run.task] if other != run]
        if other_runs:
            self.report_violation(
                "TWICE", f"{run} started while running as {other_runs}"
            )
        if run.task in job.acknowledged_done:
            self.report_violation("TWICE", f"{run} started after its task was done")
