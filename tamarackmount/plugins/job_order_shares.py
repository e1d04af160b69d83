"""Weighted dominant-resource shares between teams, first come inside a team."""

from tamarackmount.plugins.job_order import JOB_ORDERS, Rank, TeamJobUsage


class WeightedShares:
    """The team that is furthest below its share goes first."""

    def team_rank(self, standing: TeamJobUsage) -> Rank:
        """Return the weighted share; equal ones go by the oldest job."""
        return standing.weighted_share, standing.oldest_number

    def job_rank(self, accepted_number: int) -> Rank:
        """Return the order of acceptance."""
        return (accepted_number,)


JOB_ORDERS.register("shares")(WeightedShares())
