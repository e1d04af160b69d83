"""The size of the fleet that the capacity page is worked out for."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class FleetSize:
    """A fleet and its load.

    ``entry_vms`` are those of one data centre. ``starts`` are task starts a second
    at the peak; ``jobs``, ``config_changes`` and ``replaced_vms`` are those of a day.
    ``entry_vms``, ``upstreams`` and ``tasks_per_job`` are assumptions, as no figure
    for them is given.
    """

    workers: int = 3_900
    data_centres: int = 11
    entry_vms: int = 8
    teams: int = 340
    queues: int = 4
    upstreams: int = 300
    jobs: int = 20_000
    tasks: int = 39_000
    tasks_per_job: int = 20
    starts: int = 1_000
    config_changes: int = 5_100
    replaced_vms: int = 280

    @property
    def members(self) -> int:
        """Entry VMs of the fleet."""
        return self.data_centres * self.entry_vms

    @property
    def documents(self) -> int:
        """Configuration documents."""
        return self.teams + self.queues

    @property
    def vms(self) -> int:
        """VMs in the platform's list."""
        return self.workers + self.upstreams

    @property
    def workers_here(self) -> float:
        """Workers of one data centre."""
        return self.workers / self.data_centres

    @property
    def tasks_per_worker(self) -> float:
        """Running tasks of one worker."""
        return self.tasks / self.workers

    @property
    def mean_jobs_per_second(self) -> float:
        """Jobs a second over a day, in the whole fleet."""
        return self.jobs / SECONDS_PER_DAY

    @property
    def peak_jobs_per_second(self) -> float:
        """Jobs a second at the peak, in the whole fleet."""
        return self.starts / self.tasks_per_job

    @property
    def vm_life_days(self) -> float:
        """Mean time for which a VM is left alone, in days."""
        return (self.vms + self.members) / self.replaced_vms

    @property
    def running_jobs(self) -> float:
        """Jobs that run at once, in the whole fleet."""
        return self.tasks / self.tasks_per_job

    @property
    def config_changes_per_second(self) -> float:
        """Configuration changes a second over a day."""
        return self.config_changes / SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class Budget:
    """What a node may spend on control: part of a core, bytes, and bytes a second."""

    cores: float = 0.014
    memory_bytes: float = 256e6
    bytes_per_second: float = 18e3


@dataclass(frozen=True, slots=True)
class Periods:
    """Periods of the daemon by default, in seconds, and its memory of ended jobs."""

    tick_s: float
    log_poll_s: float
    vms_poll_s: float
    worker_sync_s: float
    job_memory_s: float
    appends_per_second: float
