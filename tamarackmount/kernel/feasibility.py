"""Detects jobs that can never run and records the reason."""

from tamarackmount.ids import Instant
from tamarackmount.kernel.jobs import Job
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.shares import exceeded_ceiling


def check_all(state: SchedulerState, now: Instant) -> None:
    """Check all open jobs, as is needed after workers or ceilings change."""
    for job in list(state.table.jobs_by_id.values()):
        if job.accepted and not job.ended and not job.closing:
            check(state, job, now)


def check(state: SchedulerState, job: Job, now: Instant) -> None:
    """Set or clear the reason why the job's tasks can never run."""
    reason = infeasible_reason(state, job)
    if reason == job.reason and job.is_infeasible == bool(reason):
        return
    job.is_infeasible = bool(reason)
    job.reason = reason
    state.job_changed(job, now)
    state.place_needed = True


def infeasible_reason(state: SchedulerState, job: Job) -> str:
    """Return why no task of the job can ever run, or an empty string.

    The result holds for the present workers and ceilings. If no listed
    worker stays, only the ceilings are checked.
    """
    tasks = job.spec.tasks if job.is_gang else 1
    limits = state.accounts.account(job.team_id).limits
    ceiling = exceeded_ceiling(limits, tasks, job.amount * tasks)
    if ceiling:
        what = "the gang" if job.is_gang else "one task"
        return f"never runnable: {what} exceeds the team's ceiling of {ceiling}"
    if not state.ledger.worker_count_by_capacity:
        return ""
    fitting = state.ledger.max_tasks(job.amount)
    if fitting == 0:
        return "never runnable: one task is larger than every worker"
    if fitting < tasks:
        return f"never runnable: only {fitting} of the gang's tasks fit on the workers"
    return ""
