"""Job order by weighted dominant-resource fairness between teams."""

from tamarackmount.plugins.job_order import JOB_ORDERS, Rank, TeamJobUsage


class WeightedShares:
    """Prefers the team with the lowest weighted share.

    The jobs of one team are placed in order of acceptance.
    """

    def team_rank(self, usage: TeamJobUsage) -> Rank:
        """Return the weighted share, then the team's oldest waiting job."""
        return usage.weighted_share, usage.oldest_number

    def job_rank(self, accepted_number: int) -> Rank:
        """Return the acceptance number."""
        return (accepted_number,)


JOB_ORDERS.register("shares")(WeightedShares())
