"""Ceilings of workspaces: what each may have running, and what a step may fill."""

from collections.abc import Mapping

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.resources import (
    NOTHING,
    Resources,
    componentwise_maximum,
    componentwise_minimum,
)
from tamarackmount.scheduling.domain.fleet_config import Workspace
from tamarackmount.scheduling.domain.model import ServiceName
from tamarackmount.scheduling.jobs.ranking import URGENT_PRIORITY
from tamarackmount.scheduling.jobs.runs import JobState, StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState

NON_URGENT_SLACK_S = 4.0
"""Time to its latest start, in seconds, above which a non-urgent job leaves part of
its workspace's ceiling to urgent jobs; about the length of one long task."""

NON_URGENT_CEILING_FRACTION = 0.85
"""Fraction of a workspace's ceiling that its non-urgent jobs may fill, without unit;
urgent jobs need a quarter of what a workspace uses, and a burst doubles them. It holds
while no urgent use of the workspace was observed."""

MIN_NON_URGENT_CEILING_FRACTION = 0.5
"""Lower limit of that fraction, without unit: the users let no job wait whose workspace
uses less than half of its ceiling."""


def ceiling_fraction(step: StepState, now: Instant) -> float:
    """Return the fraction of its workspace's ceiling that a step may fill.

    Load pattern: a workspace's long jobs fill its ceiling, and its urgent jobs, which
    come in bursts and last a second, wait until one of the long jobs ends.
    """
    job = step.job
    if job.priority == URGENT_PRIORITY or step.spec.perpetual:
        return 1.0
    if now >= job.latest_start - NON_URGENT_SLACK_S:
        return 1.0
    observed = job.non_urgent_ceiling_fraction
    return NON_URGENT_CEILING_FRACTION if observed is None else observed


def update_non_urgent_fractions(state: SchedulerState, now: Instant) -> None:
    """Set, for waiting jobs, which part of a ceiling non-urgent work may fill.

    As much is left free as urgent jobs used at their peak beyond what they use now.
    """
    use_by_workspace: dict[WorkspaceId, Resources] = {}
    for use, load in state.load_by_pool.items():
        if state.is_urgent_queue(use.queue):
            known = use_by_workspace.get(use.workspace, NOTHING)
            use_by_workspace[use.workspace] = known + load.used
    state.urgent_peaks.record(use_by_workspace, now)
    config = state.fleet_config
    workspaces = config.workspaces_by_id.values() if config is not None else ()
    state.non_urgent_fraction_by_workspace = {
        workspace.workspace_id: fraction
        for workspace in workspaces
        if (fraction := _observed_fraction(state, workspace, use_by_workspace, now))
    }
    for step in state.ready_steps_by_key.values():
        set_non_urgent_fraction(state, step.job)


def set_non_urgent_fraction(state: SchedulerState, job: JobState) -> None:
    """Set which part of a ceiling a job may fill, as of the last round."""
    job.non_urgent_ceiling_fraction = state.non_urgent_fraction_by_workspace.get(
        job.accepted.workspace_id
    )


def _observed_fraction(
    state: SchedulerState,
    workspace: Workspace,
    urgent_use_by_workspace: Mapping[WorkspaceId, Resources],
    now: Instant,
) -> float | None:
    peak = state.urgent_peaks.peak(workspace.workspace_id, now)
    if peak is None:
        return None
    urgent_use = urgent_use_by_workspace.get(workspace.workspace_id, NOTHING)
    headroom = max(
        (
            (at_peak - in_use) / limit
            for in_use, at_peak, limit in ceiling_parts(
                urgent_use, peak, workspace.ceiling
            )
            if limit
        ),
        default=0.0,
    )
    fraction = max(MIN_NON_URGENT_CEILING_FRACTION, 1.0 - max(0.0, headroom))
    if state.urgent_peaks.is_representative(workspace.workspace_id, now):
        return fraction
    # The first urgent jobs that are seen tell a lower limit of the peak only.
    return min(NON_URGENT_CEILING_FRACTION, fraction)


def is_under_ceiling(
    state: SchedulerState, step: StepState, count: int, fraction: float = 1.0
) -> bool:
    """Return whether ``count`` more tasks of a step fit under its workspace's ceiling.

    Only ``fraction`` of the ceiling may be filled, but the task that goes beyond
    ``MIN_NON_URGENT_CEILING_FRACTION`` may start. A workspace that the configuration
    lacks has no ceiling; before the first configuration, no task fits.
    """
    if state.fleet_config is None:
        return False
    workspace = state.workspace_of_job(step.job)
    if workspace is None:
        return True
    used = state.used_by_workspace.get(workspace.workspace_id, NOTHING)
    # This is asked for each waiting step in each tick, and rarely anything is unknown.
    if state.unknown_use is not NOTHING:
        used = _with_unknown_use(used, state.unknown_use, workspace.ceiling)
    parts = [
        (in_use, in_use + per_task * count, limit)
        for in_use, per_task, limit in ceiling_parts(
            used, step.spec.amount, workspace.ceiling
        )
        if limit
    ]
    uses_little = all(
        in_use < limit * MIN_NON_URGENT_CEILING_FRACTION for in_use, _, limit in parts
    )
    allowed = 1.0 if uses_little else fraction
    return all(filled <= limit * allowed for _, filled, limit in parts)


def update_unknown_use(state: SchedulerState) -> None:
    """Set what former holders' runs that this one does not know may use at most.

    That is what is left of their workers. One whose registration was not read counts as
    the largest of its service.
    """
    state.unknown_use = NOTHING
    if not state.runs_may_be_incomplete:
        return
    largest_by_service: dict[ServiceName, Resources] = {}
    for worker in state.workers_by_incarnation.values():
        entry = worker.entry
        largest = largest_by_service.get(entry.service, NOTHING)
        largest_by_service[entry.service] = componentwise_maximum(
            largest, entry.capacity
        )
    for worker in state.workers_by_incarnation.values():
        if worker.may_have_unknown_runs:
            capacity = worker.entry.capacity
            if not worker.was_registered:
                capacity = largest_by_service[worker.entry.service]
            left = componentwise_maximum(capacity - worker.used, NOTHING)
            state.unknown_use = state.unknown_use + left


def _with_unknown_use(
    known: Resources, unknown: Resources, ceiling: Resources
) -> Resources:
    """Return what a workspace may use: the former holder kept to the ceiling, too."""
    return componentwise_maximum(known, componentwise_minimum(known + unknown, ceiling))


def ceiling_parts(
    used: Resources, amount: Resources, ceiling: Resources
) -> tuple[tuple[int, int, int], ...]:
    """Return the use, the amount of one task and the ceiling of each resource."""
    return (
        (used.millicores, amount.millicores, ceiling.millicores),
        (used.memory_mib, amount.memory_mib, ceiling.memory_mib),
        (used.accelerators, amount.accelerators, ceiling.accelerators),
    )
