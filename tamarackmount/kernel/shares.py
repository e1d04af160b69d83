"""Usage, ceilings and weighted dominant share of each team."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackmount.ids import Instant, TaskId, WorkspaceId
from tamarackmount.kernel.job_effects import TeamLimits
from tamarackmount.kernel.jobs import Attempt
from tamarackmount.resources import NOTHING, Resources

NO_LIMITS = TeamLimits()
"""Limits of a team without a configuration document."""


@dataclass(slots=True)
class TeamAccount:
    """Limits and usage of one team.

    Attempts count from their creation until they have ended. Until
    ``uncertain_until``, attempts of a former owner may run without being counted, so
    no task of a team with a ceiling is placed. Attempts that exceed a ceiling by the
    counts are preempted all the same.
    """

    limits: TeamLimits = NO_LIMITS
    running_tasks: int = 0
    amount: Resources = NOTHING
    attempts_by_task: dict[TaskId, Attempt] = field(default_factory=dict)
    uncertain_until: Instant = Instant(float("-inf"))

    @property
    def has_ceiling(self) -> bool:
        """Whether the team has any ceiling."""
        limits = self.limits
        ceilings = (
            limits.running_tasks,
            limits.millicores,
            limits.memory_mib,
            limits.accelerators,
        )
        return any(ceiling is not None for ceiling in ceilings)


class TeamAccounts:
    """Accounts of all teams in one data centre."""

    def __init__(self) -> None:
        """Start without usage and limits."""
        self.accounts_by_team: dict[WorkspaceId, TeamAccount] = {}
        self._limits_by_team: dict[WorkspaceId, TeamLimits] = {}

    def account(self, team_id: WorkspaceId) -> TeamAccount:
        """Return the account of a team; create it if it does not exist."""
        return self.accounts_by_team.setdefault(team_id, TeamAccount())

    def set_limits(self, limits_by_team: Mapping[WorkspaceId, TeamLimits]) -> bool:
        """Replace the limits of all teams; return whether any has changed."""
        if limits_by_team == self._limits_by_team:
            return False
        self._limits_by_team = dict(limits_by_team)
        for account in self.accounts_by_team.values():
            account.limits = NO_LIMITS
        for team_id, limits in limits_by_team.items():
            self.account(team_id).limits = limits
        return True

    def add(self, team_id: WorkspaceId, amount: Resources) -> None:
        """Add a running task to the team's usage."""
        account = self.account(team_id)
        account.running_tasks += 1
        account.amount = account.amount + amount

    def remove(self, team_id: WorkspaceId, amount: Resources) -> None:
        """Remove a running task from the team's usage."""
        account = self.account(team_id)
        account.running_tasks -= 1
        account.amount = account.amount - amount

    def weighted_share(self, team_id: WorkspaceId, total: Resources) -> float:
        """Return the team's weighted dominant share.

        That is its largest fraction of any resource in ``total``, divided by the
        share in its configuration document.
        """
        account = self.account(team_id)
        used = account.amount
        fractions = (
            _fraction(used.millicores, total.millicores),
            _fraction(used.memory_mib, total.memory_mib),
            _fraction(used.accelerators, total.accelerators),
        )
        return max(fractions) / account.limits.share

    def refusal(
        self, team_id: WorkspaceId, amount: Resources, count: int, now: Instant
    ) -> str:
        """Return why ``count`` more tasks may exceed a ceiling, or an empty string."""
        account = self.account(team_id)
        if now < account.uncertain_until and account.has_ceiling:
            return "a former owner's tasks may still count towards the team's ceiling"
        tasks = account.running_tasks + count
        name = exceeded_ceiling(account.limits, tasks, account.amount + amount * count)
        return f"the tasks would exceed the team's ceiling of {name}" if name else ""


def exceeded_ceiling(limits: TeamLimits, tasks: int, amount: Resources) -> str:
    """Return the name of the first ceiling that is exceeded, or an empty string."""
    checks = (
        ("running tasks", tasks, limits.running_tasks),
        ("cores", amount.millicores, limits.millicores),
        ("memory", amount.memory_mib, limits.memory_mib),
        ("accelerators", amount.accelerators, limits.accelerators),
    )
    for name, used, limit in checks:
        if limit is not None and used > limit:
            return name
    return ""


def _fraction(used: int, total: int) -> float:
    if used <= 0:
        return 0.0
    return used / total if total else 1.0
