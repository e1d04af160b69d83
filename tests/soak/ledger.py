"""What callers and workers have seen, and whether it keeps the promises."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tamarackmount.resources import NOTHING, Resources

QUOTA_OVERAGE = 0.1
"""Part of its ceiling that a team may be over for a moment, as on the users' sites."""

CANCEL_S = 3.0
"""After this long nothing of a cancelled job starts, in seconds; the users' bound."""

TaskName = tuple[str, int, int]
"""Job, step and index of a task."""


@dataclass(slots=True)
class SoakStep:
    """A step as a caller handed it in."""

    count: int
    amount: Resources
    after: tuple[int, ...] = ()
    speculative: bool = False


@dataclass(slots=True)
class SoakJob:
    """A job of the soak; ``max_attempts`` is its queue's."""

    job_id: str
    team: str
    text: str
    steps: list[SoakStep]
    max_attempts: int
    is_accepted: bool = False
    is_refused: bool = False
    cancelled_at: float | None = None
    final_state: str = ""
    done: set[TaskName] = field(default_factory=set)
    failures: Counter[TaskName] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class SoakRun:
    """A run on one life of a worker."""

    task: TaskName
    number: int
    worker: str


class Ledger:
    """Collects breaches; ``ceiling_by_team`` holds the highest one in force."""

    def __init__(self, ceiling_by_team: dict[str, Resources]) -> None:
        """Begin with nothing seen."""
        self.jobs_by_id: dict[str, SoakJob] = {}
        self.breaches: list[str] = []
        self.starts = 0
        self.listed_done: set[TaskName] = set()
        self._ceiling_by_team = ceiling_by_team
        self._runs_by_task: dict[TaskName, list[SoakRun]] = defaultdict(list)
        self._used_by_team: dict[str, Resources] = {}

    def breach(self, rule: str, detail: str) -> None:
        """Note a broken promise."""
        self.breaches.append(f"{rule}: {detail}")

    def started(self, run: SoakRun, text: str, now: float) -> None:
        """Check a start that a worker has begun."""
        self.starts += 1
        job = self.jobs_by_id.get(run.task[0])
        if job is None or job.text != text:
            self.breach("UNASKED", f"{run}")
            return
        step = job.steps[run.task[1]]
        self._check_order(job, step, run)
        if not step.speculative:
            self._check_once(job, run)
        if job.failures[run.task] >= job.max_attempts:
            self.breach("BUDGET", f"{run} after {job.failures[run.task]} failures")
        if job.cancelled_at is not None and now > job.cancelled_at + CANCEL_S:
            self.breach("UNASKED", f"{run} of a cancelled job")
        self._runs_by_task[run.task].append(run)
        used = self._used_by_team.get(job.team, NOTHING) + step.amount
        self._used_by_team[job.team] = used
        bound = self._ceiling_by_team[job.team].millicores * (1 + QUOTA_OVERAGE)
        if used.millicores > bound + step.amount.millicores:
            self.breach("QUOTA", f"{job.team} has {used.millicores} of {bound}")

    def ended(self, run: SoakRun) -> None:
        """Take that a run is over, however it ended."""
        runs = self._runs_by_task[run.task]
        if run in runs:
            runs.remove(run)
            job = self.jobs_by_id[run.task[0]]
            used = self._used_by_team[job.team] - job.steps[run.task[1]].amount
            self._used_by_team[job.team] = used

    def noted(self, run: SoakRun, how: str) -> None:
        """Take that the system has acknowledged an end to its worker."""
        job = self.jobs_by_id.get(run.task[0])
        if job is None:
            return
        if how == "done":
            job.done.add(run.task)
        if how == "failed":
            job.failures[run.task] += 1

    def shown(self, job_id: str, state: str) -> None:
        """Check a state that a caller was told."""
        job = self.jobs_by_id[job_id]
        if state == "completed" and not all(
            self.is_step_done(job, number) for number in range(len(job.steps))
        ):
            self.breach("MIXED", f"{job_id} shown as completed")
        if state == "failed" and not any(
            count >= job.max_attempts for count in job.failures.values()
        ):
            self.breach("LOST", f"{job_id} shown as failed without cause")
        if state == "cancelled" and job.cancelled_at is None:
            self.breach("LOST", f"{job_id} shown as cancelled without cause")
        if state in ("completed", "failed", "cancelled"):
            job.final_state = state

    def is_step_done(self, job: SoakJob, number: int) -> bool:
        """Tell whether every task of a step has ended well on some worker."""
        tasks = ((job.job_id, number, row) for row in range(job.steps[number].count))
        return all(task in self.listed_done for task in tasks)

    def check_end(self) -> None:
        """Check what holds once all is calm again."""
        for job in self.jobs_by_id.values():
            has_run = any(task[0] == job.job_id for task in self._runs_by_task)
            if job.is_refused and not job.is_accepted and has_run:
                self.breach("REFUSED", f"{job.job_id} ran")
            if job.is_accepted and not job.final_state:
                self.breach("LOST", f"{job.job_id} is not over")

    def _check_order(self, job: SoakJob, step: SoakStep, run: SoakRun) -> None:
        # An end counts as soon as it is listed; acknowledging it comes later.
        for number in step.after:
            for index in range(job.steps[number].count):
                task = (job.job_id, number, index)
                if task not in self.listed_done:
                    self.breach("ORDER", f"{run} before {task}")
                    return

    def _check_once(self, job: SoakJob, run: SoakRun) -> None:
        others = [other for other in self._runs_by_task[run.task] if other != run]
        if others:
            self.breach("TWICE", f"{run} beside {others}")
        if run.task in job.done:
            self.breach("TWICE", f"{run} after its task was done")
