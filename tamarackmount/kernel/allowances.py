"""Division of fleet-wide amounts over the data centres.

Every member divides in the same way, from the settings alone, so that no message
is needed and the parts add up to the whole whichever data centres are cut off.
"""

from collections.abc import Sequence

from tamarackmount.ids import DataCentreId, TeamId
from tamarackmount.kernel.membership import rank_by_hash


def allowance(
    total: int | None,
    team_id: TeamId,
    data_centre: DataCentreId,
    data_centres: Sequence[DataCentreId],
) -> int | None:
    """Return a data centre's part of a team's fleet-wide amount.

    What doesn't divide evenly goes to data centres in an order that differs from
    team to team. ``None`` means no limit, everywhere.
    """
    if total is None:
        return None
    even, left_over = divmod(total, len(data_centres))
    ranked = rank_by_hash(team_id, data_centres)
    extra = 1 if ranked.index(data_centre) < left_over else 0
    return even + extra
