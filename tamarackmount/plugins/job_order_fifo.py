"""First-come-first-served job order, a baseline to compare other orders with."""

from tamarackmount.plugins.job_order import JOB_ORDERS, Rank, TeamJobUsage


class FirstComeFirstServed:
    """Places jobs in order of acceptance, whatever their teams use."""

    def team_rank(self, usage: TeamJobUsage) -> Rank:
        """Return the acceptance number of the team's oldest waiting job."""
        return (usage.oldest_number,)

    def job_rank(self, accepted_number: int) -> Rank:
        """Return the acceptance number."""
        return (accepted_number,)


JOB_ORDERS.register("fifo")(FirstComeFirstServed())
