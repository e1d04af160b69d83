"""Plain baseline: jobs in the order of acceptance, whatever their team uses."""

from tamarackmount.plugins.job_order import JOB_ORDERS, Rank, TeamJobUsage


class FirstComeFirstServed:
    """The team with the oldest waiting job goes first."""

    def team_rank(self, standing: TeamJobUsage) -> Rank:
        """Return the age of the team's oldest waiting job."""
        return (standing.oldest_number,)

    def job_rank(self, accepted_number: int) -> Rank:
        """Return the order of acceptance."""
        return (accepted_number,)


JOB_ORDERS.register("fifo")(FirstComeFirstServed())
