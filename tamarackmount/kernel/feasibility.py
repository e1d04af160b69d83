"""Names the jobs that can never run, with the reason."""

from tamarackmount.ids import Instant
from tamarackmount.kernel.jobs import Job
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.shares import exceeded_ceiling


def check_all(state: SchedulerState, now: Instant) -> None:
    """Check every open job again after workers or ceilings changed."""
    for job in list(state.table.jobs_by_id.values()):
        if job.accepted and not job.ended and not job.closing:
            check(state, job, now)


def check(state: SchedulerState, job: Job, now: Instant) -> None:
    """Set or clear the reason why the job's tasks can never run."""
    reason = never_runs_reason(state, job)
    if reason == job.reason and job.is_infeasible == bool(reason):
        return
    job.is_infeasible = bool(reason)
    job.reason = reason
    state.settle(job, now)
    state.place_needed = True


def never_runs_reason(state: SchedulerState, job: Job) -> str:
    """Return why no task of the job can run as things are, or an empty text."""
    at_once = job.spec.tasks if job.is_gang else 1
    limits = state.accounts.account(job.team_id).limits
    ceiling = exceeded_ceiling(limits, at_once, job.amount * at_once)
    if ceiling:
        what = "the gang" if job.is_gang else "one task"
        return f"never runnable: {what} is above the team's ceiling of {ceiling}"
    if not state.ledger.workers_by_capacity:
        return ""
    slots = state.ledger.max_tasks(job.amount)
    if slots == 0:
        return "never runnable: one task is larger than every worker"
    if slots < at_once:
        return f"never runnable: the workers hold only {slots} of the gang's tasks"
    return ""
