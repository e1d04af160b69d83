"""Rank the waiting steps by the order in which they are placed.

Load pattern: a burst of small urgent jobs on a pool full of long ones, while one
workspace submits many times its usual number. Urgent jobs that can still be on time go
first. Others follow by their latest start; late urgent jobs are among them, as they
take capacity for a second only. Perpetual tasks that have ended go before all. Steps
beyond their workspace's share of a scarce pool go behind the others of their tier.
Jobs beyond their workspace's share, then other late jobs, then jobs that are too late
to be of any use get what is left.
"""

from enum import IntEnum

from tamarackmount.ids import Instant, WorkspaceId
from tamarackmount.scheduling.jobs.runs import JobState, StepState

URGENT_PRIORITY = 0
"""Priority of urgent queues, without unit; higher numbers are less urgent. Jobs of
these queues go before all others, unless they are late or over their workspace's
share."""

SHARE_BURST_S = 2.0
"""Seconds' worth of jobs by which a workspace may be ahead of its share."""


class Tier(IntEnum):
    """Class of a waiting step; lower values are placed first."""

    URGENT = 0
    IN_TIME = 1
    OVER_SHARE = 2
    LATE = 3
    TOO_LATE = 4


Rank = tuple[int, bool, float, str, int]
"""Sort key of a step."""


def tier(step: StepState, now: Instant) -> Tier:
    """Return the class of a step."""
    job = step.job
    if step.spec.perpetual:
        # The users of one that has run are without it until it runs again.
        return Tier.URGENT if step.is_restart else Tier.IN_TIME
    if now > job.latest_late_start:
        return Tier.TOO_LATE
    is_urgent = job.priority == URGENT_PRIORITY
    is_late = now > job.latest_start
    if is_late and not is_urgent:
        return Tier.LATE
    if job.is_over_share:
        return Tier.OVER_SHARE
    return Tier.URGENT if is_urgent and not is_late else Tier.IN_TIME


def rank(step: StepState, now: Instant) -> Rank:
    """Return the step's sort key; lower ones are placed first."""
    job = step.job
    start_by = job.latest_late_start if now > job.latest_start else job.latest_start
    if step.is_restart:
        start_by = job.accepted_at
    return (
        tier(step, now),
        step.exceeds_pool_share,
        start_by,
        step.key.job_id,
        step.key.step,
    )


class WorkspaceRateLimiter:
    """Tells which jobs are beyond their workspace's share.

    A workspace's weight is the number of jobs that it may submit each second.
    """

    def __init__(self) -> None:
        """Begin with no jobs counted."""
        self._next_free_at_by_workspace: dict[WorkspaceId, Instant] = {}

    def count_and_check(self, job: JobState, weight: float, now: Instant) -> bool:
        """Count a job submitted now; return whether it is beyond its workspace's share.

        A job beyond the share is not counted.
        """
        if weight <= 0:
            return False
        workspace = job.accepted.workspace_id
        next_free_at = max(self._next_free_at_by_workspace.get(workspace, now), now)
        if next_free_at - now > SHARE_BURST_S:
            return True
        self._next_free_at_by_workspace[workspace] = Instant(
            next_free_at + 1.0 / weight
        )
        return False
