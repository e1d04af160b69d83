"""Making room for what is more urgent.

Load pattern: urgent jobs, or gangs that need a whole worker, come to a pool that
longer work fills. Runs of less urgent queues that keep their progress are stopped, the
fewest and youngest since their last saved state, and go on elsewhere later.
"""

import logging

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.cell import Cell
from tamarackmount.scheduling.fleet import Queue
from tamarackmount.scheduling.placing import candidates, has_quota, quota_parts
from tamarackmount.scheduling.ranking import Tier, tier
from tamarackmount.scheduling.runs import Run, RunPhase, StepState
from tamarackmount.scheduling.workers import WorkerState

_log = logging.getLogger(__name__)

MIN_RUN_S = 0.5
"""A run is left alone for this long after its start, in seconds: it has saved nothing
before."""

PREEMPT_PAUSE_S = 0.25
"""Pause between two stops for one step, in seconds: the first one's room comes free."""


def preempt(cell: Cell, step: StepState, queue: Queue, now: Instant) -> None:
    """Stop less urgent runs, if that makes room for what the step needs at once."""
    if now < step.preempt_again_at or tier(step, now) > Tier.IN_TIME:
        return
    if has_quota(cell, step, step.spec.count if step.spec.gang else 1):
        victims = _for_room(cell, step, queue, now)
    else:
        victims = _for_ceiling(cell, step, queue, now)
    if not victims:
        return
    step.preempt_again_at = Instant(now + PREEMPT_PAUSE_S)
    for run in victims:
        cell.stop_run(run, now)
    extra = {
        "job": step.key.job_id,
        "reason": step.waits_for.value,
        "stopped": len(victims),
    }
    _log.info("room made", extra=extra)


def _for_room(cell: Cell, step: StepState, queue: Queue, now: Instant) -> list[Run]:
    """Return runs whose room, on allowed workers, the step's tasks need."""
    wanted = step.spec.count if step.spec.gang else len(step.pending)
    victims: list[Run] = []
    for worker in candidates(cell, step, queue, now):
        found, room_for = _victims(cell, step, queue, worker, wanted, now)
        victims.extend(found)
        wanted -= room_for
        if wanted <= 0:
            break
    return [] if step.spec.gang and wanted > 0 else victims


def _for_ceiling(cell: Cell, step: StepState, queue: Queue, now: Instant) -> list[Run]:
    """Return runs of the step's own team whose share of its ceiling it needs."""
    team_id = step.job.accepted.team_id
    team = cell.fleet.teams_by_id.get(team_id) if cell.fleet is not None else None
    if team is None:
        return []
    used = cell.used_by_team.get(team_id, NOTHING)
    stoppable: list[Run] = []
    for worker in cell.workers_by_life.values():
        for run in worker.runs_by_task.values():
            if cell.team_of(run) != team_id:
                continue
            if run.phase is RunPhase.STOPPING:
                used = used - run.charged
        rows = _stoppable(cell, queue, worker, now)
        stoppable.extend(run for run in rows if cell.team_of(run) == team_id)
    victims: list[Run] = []
    count = step.spec.count if step.spec.gang else len(step.pending)
    amount = step.spec.amount
    for run in sorted(stoppable, key=lambda row: -row.charged.millicores):
        if _under_ceiling(used, amount, team.ceiling, count):
            break
        victims.append(run)
        used = used - run.charged
    return victims


def _under_ceiling(
    used: Resources, amount: Resources, ceiling: Resources, count: int
) -> bool:
    parts = quota_parts(used, amount, ceiling)
    return all(not most or has + one * count <= most for has, one, most in parts)


def _victims(
    cell: Cell,
    step: StepState,
    queue: Queue,
    worker: WorkerState,
    wanted: int,
    now: Instant,
) -> tuple[list[Run], int]:
    """Return runs to stop on a worker, and for how many tasks there is room then."""
    amount = step.room_amount
    coming = _coming_free(worker)
    room_for = _fits(amount, worker.free + coming, wanted, step)
    victims: list[Run] = []
    free = worker.free + coming
    for run in _stoppable(cell, queue, worker, now):
        if room_for >= wanted:
            break
        more = _fits(amount, free + run.amount, wanted, step)
        victims.append(run)
        free = free + run.amount
        room_for = max(room_for, more)
    if room_for == _fits(amount, worker.free + coming, wanted, step):
        return [], room_for
    return victims, room_for


def _coming_free(worker: WorkerState) -> Resources:
    """Return the room of runs that are being stopped already."""
    room = NOTHING
    for run in worker.runs_by_task.values():
        if run.phase is RunPhase.STOPPING:
            room = room + run.amount
    return room


def _fits(amount: Resources, free: Resources, wanted: int, step: StepState) -> int:
    """Return how many tasks fit, up to the number wanted and the step's bound."""
    parts = (
        (amount.millicores, free.millicores),
        (amount.memory_mib, free.memory_mib),
        (amount.accelerators, free.accelerators),
    )
    fits = min((has // one for one, has in parts if one), default=wanted)
    bound = step.spec.max_per_worker or wanted
    return max(0, min(wanted, bound, fits))


def _stoppable(
    cell: Cell, queue: Queue, worker: WorkerState, now: Instant
) -> list[Run]:
    """Return less urgent runs that keep their progress, the least work lost first."""
    found = []
    for run in worker.runs_by_task.values():
        step = cell.step_of(run.task)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if step.job.priority <= queue.priority or now < run.began_at + MIN_RUN_S:
            continue
        spec = step.spec
        if spec.saves_progress and not (spec.gang or spec.perpetual or spec.fills):
            found.append(run)
    return sorted(found, key=lambda run: -run.amount.millicores)
