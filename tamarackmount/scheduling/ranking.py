"""In which order waiting steps get room.

Load pattern: a burst of urgent small jobs on a pool full of long ones, while one team
sends many times its usual. Urgent jobs that can still be on time go first, then others
by the latest time at which they have to start, urgent ones that are late among them as
they take room for a second only; jobs beyond their team's share, then other late ones,
then those that are worth nothing any more, get what is left.
"""

from enum import IntEnum

from tamarackmount.ids import Instant, TeamId
from tamarackmount.scheduling.runs import JobState, StepState

URGENT_PRIORITY = 0
"""Priority of queues whose jobs go before all others."""

SHARE_BURST_S = 2.0
"""A team may be ahead of its share by this many seconds' worth of jobs."""


class Tier(IntEnum):
    """Classes of waiting steps, the first ones served first."""

    URGENT = 0
    IN_TIME = 1
    OVER_SHARE = 2
    LATE = 3
    TOO_LATE = 4


Rank = tuple[int, float, str, int]
"""Sort key of a step."""


def tier(step: StepState, now: Instant) -> Tier:
    """Return the class of a step."""
    job = step.job
    if step.spec.perpetual:
        return Tier.IN_TIME
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
    """Return the step's sort key; lower ones are served first."""
    job = step.job
    by = job.latest_late_start if now > job.latest_start else job.latest_start
    return tier(step, now), by, step.key.job_id, step.key.step


class TeamRateLimiter:
    """Which jobs are beyond what their team may hand in each second."""

    def __init__(self) -> None:
        """Begin with every team at its share."""
        self._free_at_by_team: dict[TeamId, Instant] = {}

    def count_and_check(self, job: JobState, weight: float, now: Instant) -> bool:
        """Count a job that came now; tell whether it is beyond its team's share."""
        if weight <= 0:
            return False
        team = job.accepted.team_id
        free_at = max(self._free_at_by_team.get(team, now), now)
        if free_at - now > SHARE_BURST_S:
            return True
        self._free_at_by_team[team] = Instant(free_at + 1.0 / weight)
        return False
