"""Preemption of running task attempts of teams that exceed their ceilings."""

from dataclasses import dataclass

from tamarackmount.ids import Instant
from tamarackmount.kernel.jobs import Attempt, StopReason
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.shares import TeamAccount, exceeded_ceiling
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.resources import Resources


@dataclass(frozen=True, slots=True)
class _Remaining:
    """Usage of a team without the attempts that are already ending."""

    tasks: int
    amount: Resources


def enforce_all(state: SchedulerState, ends: TaskEnds, now: Instant) -> None:
    """Preempt attempts of every team that exceeds its ceilings."""
    for account in list(state.accounts.accounts_by_team.values()):
        enforce(account, ends, now)


def enforce(account: TeamAccount, ends: TaskEnds, now: Instant) -> None:
    """Preempt attempts of a team until it is within its ceilings.

    The cheapest to preempt go first: attempts of idempotent jobs, then those that are
    not urgent, those that belong to no gang, and the ones sent last.
    """
    if not _exceeds(account, _Remaining(account.running_tasks, account.amount)):
        return
    remaining = _remaining(account)
    live = [
        attempt for attempt in account.attempts_by_task.values() if not attempt.ending
    ]
    for attempt in sorted(live, key=_preemption_rank):
        if not _exceeds(account, remaining):
            return
        if attempt.ending:
            continue
        ends.preempt(attempt, StopReason.CEILING, now)
        if attempt.job.is_gang:
            remaining = _remaining(account)
        else:
            remaining = _Remaining(
                remaining.tasks - 1, remaining.amount - attempt.amount
            )


def _remaining(account: TeamAccount) -> _Remaining:
    tasks, amount = account.running_tasks, account.amount
    for attempt in account.attempts_by_task.values():
        if attempt.ending:
            tasks -= 1
            amount = amount - attempt.amount
    return _Remaining(tasks, amount)


def _exceeds(account: TeamAccount, remaining: _Remaining) -> bool:
    return bool(exceeded_ceiling(account.limits, remaining.tasks, remaining.amount))


def _preemption_rank(attempt: Attempt) -> tuple[bool, bool, bool, float]:
    job = attempt.job
    return not job.spec.idempotent, job.urgent, job.is_gang, -attempt.sent_at
