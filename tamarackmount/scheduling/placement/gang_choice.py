"""Choose the workers for the members of a gang."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.evidence.suspect_isolation import (
    GangWorkers,
    gang_workers,
)
from tamarackmount.scheduling.jobs.runs import StepState
from tamarackmount.scheduling.placement.gang_groups import gang_groups
from tamarackmount.scheduling.placement.reservations import Reservations
from tamarackmount.scheduling.placement.speed_choice import (
    NEUTRAL_RANK,
    SpeedRank,
    speed_groups,
)
from tamarackmount.scheduling.placement.worker_choice import without_failures
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.record_limits import max_runs_per_worker
from tamarackmount.scheduling.workers.workers import WorkerState


def choose_gang_workers(
    state: SchedulerState,
    step: StepState,
    workers: Sequence[WorkerState],
    ranks: Mapping[WorkerIncarnation, SpeedRank],
    reservations: Reservations,
    now: Instant,
) -> list[WorkerState]:
    """Return a worker for each member, apart from suspects and failures if possible.

    The workers are in the order of the members.
    """
    for allowed in gang_workers(state, step, workers, now):
        pools = (without_failures(step, allowed.workers), allowed.workers)
        # Each contains the one before it, so that equal lengths mean equal pools.
        for pool in {len(pool): pool for pool in pools}.values():
            choice = replace(allowed, workers=pool)
            chosen = _choose_in_pool(state, step, choice, ranks, reservations, now)
            if chosen:
                return chosen
    return []


def _choose_in_pool(
    state: SchedulerState,
    step: StepState,
    allowed: GangWorkers,
    ranks: Mapping[WorkerIncarnation, SpeedRank],
    reservations: Reservations,
    now: Instant,
) -> list[WorkerState]:
    """Return a worker for each member; none if the gang does not fit.

    If the step asks for one rack, all members go to one rack if they fit on any.
    Cold workers, and then those that are reserved for others, are used only if the gang
    fits nowhere else.
    """
    usable = reservations.usable_workers(step, allowed.workers)
    unreserved = [worker for worker in usable if not reservations.is_reserved(worker)]
    warm = [worker for worker in unreserved if not worker.is_cold(now)]
    # Each contains the one before it, so that equal lengths mean equal pools.
    pools = {len(pool): pool for pool in (warm, unreserved, usable)}
    groups = (group for pool in pools.values() for group in gang_groups(step, pool))
    for group in groups:
        for alike in speed_groups(group, ranks):
            chosen = _assign_gang(state, step, alike, allowed, ranks)
            if chosen:
                return chosen
    return []


def _assign_gang(
    state: SchedulerState,
    step: StepState,
    workers: Sequence[WorkerState],
    allowed: GangWorkers,
    ranks: Mapping[WorkerIncarnation, SpeedRank],
) -> list[WorkerState]:
    amount = step.reserved_amount
    free_by_incarnation = {worker.incarnation: worker.available for worker in workers}
    count_by_incarnation = {worker.incarnation: 0 for worker in workers}
    max_runs = max_runs_per_worker(state.max_record_bytes)
    chosen: dict[int, WorkerState] = {}
    for index in _suspects_first(step, allowed):
        fitting = [
            worker
            for worker in workers
            if allowed.allows(index, worker)
            and amount.fits_in(free_by_incarnation[worker.incarnation])
            and not is_at_worker_limit(step, count_by_incarnation[worker.incarnation])
            and len(worker.runs_by_task) + count_by_incarnation[worker.incarnation]
            < max_runs
        ]
        if not fitting:
            return []
        worker = min(
            fitting,
            key=lambda worker: (
                ranks.get(worker.incarnation, NEUTRAL_RANK),
                remaining(free_by_incarnation[worker.incarnation], amount),
            ),
        )
        free_by_incarnation[worker.incarnation] = (
            free_by_incarnation[worker.incarnation] - amount
        )
        count_by_incarnation[worker.incarnation] += 1
        chosen[index] = worker
    return [chosen[index] for index in range(step.spec.count)]


def _suspects_first(step: StepState, allowed: GangWorkers) -> list[int]:
    """Return the members of a gang, those first that fewer workers are allowed for."""
    suspects = allowed.workers_by_suspect
    others = (index for index in range(step.spec.count) if index not in suspects)
    return [*sorted(suspects, key=lambda index: len(suspects[index])), *others]


def is_at_worker_limit(step: StepState, count: int) -> bool:
    """Tell whether a worker with ``count`` tasks of a step may take no more of them."""
    bound = step.spec.max_per_worker
    return bool(bound) and count >= bound


def remaining(free: Resources, amount: Resources) -> tuple[int, int, int]:
    """Return what a task leaves free, the scarcest resource first, to compare fits."""
    left = free - amount
    return left.accelerators, left.millicores, left.memory_mib
