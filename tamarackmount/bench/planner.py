"""Computes what each role uses at a fleet's size, from the measured lines.

``Cost.HEARTBEAT_FRAMES`` stands for the cost of sending and receiving any small peer
message, and ``Cost.LOG_POLL`` at size 0 for that of any small HTTP call.
"""

from dataclasses import dataclass

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import SECONDS_PER_DAY, Budget
from tamarackmount.bench.rates import Rates
from tamarackmount.bench.resource_usage import Load, Plan, ResourceUsage, Role, Total
from tamarackmount.kernel.fleet_config import HISTORY_LENGTH
from tamarackmount.kernel.job_part import RECORDS_PER_MESSAGE

REQUESTS_PER_SECOND = 1_000
"""Request rate for which the usages of the serving roles are computed."""

FRAMES_PER_REQUEST = 1.5
"""Pairs of one sent and one received message per request, which has three messages."""

DEDUP_ENTRIES = 10_000
"""Number of non-idempotent requests in the members' dedup tables at a takeover."""


@dataclass(frozen=True, slots=True)
class Planner(Rates):
    """Computes the usages and totals of a fleet."""

    budget: Budget = Budget()

    def plan(self) -> Plan:
        """Return all usages and the totals."""
        usages = (
            *self.every_entry_vm(),
            *self.owner(),
            *self.serving(),
            *self.log_service(),
            *self.takeover(),
            *self.snapshots(),
        )
        return Plan(usages, self._totals(usages))

    def every_entry_vm(self) -> list[ResourceUsage]:
        """Return what every entry VM uses as a member of the fleet."""
        return [
            self._process(),
            self._daemon_overhead(),
            self._heartbeats(),
            self._ticks(),
            self._log_polls(),
            self._vm_list(),
            self._config(),
            self._log_records(Load.MEAN, self.records_per_second(Load.MEAN)),
            self._log_records(Load.PEAK, self.records_per_second(Load.PEAK)),
        ]

    def owner(self) -> list[ResourceUsage]:
        """Return what the owner of a data centre uses in addition."""
        usages = [self._worker_list(), self._syncs()]
        for load in (Load.MEAN, Load.PEAK, Load.PEAK_IN_ONE_DATA_CENTRE):
            usages += self._job_work(load)
        return usages

    def serving(self) -> list[ResourceUsage]:
        """Return what the ticket messages of callers' requests use."""
        frames = self.unit(Cost.HEARTBEAT_FRAMES) * FRAMES_PER_REQUEST
        messages = REQUESTS_PER_SECOND * self.unit(Cost.REQUEST_MESSAGES)
        size = REQUESTS_PER_SECOND * self.unit(Cost.REQUEST_BYTES)
        entry = REQUESTS_PER_SECOND * (self.unit(Cost.ENTRY_REQUEST) + frames)
        owner = REQUESTS_PER_SECOND * (self.unit(Cost.OWNER_REQUEST) + frames)
        item = "tickets"
        return [
            ResourceUsage(Role.SERVING, Load.ALWAYS, item, messages, entry, size),
            ResourceUsage(Role.OWNER_SERVING, Load.ALWAYS, item, messages, owner, size),
        ]

    def log_service(self) -> list[ResourceUsage]:
        """Return the load of all members on the log."""
        return [self._log_load(load) for load in (Load.MEAN, Load.PEAK)]

    def takeover(self) -> list[ResourceUsage]:
        """Return what a new owner uses to read from all peers and restore jobs."""
        peers = self.size.entry_vms - 1
        days = self.periods.job_memory_s / SECONDS_PER_DAY
        needed = (
            self.jobs_per_day_per_data_centre() * days
            + self.running_jobs_per_data_centre()
        )
        return [
            self._records_read("records that are needed", peers, needed),
            self._records_restored("records that are needed", Cost.RESTORE, needed),
            self._records_read("records of a VM's lifetime", peers, self.stored_jobs()),
            self._records_restored(
                "records of a VM's lifetime", Cost.RESTORE_MANY, self.stored_jobs()
            ),
            ResourceUsage(
                Role.TAKEOVER,
                Load.ALWAYS,
                f"holdings with {DEDUP_ENTRIES:,} attempts",
                messages=2.0 * peers,
                cores=peers * self.at(Cost.HOLDINGS, DEDUP_ENTRIES),
                bytes=peers * self.at(Cost.HOLDINGS_BYTES, DEDUP_ENTRIES),
            ),
        ]

    def snapshots(self) -> list[ResourceUsage]:
        """Return what writing the fleet's snapshots uses, without reading them."""
        written = self.at(Cost.SNAPSHOTS, self.size.data_centres)
        size = self.at(Cost.SNAPSHOT_BYTES, self.size.documents)
        item = f"snapshots with {self.size.documents} documents"
        return [
            ResourceUsage(
                Role.SNAPSHOT, Load.ALWAYS, item, written, bytes=written * size
            )
        ]

    def _process(self) -> ResourceUsage:
        stored_bytes = self.stored_jobs() * self.unit(Cost.HELD_MEMORY)
        base = self.at(Cost.PROCESS_MEMORY, self.size.entry_vms)
        return ResourceUsage(
            Role.EVERY_ENTRY_VM,
            Load.ALWAYS,
            "process, and records stored at the end of a VM's lifetime",
            memory_bytes=base + stored_bytes,
        )

    def _daemon_overhead(self) -> ResourceUsage:
        """Return what an idle daemon uses beyond its separately measured parts."""
        members = self.size.entry_vms
        sent = self.at(Cost.HEARTBEATS_LOCAL, members)
        receive_cpu_s = self.at(Cost.HEARTBEAT_HEARD, members)
        call = self.base(Cost.LOG_POLL)
        parts = (
            sent * (self.unit(Cost.HEARTBEAT_FRAMES) + receive_cpu_s),
            self.at(Cost.TICK, members) / self.periods.tick_s,
            call / self.periods.log_poll_s,
            call / self.periods.vms_poll_s,
        )
        return ResourceUsage(
            Role.EVERY_ENTRY_VM,
            Load.ALWAYS,
            "rest of the daemon: reactor, timers, garbage collection",
            cores=self.at(Cost.DAEMON_CPU, members) - sum(parts),
        )

    def _heartbeats(self) -> ResourceUsage:
        # ``Cost.HEARTBEATS`` is measured with 8 members in each data centre
        # (``ENTRY_VMS`` in ``measure_members``).
        extra_members = self.size.entry_vms - 8
        sent = self.at(Cost.HEARTBEATS, self.size.data_centres)
        sent += extra_members * self.unit(Cost.HEARTBEATS_LOCAL)
        receive_cpu_s = self.at(Cost.HEARTBEAT_HEARD, self.size.members)
        return ResourceUsage(
            Role.EVERY_ENTRY_VM,
            Load.ALWAYS,
            "heartbeats",
            messages=2 * sent,
            cores=sent * (self.unit(Cost.HEARTBEAT_FRAMES) + receive_cpu_s),
            bytes=2 * sent * self.unit(Cost.HEARTBEAT_BYTES),
        )

    def _ticks(self) -> ResourceUsage:
        cores = self.at(Cost.TICK, self.size.members) / self.periods.tick_s
        return ResourceUsage(Role.EVERY_ENTRY_VM, Load.ALWAYS, "ticks", cores=cores)

    def _log_polls(self) -> ResourceUsage:
        rate = 1 / self.periods.log_poll_s
        return ResourceUsage(
            Role.EVERY_ENTRY_VM,
            Load.ALWAYS,
            "empty reads of the log",
            messages=2 * rate,
            cores=rate * self.base(Cost.LOG_POLL),
            bytes=rate * self.base(Cost.LOG_POLL_BYTES),
        )

    def _vm_list(self) -> ResourceUsage:
        rate = 1 / self.periods.vms_poll_s
        cpu = self.base(Cost.LOG_POLL) + self.at(Cost.VM_LIST, self.size.vms)
        size = self.at(Cost.VM_LIST_BYTES, self.size.vms)
        size += self.base(Cost.LOG_POLL_BYTES)
        return ResourceUsage(
            Role.EVERY_ENTRY_VM,
            Load.ALWAYS,
            "VM list",
            messages=2 * rate,
            cores=rate * cpu,
            bytes=rate * size,
        )

    def _config(self) -> ResourceUsage:
        rate = self.size.config_changes_per_second
        documents = self.size.documents
        read = self.unit(Cost.LOG_POLL) + self.at(Cost.CONFIG_CHANGE, documents)
        history = self.unit(Cost.CONFIG_HISTORY) * HISTORY_LENGTH * documents
        return ResourceUsage(
            Role.EVERY_ENTRY_VM,
            Load.ALWAYS,
            "configuration",
            messages=rate,
            cores=rate * read,
            bytes=rate * self.unit(Cost.LOG_POLL_BYTES),
            memory_bytes=self.at(Cost.CONFIG_MEMORY, documents) + history,
        )

    def _log_records(self, load: Load, rate: float) -> ResourceUsage:
        cpu = self.unit(Cost.LOG_POLL) + self.unit(Cost.LOG_RECORD)
        return ResourceUsage(
            Role.EVERY_ENTRY_VM,
            load,
            "job records of the whole fleet, read from the log",
            messages=rate,
            cores=rate * cpu,
            bytes=rate * self.unit(Cost.LOG_POLL_BYTES),
        )

    def _worker_list(self) -> ResourceUsage:
        cpu = self.at(Cost.VM_LIST_OWNER, self.size.workers_per_data_centre)
        return ResourceUsage(
            Role.OWNER,
            Load.ALWAYS,
            "workers of its data centre in the VM list",
            cores=cpu / self.periods.vms_poll_s,
        )

    def _syncs(self) -> ResourceUsage:
        rate = self.size.workers_per_data_centre / self.periods.worker_sync_s
        tasks = self.size.tasks_per_worker
        cpu = self.at(Cost.SYNC_KERNEL, tasks) + self.at(Cost.HTTP_SYNC, tasks)
        jobs = self.running_jobs_per_data_centre() * self.unit(Cost.CELL_MEMORY)
        workers = self.size.workers_per_data_centre * self.unit(Cost.WORKER_MEMORY)
        return ResourceUsage(
            Role.OWNER,
            Load.ALWAYS,
            "syncs with its workers",
            messages=2 * rate,
            cores=rate * cpu,
            bytes=rate * self.at(Cost.HTTP_SYNC_BYTES, tasks),
            memory_bytes=jobs + workers,
        )

    def _job_work(self, load: Load) -> list[ResourceUsage]:
        jobs = self.jobs_per_second(load)
        starts = jobs * self.size.tasks_per_job
        job_cpu_s = self.at(Cost.JOB_LIFE, self.size.tasks_per_job)
        records = jobs * self.records_per_job(load)
        copies = records * (self.size.entry_vms - 1)
        one_record, no_records = (
            self.at(Cost.COPY_BYTES, 1),
            self.at(Cost.COPY_BYTES, 0),
        )
        limit = self.periods.appends_per_second / self.size.members
        appends = min(records, limit)
        return [
            ResourceUsage(
                Role.OWNER,
                load,
                f"{starts:,.1f} task starts a second",
                messages=2 * starts,
                cores=jobs * job_cpu_s + starts * self.unit(Cost.HTTP_START),
                bytes=starts * self.unit(Cost.HTTP_START_BYTES),
            ),
            ResourceUsage(
                Role.OWNER,
                load,
                "copies of job records to its peers",
                messages=2 * copies,
                cores=copies * self.at(Cost.FRAME, 1),
                bytes=copies * (one_record + no_records),
            ),
            ResourceUsage(
                Role.OWNER,
                load,
                "appends to the log",
                messages=2 * appends,
                cores=appends * self.base(Cost.LOG_POLL),
                bytes=records * self.unit(Cost.LOG_POLL_BYTES),
            ),
        ]

    def _log_load(self, load: Load) -> ResourceUsage:
        records = self.records_per_second(load)
        limit = self.periods.appends_per_second / self.size.members
        per_owner = min(records / self.size.data_centres, limit)
        changes = self.size.config_changes_per_second
        polls = self.size.members / self.periods.log_poll_s
        record_bytes = self.unit(Cost.LOG_POLL_BYTES)
        read_bytes = polls * self.base(Cost.LOG_POLL_BYTES)
        read_bytes += (records + changes) * record_bytes * self.size.members
        appends = per_owner * self.size.data_centres + changes
        return ResourceUsage(
            Role.LOG,
            load,
            f"{appends:,.1f} appends with {records + changes:,.1f} records, "
            f"{polls:,.0f} reads",
            messages=2 * (appends + polls),
            bytes=read_bytes + (records + changes) * record_bytes,
        )

    def _records_read(self, item: str, peers: int, jobs: float) -> ResourceUsage:
        return ResourceUsage(
            Role.TAKEOVER,
            Load.ALWAYS,
            f"reading {item}, {jobs:,.0f} jobs from every peer",
            messages=peers * (1 + jobs / RECORDS_PER_MESSAGE),
            cores=peers * self.at(Cost.TAKEOVER, jobs),
            bytes=peers * self.at(Cost.TAKEOVER_BYTES, jobs),
        )

    def _records_restored(self, item: str, cost: Cost, jobs: float) -> ResourceUsage:
        return ResourceUsage(
            Role.TAKEOVER,
            Load.ALWAYS,
            f"restoring {item}, in one step",
            cores=self.at(cost, jobs),
        )

    def _totals(self, usages: tuple[ResourceUsage, ...]) -> tuple[Total, ...]:
        def select(role: Role, *loads: Load) -> list[ResourceUsage]:
            return [
                usage for usage in usages if usage.role is role and usage.load in loads
            ]

        always = select(Role.EVERY_ENTRY_VM, Load.ALWAYS)
        owner = always + select(Role.OWNER, Load.ALWAYS)
        mean, peak = (Load.ALWAYS, Load.MEAN), (Load.ALWAYS, Load.PEAK)
        owner_mean = select(Role.EVERY_ENTRY_VM, *mean) + select(Role.OWNER, *mean)
        owner_peak = select(Role.EVERY_ENTRY_VM, *peak) + select(Role.OWNER, *peak)
        peak_in_one_data_centre = (Load.ALWAYS, Load.PEAK_IN_ONE_DATA_CENTRE)
        return (
            self.total("entry VM, no work in the fleet", always),
            self.total("entry VM, mean of a day", select(Role.EVERY_ENTRY_VM, *mean)),
            self.total("entry VM, peak", select(Role.EVERY_ENTRY_VM, *peak)),
            self.total("owner, no work in the fleet", owner),
            self.total("owner, mean of a day", owner_mean),
            self.total("owner, peak", owner_peak),
            self.total(
                "owner, peak in one data centre",
                select(Role.EVERY_ENTRY_VM, *peak)
                + select(Role.OWNER, *peak_in_one_data_centre),
            ),
        )

    def total(self, name: str, usages: list[ResourceUsage]) -> Total:
        """Return the sum of usages, and its ratio to the budget."""
        cores = sum(usage.cores for usage in usages)
        size = sum(usage.bytes for usage in usages)
        memory = sum(usage.memory_bytes for usage in usages)
        budget = self.budget
        return Total(
            name,
            cores,
            size,
            memory,
            cores_of_budget=cores / budget.cores,
            bytes_of_budget=size / budget.bytes_per_second,
            memory_of_budget=memory / budget.memory_bytes,
        )
