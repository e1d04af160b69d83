"""Set the deadlines of jobs.

A job that is done by its target is of full use to its caller, one that is done by its
late target of some use, and one that takes longer of none.
"""

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.fleet_config import Queue
from tamarackmount.scheduling.estimates.forecast import Forecast
from tamarackmount.scheduling.jobs.runs import JobState
from tamarackmount.units import MS_PER_SECOND

LATE_FACTOR = 3.0
"""Multiple of its target time, without unit, after which a job is of no use."""


def longest_chain_s(job: JobState, forecast: Forecast, only_remaining: bool) -> float:
    """Return the duration of the critical path of all steps, or of those not done."""
    queue = job.accepted.queue_name
    end_s_by_step: list[float] = []
    for number, step in enumerate(job.accepted.spec.steps):
        start_s = max((end_s_by_step[earlier] for earlier in step.after), default=0.0)
        duration_s = forecast.estimate_s(queue, step.estimated_ms)
        if only_remaining and job.is_step_done(number):
            duration_s = 0.0
        end_s_by_step.append(start_s + duration_s)
    return max(end_s_by_step, default=0.0)


def set_deadlines(job: JobState, queue: Queue, forecast: Forecast) -> None:
    """Set a job's targets, and by when it has to start in order to meet them."""
    chain_s = longest_chain_s(job, forecast, only_remaining=False)
    target_s = queue.stretch * chain_s + queue.target_ms / MS_PER_SECOND
    job.target_at = Instant(job.accepted_at + target_s)
    job.late_target_at = Instant(job.accepted_at + LATE_FACTOR * target_s)
    remaining_s = longest_chain_s(job, forecast, only_remaining=True)
    job.latest_start = Instant(job.target_at - remaining_s)
    job.latest_late_start = Instant(job.late_target_at - remaining_s)
