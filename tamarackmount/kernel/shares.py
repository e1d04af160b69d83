"""What each team uses, its ceilings and its weighted dominant share."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackmount.ids import Instant, TaskId, TeamId
from tamarackmount.kernel.job_effects import TeamLimits
from tamarackmount.kernel.jobs import Attempt
from tamarackmount.resources import NOTHING, Resources

NO_LIMITS = TeamLimits()
"""Limits of a team that has no document."""


@dataclass(slots=True)
class TeamAccount:
    """One team's attempts, counted from their creation until they are over.

    Until ``uncertain_until`` a former owner's attempts may run unseen, so a
    ceiling cannot be kept by counting.
    """

    limits: TeamLimits = NO_LIMITS
    running_tasks: int = 0
    amount: Resources = NOTHING
    attempts_by_task: dict[TaskId, Attempt] = field(default_factory=dict)
    uncertain_until: Instant = Instant(float("-inf"))

    @property
    def has_ceiling(self) -> bool:
        """Tell whether anything of the team is limited."""
        limits = self.limits
        parts = (
            limits.running_tasks,
            limits.millicores,
            limits.memory_mib,
            limits.accelerators,
        )
        return any(part is not None for part in parts)


class TeamAccounts:
    """Accounts of all teams in one data centre."""

    def __init__(self) -> None:
        """Start with no usage and no limits."""
        self.accounts_by_team: dict[TeamId, TeamAccount] = {}
        self._limits_by_team: dict[TeamId, TeamLimits] = {}

    def account(self, team_id: TeamId) -> TeamAccount:
        """Return the account of a team, a new one if need be."""
        return self.accounts_by_team.setdefault(team_id, TeamAccount())

    def set_limits(self, limits_by_team: Mapping[TeamId, TeamLimits]) -> bool:
        """Replace the limits of all teams; tell whether that changes any."""
        if limits_by_team == self._limits_by_team:
            return False
        self._limits_by_team = dict(limits_by_team)
        for account in self.accounts_by_team.values():
            account.limits = NO_LIMITS
        for team_id, limits in limits_by_team.items():
            self.account(team_id).limits = limits
        return True

    def add(self, team_id: TeamId, amount: Resources) -> None:
        """Count one more running task."""
        account = self.account(team_id)
        account.running_tasks += 1
        account.amount = account.amount + amount

    def remove(self, team_id: TeamId, amount: Resources) -> None:
        """Count one running task less."""
        account = self.account(team_id)
        account.running_tasks -= 1
        account.amount = account.amount - amount

    def weighted_share(self, team_id: TeamId, total: Resources) -> float:
        """Return the team's largest part of ``total``, divided by its share."""
        account = self.account(team_id)
        used = account.amount
        parts = (
            _part(used.millicores, total.millicores),
            _part(used.memory_mib, total.memory_mib),
            _part(used.accelerators, total.accelerators),
        )
        return max(parts) / account.limits.share

    def refusal(
        self, team_id: TeamId, amount: Resources, count: int, now: Instant
    ) -> str:
        """Return why ``count`` more tasks break a ceiling, or an empty text."""
        account = self.account(team_id)
        if now < account.uncertain_until and account.has_ceiling:
            return "a former owner's tasks may still count towards the team's ceiling"
        tasks = account.running_tasks + count
        name = exceeded_ceiling(account.limits, tasks, account.amount + amount * count)
        return f"the team is at its ceiling of {name}" if name else ""


def exceeded_ceiling(limits: TeamLimits, tasks: int, amount: Resources) -> str:
    """Return the name of a ceiling that is exceeded, or an empty text."""
    pairs = (
        ("running tasks", tasks, limits.running_tasks),
        ("cores", amount.millicores, limits.millicores),
        ("memory", amount.memory_mib, limits.memory_mib),
        ("accelerators", amount.accelerators, limits.accelerators),
    )
    for name, used, limit in pairs:
        if limit is not None and used > limit:
            return name
    return ""


def _part(used: int, total: int) -> float:
    if used <= 0:
        return 0.0
    return used / total if total else 1.0
