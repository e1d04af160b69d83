"""Preempts normal work on one worker to free capacity for an urgent task."""

from dataclasses import dataclass
from itertools import islice

from tamarackmount.ids import Instant
from tamarackmount.job_spec import JobKind
from tamarackmount.kernel.capacity import WorkerCapacity
from tamarackmount.kernel.jobs import Attempt, AttemptPhase, Job, StopReason
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.task_attempts import TaskAttempts
from tamarackmount.kernel.task_ends import TaskEnds

MAX_WORKERS_COMPARED = 16
"""Maximum number of workers whose preemption costs are compared for one task."""

MIN_SERVICE_COST_S = 3_600.0
"""Minimum run time that the preemption of a service counts as, in seconds."""

MAX_PREEMPTION_SYNCS = 4
"""Number of sync periods in which victims must end, besides two command time-outs.

If they have not ended by then, the urgent task waits in the queue again.
"""


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Attempts to preempt on one worker.

    ``cost`` is the work that may be lost, in millicore seconds.
    """

    worker: WorkerCapacity
    victims: list[Attempt]
    cost: float


class Preemption:
    """Preempts normal attempts and reserves their worker for an urgent task.

    The task starts once the victims have ended.
    """

    def __init__(
        self, state: SchedulerState, attempts: TaskAttempts, ends: TaskEnds
    ) -> None:
        """Start without tasks that await preemption."""
        self._state = state
        self._attempts = attempts
        self._ends = ends
        self._awaiting: list[Attempt] = []

    def preempt_for(self, job: Job, now: Instant) -> bool:
        """Preempt work to free a worker for the job's next task.

        Returns whether such a worker was found.
        """
        workers = self._state.ledger.workers_fitting_after_preemption(job.amount)
        plans = [
            plan
            for worker in islice(workers, MAX_WORKERS_COMPARED)
            if (plan := self._plan(worker, job, now)) is not None
        ]
        if not plans:
            return False
        plan = min(plans, key=lambda plan: plan.cost)
        why = "fits after preemption; lowest preemption cost"
        index = job.waiting.lowest()
        attempt = self._attempts.await_preemption(job, index, plan.worker.id, why, now)
        self._awaiting.append(attempt)
        for victim in plan.victims:
            self._ends.preempt(victim, StopReason.PREEMPTED, now)
        return True

    def start_ready(self, now: Instant) -> None:
        """Start the tasks that fit by now and put back those past their deadline."""
        if not self._awaiting:
            return
        self._awaiting = [
            attempt for attempt in self._awaiting if _is_awaiting(attempt)
        ]
        for attempt in self._awaiting:
            worker = self._state.ledger.workers_by_id[attempt.worker_id]
            if worker.is_schedulable and attempt.amount.fits_in(worker.free):
                self._attempts.start_after_preemption(attempt, now)
            elif now >= self._deadline(attempt):
                self._attempts.drop_unsent(attempt, now)

    def _deadline(self, attempt: Attempt) -> float:
        timing = self._state.timing
        return (
            attempt.sent_at
            + 2 * timing.command_timeout_s
            + MAX_PREEMPTION_SYNCS * timing.worker_sync_s
        )

    def _plan(
        self, worker: WorkerCapacity, job: Job, now: Instant
    ) -> PreemptionPlan | None:
        link = self._state.links_by_worker[worker.id]
        attempts = [
            attempt
            for attempt in link.attempts_by_task.values()
            if attempt.is_preemptible
        ]
        free = worker.free
        for attempt in attempts:
            if attempt.ending:
                free = free + attempt.amount
        candidates = [attempt for attempt in attempts if not attempt.ending]
        candidates.sort(key=lambda attempt: preemption_cost(attempt, now))
        victims = []
        for attempt in candidates:
            if job.amount.fits_in(free):
                break
            victims.append(attempt)
            free = free + attempt.amount
        if not job.amount.fits_in(free):
            return None
        for attempt in reversed(list(victims)):
            if job.amount.fits_in(free - attempt.amount):
                victims.remove(attempt)
                free = free - attempt.amount
        cost = sum(preemption_cost(attempt, now) for attempt in victims)
        return PreemptionPlan(worker, victims, cost)


def preemption_cost(attempt: Attempt, now: Instant) -> float:
    """Return the work that a preemption may lose, in millicore seconds.

    For a task of a gang, that is the work of all the gang's tasks.
    """
    job = attempt.job
    run_s = now - attempt.sent_at
    if job.spec.kind is JobKind.SERVICE:
        run_s = max(run_s, MIN_SERVICE_COST_S)
    tasks = job.spec.tasks if job.is_gang else 1
    return run_s * tasks * job.amount.millicores


def _is_awaiting(attempt: Attempt) -> bool:
    current = attempt.job.attempts_by_index.get(attempt.index)
    return current is attempt and attempt.phase is AttemptPhase.AWAITING_PREEMPTION
