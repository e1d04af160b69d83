"""Whether a job is worth accepting, decided before it is stored.

Load patterns: a job that no worker, or no ceiling, is large enough for would wait until
its caller has long gone; in a flood, a job behind more work than its team's ceiling or
the pool gets done in time only takes room from others. Both are refused at once, with
the time after which the work ahead is done, spread so that callers don't return
together.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.placement import ceiling_parts, could_run
from tamarackmount.scheduling.ranking import Tier, tier
from tamarackmount.scheduling.runs import JobState, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers import ContactState, WorkerState

NEVER_RETRY_S = 30.0
"""When to come back with a job that is too large for the cell, in seconds: workers and
ceilings change by an operator's hand."""

SURE_FACTOR = 1.5
"""The work ahead has to take this many times as long as a job may wait, since the
forecast is rough and a job refused in vain is a caller lost."""

JITTER = 0.3
"""Times to come back differ by up to this part, either way."""


class RefusalReason(Enum):
    """Why a job is not accepted."""

    NO_WORKER = "no worker is large enough"
    CEILING = "its team's ceiling is too low for it"
    BACKLOG = "the work ahead of it takes longer than it may wait"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that is not accepted, and when to come back, in seconds."""

    reason: RefusalReason
    retry_after_s: float


def admit(state: SchedulerState, job: JobState, now: Instant) -> Refusal | None:
    """Return why a job is not accepted; nothing if it is."""
    steps = list(job.steps_by_key.values())
    workers = [
        worker
        for worker in state.workers_by_incarnation.values()
        if worker.listed and worker.entry.service == job.accepted.service
    ]
    if not workers or any(
        worker.contact is ContactState.UNCONFIRMED for worker in workers
    ):
        return None
    if any(not any(could_run(step, row) for row in workers) for step in steps):
        return Refusal(RefusalReason.NO_WORKER, NEVER_RETRY_S)
    if any(_is_over_ceiling(state, step) for step in steps):
        return Refusal(RefusalReason.CEILING, NEVER_RETRY_S)
    if any(step.spec.perpetual for step in steps):
        return None
    wait_s = max(_pool_wait_s(state, job, workers, now), _team_wait_s(state, job, now))
    may_wait_s = job.latest_late_start - now
    if wait_s <= SURE_FACTOR * max(0.0, may_wait_s):
        return None
    retry_s = max(1.0, wait_s - may_wait_s)
    return Refusal(RefusalReason.BACKLOG, retry_s)


def add_jitter(retry_after_s: float, rng: random.Random) -> int:
    """Return the whole seconds after which one caller comes back."""
    return max(1, round(retry_after_s * rng.uniform(1 - JITTER, 1 + JITTER)))


def _is_over_ceiling(state: SchedulerState, step: StepState) -> bool:
    team = state.team(step.job)
    if team is None:
        return False
    count = step.spec.count if step.spec.gang else 1
    parts = ceiling_parts(NOTHING, step.spec.amount, team.ceiling)
    return any(most and one * count > most for _, one, most in parts)


def _pool_wait_s(
    state: SchedulerState, job: JobState, workers: Iterable[WorkerState], now: Instant
) -> float:
    """Return how long the work ahead keeps the job's pool busy."""
    room = NOTHING
    for worker in workers:
        room = room + worker.entry.capacity
    ahead = [
        step
        for step in _steps_ahead(state, job, now)
        if step.job.accepted.service == job.accepted.service
    ]
    return _busy_s(state, ahead, room)


def _team_wait_s(state: SchedulerState, job: JobState, now: Instant) -> float:
    """Return how long the work ahead keeps the team at its ceiling."""
    team = state.team(job)
    if team is None:
        return 0.0
    team_id = team.team_id
    ahead = [
        step
        for step in _steps_ahead(state, job, now)
        if step.job.accepted.team_id == team_id
    ]
    return _busy_s(state, ahead, team.ceiling)


def _steps_ahead(state: SchedulerState, job: JobState, now: Instant) -> list[StepState]:
    """Return waiting steps that go before a job, as far as they are worth anything."""
    is_urgent = job.priority == 0
    return [
        step
        for step in state.ready_steps_by_key.values()
        if tier(step, now) <= (Tier.URGENT if is_urgent else Tier.IN_TIME)
    ]


def _busy_s(
    state: SchedulerState, steps: Iterable[StepState], room: Resources
) -> float:
    """Return how long the waiting tasks of steps fill some room, in seconds."""
    sums = [0.0, 0.0, 0.0]
    for step in steps:
        queue = step.job.accepted.queue
        took_s = state.forecast.estimate_s(queue, step.spec.estimated_ms)
        work_s = took_s * len(step.pending)
        amount = step.spec.amount
        for place, part in enumerate(
            (amount.millicores, amount.memory_mib, amount.accelerators)
        ):
            sums[place] += part * work_s
    rooms = (room.millicores, room.memory_mib, room.accelerators)
    return max(
        (work / has for work, has in zip(sums, rooms, strict=True) if has), default=0.0
    )
