"""Makes room for urgent tasks by ending normal work on one worker."""

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
"""Workers whose victims are weighed against each other for one task."""

SERVICE_COST_S = 3_600.0
"""Run time that the interruption of a service counts as, in seconds."""

CLAIM_SYNCS = 4
"""Sync periods for which a worker is kept for its victims' end."""


@dataclass(frozen=True, slots=True)
class EvictionPlan:
    """Victims on one worker; ``cost`` is the work at risk, in millicore seconds."""

    room: WorkerCapacity
    victims: list[Attempt]
    cost: float


class Preemption:
    """Claims workers for urgent tasks until their victims are over."""

    def __init__(
        self, state: SchedulerState, attempts: TaskAttempts, ends: TaskEnds
    ) -> None:
        """Work on ``state``."""
        self._state = state
        self._attempts = attempts
        self._ends = ends
        self._claims: list[Attempt] = []

    def make_room(self, job: Job, now: Instant) -> bool:
        """Claim a worker for the job's next task; false if none can be freed."""
        rooms = self._state.ledger.workers_fitting_after_preemption(job.amount)
        plans = [
            plan
            for room in islice(rooms, MAX_WORKERS_COMPARED)
            if (plan := self._plan(room, job, now)) is not None
        ]
        if not plans:
            return False
        plan = min(plans, key=lambda plan: plan.cost)
        why = "fits once normal work made room; cheapest to displace"
        index = job.waiting.lowest()
        claim = self._attempts.await_preemption(job, index, plan.room.id, why, now)
        self._claims.append(claim)
        for victim in plan.victims:
            self._ends.evict(victim, StopReason.PREEMPTED, now)
        return True

    def resolve(self, now: Instant) -> None:
        """Start the claimed tasks that fit by now and give up overdue claims."""
        if not self._claims:
            return
        self._claims = [claim for claim in self._claims if _is_live(claim)]
        for claim in self._claims:
            room = self._state.ledger.workers_by_id[claim.worker_id]
            if room.is_schedulable and claim.amount.fits_in(room.free):
                self._attempts.start_after_preemption(claim, now)
            elif now >= self._give_up_at(claim):
                self._attempts.drop_unsent(claim, now)

    def _give_up_at(self, claim: Attempt) -> float:
        timing = self._state.timing
        return (
            claim.sent_at
            + 2 * timing.command_timeout_s
            + CLAIM_SYNCS * timing.worker_sync_s
        )

    def _plan(
        self, room: WorkerCapacity, job: Job, now: Instant
    ) -> EvictionPlan | None:
        link = self._state.links_by_worker[room.id]
        attempts = [
            attempt
            for attempt in link.attempts_by_task.values()
            if attempt.is_preemptible
        ]
        free = room.free
        for attempt in attempts:
            if attempt.ending:
                free = free + attempt.amount
        candidates = [attempt for attempt in attempts if not attempt.ending]
        candidates.sort(key=lambda attempt: eviction_cost(attempt, now))
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
        cost = sum(eviction_cost(attempt, now) for attempt in victims)
        return EvictionPlan(room, victims, cost)


def eviction_cost(attempt: Attempt, now: Instant) -> float:
    """Return the work that may be lost with an attempt, in millicore seconds."""
    job = attempt.job
    lasted = now - attempt.sent_at
    if job.spec.kind is JobKind.SERVICE:
        lasted = max(lasted, SERVICE_COST_S)
    tasks = job.spec.tasks if job.is_gang else 1
    return lasted * tasks * job.amount.millicores


def _is_live(claim: Attempt) -> bool:
    current = claim.job.attempts_by_index.get(claim.index)
    return current is claim and claim.phase is AttemptPhase.AWAITING_PREEMPTION
