"""Compute the shares of all pools before a round of placement, and mark steps by them.

It runs every 20 ms at most. Use is counted as runs are added and dropped, so that a
round looks at workers and waiting steps only, and ranks steps only of those
workspaces that ask for more than they are entitled to.
"""

from collections.abc import Iterable

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY, rank
from tamarackmount.scheduling.jobs.runs import JobState, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.shares.shares import (
    NO_AMOUNTS,
    Amounts,
    CapacityShares,
    PoolShares,
    WorkspaceDemand,
    add,
    fractions,
    share_pool,
    subtract,
)

DEFAULT_WEIGHT = 1.0
"""Weight of a workspace without a positive weight in the configuration, no unit."""


def update_shares(state: SchedulerState, now: Instant) -> None:
    """Compute the shares of all pools, and mark the steps that go beyond them."""
    waiting_by_pool: dict[tuple[ServiceName, WorkspaceId], list[StepState]] = {}
    for step in state.ready_steps_by_key.values():
        step.exceeds_pool_share = False
        job = step.job
        if now > job.latest_late_start and not step.spec.perpetual:
            continue
        pool = job.accepted.service, job.accepted.workspace_id
        waiting_by_pool.setdefault(pool, []).append(step)
    capacities = state.usable_capacity_by_service()
    demands_by_service: dict[ServiceName, dict[WorkspaceId, WorkspaceDemand]] = {}
    used_by_pool = _used_by_pool(state)
    for pool in used_by_pool.keys() | waiting_by_pool.keys():
        service, workspace = pool
        if service not in capacities:
            continue
        demands_by_service.setdefault(service, {})[workspace] = _demand(
            state,
            workspace,
            used_by_pool.get(pool, (NOTHING, NOTHING)),
            waiting_by_pool.get(pool, ()),
            capacities[service],
        )
    pools = {
        service: share_pool(capacities[service], demands)
        for service, demands in demands_by_service.items()
    }
    state.shares = CapacityShares(pools, state.refused_by_pool)
    for (service, workspace), steps in waiting_by_pool.items():
        shares = pools.get(service)
        if shares is not None and shares.is_limited(workspace):
            _mark_steps(shares, workspace, steps, now)


def mark_new_steps(state: SchedulerState, job: JobState) -> None:
    """Mark the steps of a new job by the shares of the last round.

    Otherwise it would take what is freed before the next round. Urgent jobs are not
    marked, as what their workspace uses is mostly long work.
    """
    accepted = job.accepted
    if job.priority == URGENT_PRIORITY:
        return
    is_over_share = state.shares.is_over_share(accepted.workspace_id, accepted.service)
    for step in job.steps_by_key.values():
        step.exceeds_pool_share = is_over_share


def _used_by_pool(
    state: SchedulerState,
) -> dict[tuple[ServiceName, WorkspaceId], tuple[Resources, Resources]]:
    """Return what each workspace uses of each pool: of all queues, of urgent ones."""
    used: dict[tuple[ServiceName, WorkspaceId], tuple[Resources, Resources]] = {}
    for use, load in state.load_by_pool.items():
        in_all, in_urgent = used.get(use[:2], (NOTHING, NOTHING))
        if state.is_urgent_queue(use.queue):
            in_urgent = in_urgent + load.used
        used[use[:2]] = in_all + load.used, in_urgent
    return used


def _demand(
    state: SchedulerState,
    workspace_id: WorkspaceId,
    used_amounts: tuple[Resources, Resources],
    steps: Iterable[StepState],
    capacity: Resources,
) -> WorkspaceDemand:
    config = state.fleet_config
    workspace = config.workspaces_by_id.get(workspace_id) if config else None
    used, used_by_urgent = (fractions(amount, capacity) for amount in used_amounts)
    waiting = NO_AMOUNTS
    for step in steps:
        amounts = fractions(step.reserved_amount, capacity, len(step.pending))
        waiting = add(waiting, amounts)
    weight = DEFAULT_WEIGHT
    if workspace is not None:
        weight = workspace.weight if workspace.weight > 0 else DEFAULT_WEIGHT
        waiting = _limit_to_ceiling(used, waiting, workspace.ceiling, capacity)
    return WorkspaceDemand(weight, used, used_by_urgent, waiting)


def _limit_to_ceiling(
    used: Amounts, waiting: Amounts, ceiling: Resources, capacity: Resources
) -> Amounts:
    """Return the part of what waits that the workspace's ceiling lets run."""
    factor = 1.0
    limits = fractions(ceiling, capacity)
    for in_use, amount, limit in zip(used, waiting, limits, strict=True):
        if limit and amount:
            factor = min(factor, max(0.0, limit - in_use) / amount)
    return waiting[0] * factor, waiting[1] * factor, waiting[2] * factor


def _mark_steps(
    shares: PoolShares, workspace: WorkspaceId, steps: list[StepState], now: Instant
) -> None:
    """Mark the steps that lie beyond the entitled part.

    That part goes to whole steps in order of rank, after the runs of steps of which
    nothing waits. With shares of single tasks, many steps would each have some of their
    tasks running, and all would end late. Long runs are stopped for urgent steps, so
    these are marked only if urgent work alone takes the entitled part.
    """
    demand = shares.demand_by_workspace[workspace]
    taken, taken_by_urgent = demand.used, demand.used_by_urgent
    rows = []
    for step in sorted(steps, key=lambda step: rank(step, now)):
        capacity, running = shares.capacity, len(step.runs_by_index)
        amounts = fractions(step.reserved_amount, capacity, running + len(step.pending))
        is_urgent = step.job.priority == URGENT_PRIORITY
        rows.append((step, amounts, is_urgent))
        if running:
            running_amounts = fractions(step.reserved_amount, capacity, running)
            taken = subtract(taken, running_amounts)
            if is_urgent:
                taken_by_urgent = subtract(taken_by_urgent, running_amounts)
    for step, amounts, is_urgent in rows:
        # A perpetual task that has ended starts again whatever its workspace uses.
        step.exceeds_pool_share = not step.spec.perpetual and shares.exceeds(
            workspace, taken_by_urgent if is_urgent else taken
        )
        taken = add(taken, amounts)
        if is_urgent:
            taken_by_urgent = add(taken_by_urgent, amounts)
