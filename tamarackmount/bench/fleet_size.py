"""Size of the fleet and periods of the daemon that the capacity report is for."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class FleetSize:
    """A fleet and its load.

    ``entry_vms`` is the number per data centre. ``tasks`` is the number running at
    once, ``starts`` the task starts per second at peak. ``jobs``, ``config_changes``
    and ``replaced_vms`` are per day. ``entry_vms``, ``upstreams`` and
    ``tasks_per_job`` are assumptions, because no figures for them are given.
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
        """Number of entry VMs in the fleet."""
        return self.data_centres * self.entry_vms

    @property
    def documents(self) -> int:
        """Number of configuration documents."""
        return self.teams + self.queues

    @property
    def vms(self) -> int:
        """Number of VMs in the platform's list."""
        return self.workers + self.upstreams

    @property
    def workers_per_data_centre(self) -> float:
        """Mean number of workers in a data centre."""
        return self.workers / self.data_centres

    @property
    def tasks_per_worker(self) -> float:
        """Mean number of running tasks on a worker."""
        return self.tasks / self.workers

    @property
    def mean_jobs_per_second(self) -> float:
        """Mean job rate of the whole fleet over a day, in jobs per second."""
        return self.jobs / SECONDS_PER_DAY

    @property
    def peak_jobs_per_second(self) -> float:
        """Peak job rate of the whole fleet, in jobs per second."""
        return self.starts / self.tasks_per_job

    @property
    def vm_lifetime_days(self) -> float:
        """Mean time until a VM is replaced, in days."""
        return (self.vms + self.members) / self.replaced_vms

    @property
    def running_jobs(self) -> float:
        """Number of jobs running at once in the whole fleet."""
        return self.tasks / self.tasks_per_job

    @property
    def config_changes_per_second(self) -> float:
        """Mean configuration changes per second over a day."""
        return self.config_changes / SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class Budget:
    """The control budget of a node, which the users set.

    Control may use this many cores, bytes of memory, and bytes sent and received per
    second.
    """

    cores: float = 0.014
    memory_bytes: float = 256e6
    bytes_per_second: float = 18e3


@dataclass(frozen=True, slots=True)
class Periods:
    """Default periods of the daemon.

    ``job_memory_s`` is how long the records of ended jobs are kept;
    ``appends_per_second`` is the log's limit for the whole fleet.
    """

    tick_s: float
    log_poll_s: float
    vms_poll_s: float
    worker_sync_s: float
    job_memory_s: float
    appends_per_second: float
