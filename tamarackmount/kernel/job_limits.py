"""Computes the shares and ceilings of teams in one data centre."""

from collections.abc import Mapping, Sequence

from tamarackmount.documents import TeamDocument
from tamarackmount.ids import DataCentreId, WorkspaceId
from tamarackmount.kernel.allowances import allowance
from tamarackmount.kernel.directory import Directory
from tamarackmount.kernel.job_effects import TeamLimits

MILLICORES_PER_CORE = 1_000
MIB_PER_GIB = 1_024


def job_limits(
    directory: Directory, data_centre: DataCentreId, all_centres: Sequence[DataCentreId]
) -> Mapping[WorkspaceId, TeamLimits]:
    """Return the limits of every team in a data centre.

    A team's ceilings are divided among all data centres.
    """
    return {
        team_id: _limits_of(team_id, document, data_centre, all_centres)
        for team_id, document in directory.teams_by_id.items()
    }


def _limits_of(
    team_id: WorkspaceId,
    document: TeamDocument,
    data_centre: DataCentreId,
    all_centres: Sequence[DataCentreId],
) -> TeamLimits:
    ceiling = document.ceiling

    def local_limit(total: int | None, unit: int) -> int | None:
        amount = None if total is None else total * unit
        return allowance(amount, team_id, data_centre, all_centres)

    return TeamLimits(
        share=document.share,
        running_tasks=local_limit(ceiling.running_tasks, 1),
        millicores=local_limit(ceiling.cores, MILLICORES_PER_CORE),
        memory_mib=local_limit(ceiling.memory_gib, MIB_PER_GIB),
        accelerators=local_limit(ceiling.accelerators, 1),
    )
