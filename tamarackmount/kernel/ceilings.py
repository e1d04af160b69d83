"""Brings teams down to ceilings that were lowered."""

from dataclasses import dataclass

from tamarackmount.ids import Instant
from tamarackmount.kernel.jobs import Attempt, StopReason
from tamarackmount.kernel.scheduler_state import SchedulerState
from tamarackmount.kernel.shares import TeamAccount, exceeded_ceiling
from tamarackmount.kernel.task_ends import TaskEnds
from tamarackmount.resources import Resources


@dataclass(frozen=True, slots=True)
class _Remaining:
    """What a team still has once all that is ending has ended."""

    tasks: int
    amount: Resources


def enforce_all(state: SchedulerState, ends: TaskEnds, now: Instant) -> None:
    """Evict what every team has running above its ceilings."""
    for account in list(state.accounts.accounts_by_team.values()):
        enforce(account, ends, now)


def enforce(account: TeamAccount, ends: TaskEnds, now: Instant) -> None:
    """Evict the cheapest attempts until the rest is within the ceilings."""
    if not _exceeds(account, _Remaining(account.running_tasks, account.amount)):
        return
    rest = _remaining(account)
    live = [one for one in account.attempts_by_task.values() if not one.ending]
    for attempt in sorted(live, key=_eviction_rank):
        if not _exceeds(account, rest):
            return
        if attempt.ending:
            continue
        ends.evict(attempt, StopReason.CEILING, now)
        if attempt.job.is_gang:
            rest = _remaining(account)
        else:
            rest = _Remaining(rest.tasks - 1, rest.amount - attempt.amount)


def _remaining(account: TeamAccount) -> _Remaining:
    tasks, amount = account.running_tasks, account.amount
    for attempt in account.attempts_by_task.values():
        if attempt.ending:
            tasks -= 1
            amount = amount - attempt.amount
    return _Remaining(tasks, amount)


def _exceeds(account: TeamAccount, rest: _Remaining) -> bool:
    return bool(exceeded_ceiling(account.limits, rest.tasks, rest.amount))


def _eviction_rank(attempt: Attempt) -> tuple[bool, bool, bool, float]:
    job = attempt.job
    return not job.spec.idempotent, job.urgent, job.is_gang, -attempt.sent_at
