"""Ceilings of workspaces: what each may have running, and what a step may fill."""

from tamarackmount.ids import Instant
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.ranking import URGENT_PRIORITY
from tamarackmount.scheduling.runs import StepState
from tamarackmount.scheduling.scheduler_state import SchedulerState

NON_URGENT_SLACK_S = 4.0
"""Time to its latest start, in seconds, above which a non-urgent job leaves part of
its workspace's ceiling to urgent jobs; about the length of one long task."""

NON_URGENT_CEILING_FRACTION = 0.85
"""Fraction of a workspace's ceiling that its non-urgent jobs may fill, without unit;
urgent jobs need a quarter of what a workspace uses, and a burst doubles them."""


def ceiling_fraction(step: StepState, now: Instant) -> float:
    """Return the fraction of its workspace's ceiling that a step may fill.

    Load pattern: a workspace's long jobs fill its ceiling, and its urgent jobs, which
    come in bursts and last a second, wait until one of the long jobs ends.
    """
    job = step.job
    if job.priority == URGENT_PRIORITY or step.spec.perpetual:
        return 1.0
    return (
        NON_URGENT_CEILING_FRACTION
        if now < job.latest_start - NON_URGENT_SLACK_S
        else 1.0
    )


def is_under_ceiling(
    state: SchedulerState, step: StepState, count: int, fraction: float = 1.0
) -> bool:
    """Return whether ``count`` more tasks of a step fit under its workspace's ceiling.

    Only ``fraction`` of the ceiling may be filled. A workspace that the configuration
    lacks has no ceiling; before the first configuration, no task fits.
    """
    if state.fleet_config is None:
        return False
    workspace = state.workspace_of_job(step.job)
    if workspace is None:
        return True
    used = state.used_by_workspace.get(workspace.workspace_id, NOTHING)
    return all(
        not limit or in_use + per_task * count <= limit * fraction
        for in_use, per_task, limit in ceiling_parts(
            used, step.spec.amount, workspace.ceiling
        )
    )


def ceiling_parts(
    used: Resources, amount: Resources, ceiling: Resources
) -> tuple[tuple[int, int, int], ...]:
    """Return the use, the amount of one task and the ceiling of each resource."""
    return (
        (used.millicores, amount.millicores, ceiling.millicores),
        (used.memory_mib, amount.memory_mib, ceiling.memory_mib),
        (used.accelerators, amount.accelerators, ceiling.accelerators),
    )
