"""Division of fleet-wide amounts over the data centres.

Every member computes the same division from the settings alone. So it needs no
messages, and the parts add up to the total even while data centres are cut off.
"""

from collections.abc import Sequence

from tamarackmount.ids import DataCentreId, WorkspaceId
from tamarackmount.kernel.membership import rank_by_hash


def allowance(
    total: int | None,
    team_id: WorkspaceId,
    data_centre: DataCentreId,
    data_centres: Sequence[DataCentreId],
) -> int | None:
    """Return a data centre's part of a team's fleet-wide amount.

    The remainder goes to data centres in an order that differs between teams.
    ``None`` means no limit in any data centre.
    """
    if total is None:
        return None
    quotient, remainder = divmod(total, len(data_centres))
    ranked = rank_by_hash(team_id, data_centres)
    extra = 1 if ranked.index(data_centre) < remainder else 0
    return quotient + extra
