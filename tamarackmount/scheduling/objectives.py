"""By when a job should be done to be worth its caller's while."""

from tamarackmount.ids import Instant
from tamarackmount.scheduling.fleet import Queue
from tamarackmount.scheduling.model import JobSpec
from tamarackmount.scheduling.runs import JobState
from tamarackmount.units import MS_PER_SECOND

LATE_FACTOR = 3.0
"""Up to this many times its objective a job is late; after it, worth nothing."""


def longest_chain_ms(spec: JobSpec) -> int:
    """Return the longest chain of declared durations, in milliseconds."""
    ends: list[int] = []
    for step in spec.steps:
        begins = max((ends[before] for before in step.after), default=0)
        ends.append(begins + step.estimated_ms)
    return max(ends, default=0)


def set_objective(job: JobState, queue: Queue | None) -> None:
    """Set by when a job should be done; one without a queue keeps what it has."""
    if queue is None:
        return
    chain_ms = longest_chain_ms(job.accepted.spec)
    aim_s = (queue.stretch * chain_ms + queue.target_ms) / MS_PER_SECOND
    job.aim = Instant(job.came_at + aim_s)
    job.late = Instant(job.came_at + LATE_FACTOR * aim_s)
