"""Rates of a fleet, and values of the measured lines at its size."""

from dataclasses import dataclass

from tamarackmount.bench.costs import Cost, MeasuredLines
from tamarackmount.bench.fleet_size import FleetSize, Periods
from tamarackmount.bench.resource_usage import Load


@dataclass(frozen=True, slots=True)
class Rates:
    """Computes rates from a fleet's size, the daemons' periods and the measurements."""

    size: FleetSize
    periods: Periods
    measured_lines: MeasuredLines

    def jobs_per_second(self, load: Load) -> float:
        """Return the job rate of one data centre, in jobs per second."""
        if load is Load.MEAN:
            return self.size.mean_jobs_per_second / self.size.data_centres
        if load is Load.PEAK:
            return self.size.peak_jobs_per_second / self.size.data_centres
        return self.size.peak_jobs_per_second

    def records_per_job(self, load: Load) -> float:
        """Return the number of records of one job.

        The mean load assumes that every task ends at a different time, the peak that
        all tasks of a job end together.
        """
        end_moments = self.size.tasks_per_job if load is Load.MEAN else 1
        return self.at(Cost.JOB_RECORDS, end_moments)

    def records_per_second(self, load: Load) -> float:
        """Return the job record rate of the whole fleet, in records per second."""
        jobs = self.jobs_per_second(load) * self.size.data_centres
        return jobs * self.records_per_job(load)

    def stored_jobs(self) -> float:
        """Return the number of jobs whose records a follower stores when replaced."""
        return self.jobs_per_day_per_data_centre() * self.size.vm_lifetime_days

    def at(self, cost: Cost, size: float) -> float:
        """Return the value of a measured line at a size."""
        return self.measured_lines[cost].at(size)

    def unit(self, cost: Cost) -> float:
        """Return the slope of a measured line."""
        return self.measured_lines[cost].per_unit

    def base(self, cost: Cost) -> float:
        """Return the value of a measured line at size 0."""
        return self.measured_lines[cost].base

    def jobs_per_day_per_data_centre(self) -> float:
        """Return the number of jobs per day in one data centre."""
        return self.size.jobs / self.size.data_centres

    def running_jobs_per_data_centre(self) -> float:
        """Return the number of jobs running at once in one data centre."""
        return self.size.running_jobs / self.size.data_centres
