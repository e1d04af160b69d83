"""Rates at a fleet's size, and measured lines read at it."""

from dataclasses import dataclass

from tamarackmount.bench.costs import Cost, Slopes
from tamarackmount.bench.fleet_size import FleetSize, Periods
from tamarackmount.bench.spending import Load


@dataclass(frozen=True, slots=True)
class Rates:
    """A fleet's size, the daemons' periods and what was measured."""

    size: FleetSize
    periods: Periods
    slopes: Slopes

    def jobs_per_second(self, load: Load) -> float:
        """Return the jobs a second of one data centre."""
        if load is Load.MEAN:
            return self.size.mean_jobs_per_second / self.size.data_centres
        if load is Load.PEAK:
            return self.size.peak_jobs_per_second / self.size.data_centres
        return self.size.peak_jobs_per_second

    def records_per_job(self, load: Load) -> float:
        """Return the records of one job.

        On an ordinary day every task ends at a moment of its own; at the peak the
        tasks of a job end together.
        """
        moments = self.size.tasks_per_job if load is Load.MEAN else 1
        return self.at(Cost.JOB_RECORDS, moments)

    def records_per_second(self, load: Load) -> float:
        """Return the job records a second of the whole fleet."""
        jobs = self.jobs_per_second(load) * self.size.data_centres
        return jobs * self.records_per_job(load)

    def held_jobs(self) -> float:
        """Return the jobs whose records a follower holds at the end of its life."""
        return self.jobs_a_day_here() * self.size.vm_life_days

    def at(self, cost: Cost, size: float) -> float:
        """Return the value of a measured line at a size."""
        return self.slopes[cost].at(size)

    def unit(self, cost: Cost) -> float:
        """Return the slope of a measured line."""
        return self.slopes[cost].per_unit

    def base(self, cost: Cost) -> float:
        """Return the value of a measured line at size 0."""
        return self.slopes[cost].base

    def jobs_a_day_here(self) -> float:
        """Return the jobs of one data centre in a day."""
        return self.size.jobs / self.size.data_centres

    def running_jobs_here(self) -> float:
        """Return the jobs that run at once in one data centre."""
        return self.size.running_jobs / self.size.data_centres
