"""By when a job should be done to be worth its caller's while."""

from tamarackmount.ids import Instant
from tamarackmount.scheduling.fleet_config import Queue
from tamarackmount.scheduling.forecast import Forecast
from tamarackmount.scheduling.runs import JobState
from tamarackmount.units import MS_PER_SECOND

LATE_FACTOR = 3.0
"""Up to this many times its objective a job is late; after it, worth nothing."""


def longest_chain_s(job: JobState, forecast: Forecast, only_left: bool) -> float:
    """Return the longest chain of work, in seconds, of all steps or of those left."""
    queue = job.accepted.queue
    ends: list[float] = []
    for number, step in enumerate(job.accepted.spec.steps):
        begins = max((ends[before] for before in step.after), default=0.0)
        took = forecast.estimate_s(queue, step.estimated_ms)
        if only_left and job.is_step_done(number):
            took = 0.0
        ends.append(begins + took)
    return max(ends, default=0.0)


def set_deadlines(job: JobState, queue: Queue, forecast: Forecast) -> None:
    """Set by when a job should be done."""
    chain_s = longest_chain_s(job, forecast, only_left=False)
    aim_s = queue.stretch * chain_s + queue.target_ms / MS_PER_SECOND
    job.target_at = Instant(job.submitted_at + aim_s)
    job.late_target_at = Instant(job.submitted_at + LATE_FACTOR * aim_s)
    left_s = longest_chain_s(job, forecast, only_left=True)
    job.latest_start = Instant(job.target_at - left_s)
    job.latest_late_start = Instant(job.late_target_at - left_s)
