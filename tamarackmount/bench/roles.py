"""What each role spends at a fleet's size, worked out from measured slopes."""

from dataclasses import dataclass

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.fleet_size import SECONDS_PER_DAY, Budget
from tamarackmount.bench.rates import Rates
from tamarackmount.bench.spending import Load, Plan, Role, Spending, Total
from tamarackmount.kernel.fleet_config import HISTORY_LENGTH
from tamarackmount.kernel.job_part import RECORDS_PER_MESSAGE

REQUESTS = 1_000
"""Requests a second that the lines of serving roles are for."""

FRAMES_PER_REQUEST = 1.5
"""Pairs of a message sent and one received, of three messages a request."""

ATTEMPTS_REMEMBERED = 10_000
"""Non-idempotent requests that the members remember at a takeover."""


@dataclass(frozen=True, slots=True)
class Planner(Rates):
    """Works out a plan."""

    budget: Budget = Budget()

    def plan(self) -> Plan:
        """Return every line and the totals."""
        spendings = (
            *self.every_entry_vm(),
            *self.owner(),
            *self.serving(),
            *self.log_service(),
            *self.takeover(),
            *self.snapshots(),
        )
        return Plan(spendings, self._totals(spendings))

    def every_entry_vm(self) -> list[Spending]:
        """Return what belonging to the fleet costs."""
        return [
            self._process(),
            self._rest_of_daemon(),
            self._heartbeats(),
            self._ticks(),
            self._log_polls(),
            self._vm_list(),
            self._config(),
            self._log_records(Load.MEAN, self.records_per_second(Load.MEAN)),
            self._log_records(Load.PEAK, self.records_per_second(Load.PEAK)),
        ]

    def owner(self) -> list[Spending]:
        """Return what owning a data centre costs besides."""
        lines = [self._worker_list(), self._syncs()]
        for load in (Load.MEAN, Load.PEAK, Load.PEAK_HERE):
            lines += self._job_work(load)
        return lines

    def serving(self) -> list[Spending]:
        """Return the ticket traffic of callers' requests."""
        frames = self.unit(Cost.HEARTBEAT_FRAMES) * FRAMES_PER_REQUEST
        messages = REQUESTS * self.unit(Cost.REQUEST_MESSAGES)
        size = REQUESTS * self.unit(Cost.REQUEST_BYTES)
        entry = REQUESTS * (self.unit(Cost.ENTRY_REQUEST) + frames)
        owner = REQUESTS * (self.unit(Cost.OWNER_REQUEST) + frames)
        item = "tickets"
        return [
            Spending(Role.SERVING, Load.ALWAYS, item, messages, entry, size),
            Spending(Role.OWNER_SERVING, Load.ALWAYS, item, messages, owner, size),
        ]

    def log_service(self) -> list[Spending]:
        """Return what all members together ask of the log."""
        return [self._log_load(load) for load in (Load.MEAN, Load.PEAK)]

    def takeover(self) -> list[Spending]:
        """Return what a new owner reads from its peers, all of them together."""
        peers = self.size.entry_vms - 1
        days = self.periods.job_memory_s / SECONDS_PER_DAY
        needed = self.jobs_a_day_here() * days + self.running_jobs_here()
        return [
            self._records_taken("records that are needed", peers, needed),
            self._restored("records that are needed", Cost.RESTORE, needed),
            self._records_taken("records of a VM's life", peers, self.held_jobs()),
            self._restored(
                "records of a VM's life", Cost.RESTORE_MANY, self.held_jobs()
            ),
            Spending(
                Role.TAKEOVER,
                Load.ALWAYS,
                f"holdings with {ATTEMPTS_REMEMBERED:,} attempts",
                messages=2.0 * peers,
                cores=peers * self.at(Cost.HOLDINGS, ATTEMPTS_REMEMBERED),
                bytes=peers * self.at(Cost.HOLDINGS_BYTES, ATTEMPTS_REMEMBERED),
            ),
        ]

    def snapshots(self) -> list[Spending]:
        """Return the snapshots written at one time, without the reads of them."""
        written = self.at(Cost.SNAPSHOTS, self.size.data_centres)
        size = self.at(Cost.SNAPSHOT_BYTES, self.size.documents)
        item = f"snapshots with {self.size.documents} documents"
        return [
            Spending(Role.SNAPSHOT, Load.ALWAYS, item, written, bytes=written * size)
        ]

    def _process(self) -> Spending:
        held = self.held_jobs() * self.unit(Cost.HELD_MEMORY)
        base = self.at(Cost.PROCESS_MEMORY, self.size.entry_vms)
        return Spending(
            Role.EVERY,
            Load.ALWAYS,
            "process, and records held at the end of a VM's life",
            memory_bytes=base + held,
        )

    def _rest_of_daemon(self) -> Spending:
        """Return what a whole idle daemon uses beyond the parts measured alone."""
        members = self.size.entry_vms
        sent = self.at(Cost.HEARTBEATS_LOCAL, members)
        heard = self.at(Cost.HEARTBEAT_HEARD, members)
        call = self.base(Cost.LOG_POLL)
        parts = (
            sent * (self.unit(Cost.HEARTBEAT_FRAMES) + heard),
            self.at(Cost.TICK, members) / self.periods.tick_s,
            call / self.periods.log_poll_s,
            call / self.periods.vms_poll_s,
        )
        return Spending(
            Role.EVERY,
            Load.ALWAYS,
            "rest of the daemon: reactor, timers, garbage collection",
            cores=self.at(Cost.DAEMON_CPU, members) - sum(parts),
        )

    def _heartbeats(self) -> Spending:
        more = self.size.entry_vms - 8
        sent = self.at(Cost.HEARTBEATS, self.size.data_centres)
        sent += more * self.unit(Cost.HEARTBEATS_LOCAL)
        heard = self.at(Cost.HEARTBEAT_HEARD, self.size.members)
        return Spending(
            Role.EVERY,
            Load.ALWAYS,
            "heartbeats",
            messages=2 * sent,
            cores=sent * (self.unit(Cost.HEARTBEAT_FRAMES) + heard),
            bytes=2 * sent * self.unit(Cost.HEARTBEAT_BYTES),
        )

    def _ticks(self) -> Spending:
        cores = self.at(Cost.TICK, self.size.members) / self.periods.tick_s
        return Spending(Role.EVERY, Load.ALWAYS, "ticks", cores=cores)

    def _log_polls(self) -> Spending:
        rate = 1 / self.periods.log_poll_s
        return Spending(
            Role.EVERY,
            Load.ALWAYS,
            "empty reads of the log",
            messages=2 * rate,
            cores=rate * self.base(Cost.LOG_POLL),
            bytes=rate * self.base(Cost.LOG_POLL_BYTES),
        )

    def _vm_list(self) -> Spending:
        rate = 1 / self.periods.vms_poll_s
        cpu = self.base(Cost.LOG_POLL) + self.at(Cost.VM_LIST, self.size.vms)
        size = self.at(Cost.VM_LIST_BYTES, self.size.vms)
        size += self.base(Cost.LOG_POLL_BYTES)
        return Spending(
            Role.EVERY,
            Load.ALWAYS,
            "VM list",
            messages=2 * rate,
            cores=rate * cpu,
            bytes=rate * size,
        )

    def _config(self) -> Spending:
        rate = self.size.config_changes_per_second
        documents = self.size.documents
        read = self.unit(Cost.LOG_POLL) + self.at(Cost.CONFIG_CHANGE, documents)
        history = self.unit(Cost.CONFIG_HISTORY) * HISTORY_LENGTH * documents
        return Spending(
            Role.EVERY,
            Load.ALWAYS,
            "configuration",
            messages=rate,
            cores=rate * read,
            bytes=rate * self.unit(Cost.LOG_POLL_BYTES),
            memory_bytes=self.at(Cost.CONFIG_MEMORY, documents) + history,
        )

    def _log_records(self, load: Load, rate: float) -> Spending:
        cpu = self.unit(Cost.LOG_POLL) + self.unit(Cost.LOG_RECORD)
        return Spending(
            Role.EVERY,
            load,
            "job records of the whole fleet, read from the log",
            messages=rate,
            cores=rate * cpu,
            bytes=rate * self.unit(Cost.LOG_POLL_BYTES),
        )

    def _worker_list(self) -> Spending:
        cpu = self.at(Cost.VM_LIST_OWNER, self.size.workers_here)
        return Spending(
            Role.OWNER,
            Load.ALWAYS,
            "its workers of the VM list",
            cores=cpu / self.periods.vms_poll_s,
        )

    def _syncs(self) -> Spending:
        rate = self.size.workers_here / self.periods.worker_sync_s
        tasks = self.size.tasks_per_worker
        cpu = self.at(Cost.SYNC_KERNEL, tasks) + self.at(Cost.HTTP_SYNC, tasks)
        jobs = self.running_jobs_here() * self.unit(Cost.CELL_MEMORY)
        workers = self.size.workers_here * self.unit(Cost.WORKER_MEMORY)
        return Spending(
            Role.OWNER,
            Load.ALWAYS,
            "syncs with its workers",
            messages=2 * rate,
            cores=rate * cpu,
            bytes=rate * self.at(Cost.HTTP_SYNC_BYTES, tasks),
            memory_bytes=jobs + workers,
        )

    def _job_work(self, load: Load) -> list[Spending]:
        jobs = self.jobs_per_second(load)
        starts = jobs * self.size.tasks_per_job
        life = self.at(Cost.JOB_LIFE, self.size.tasks_per_job)
        records = jobs * self.records_per_job(load)
        copies = records * (self.size.entry_vms - 1)
        one, empty = self.at(Cost.COPY_BYTES, 1), self.at(Cost.COPY_BYTES, 0)
        limit = self.periods.appends_per_second / self.size.members
        appends = min(records, limit)
        return [
            Spending(
                Role.OWNER,
                load,
                f"{starts:,.1f} task starts a second",
                messages=2 * starts,
                cores=jobs * life + starts * self.unit(Cost.HTTP_START),
                bytes=starts * self.unit(Cost.HTTP_START_BYTES),
            ),
            Spending(
                Role.OWNER,
                load,
                "copies of job records to its peers",
                messages=2 * copies,
                cores=copies * self.at(Cost.FRAME, 1),
                bytes=copies * (one + empty),
            ),
            Spending(
                Role.OWNER,
                load,
                "appends to the log",
                messages=2 * appends,
                cores=appends * self.base(Cost.LOG_POLL),
                bytes=records * self.unit(Cost.LOG_POLL_BYTES),
            ),
        ]

    def _log_load(self, load: Load) -> Spending:
        records = self.records_per_second(load)
        limit = self.periods.appends_per_second / self.size.members
        per_owner = min(records / self.size.data_centres, limit)
        changes = self.size.config_changes_per_second
        polls = self.size.members / self.periods.log_poll_s
        one = self.unit(Cost.LOG_POLL_BYTES)
        read = polls * self.base(Cost.LOG_POLL_BYTES)
        read += (records + changes) * one * self.size.members
        appends = per_owner * self.size.data_centres + changes
        return Spending(
            Role.LOG,
            load,
            f"{appends:,.1f} appends with {records + changes:,.1f} records, "
            f"{polls:,.0f} reads",
            messages=2 * (appends + polls),
            bytes=read + (records + changes) * one,
        )

    def _records_taken(self, item: str, peers: int, jobs: float) -> Spending:
        return Spending(
            Role.TAKEOVER,
            Load.ALWAYS,
            f"reading {item}, {jobs:,.0f} jobs from every peer",
            messages=peers * (1 + jobs / RECORDS_PER_MESSAGE),
            cores=peers * self.at(Cost.TAKEOVER, jobs),
            bytes=peers * self.at(Cost.TAKEOVER_BYTES, jobs),
        )

    def _restored(self, item: str, cost: Cost, jobs: float) -> Spending:
        return Spending(
            Role.TAKEOVER,
            Load.ALWAYS,
            f"restoring {item}, in one step",
            cores=self.at(cost, jobs),
        )

    def _totals(self, spendings: tuple[Spending, ...]) -> tuple[Total, ...]:
        def of(role: Role, *loads: Load) -> list[Spending]:
            return [one for one in spendings if one.role is role and one.load in loads]

        always = of(Role.EVERY, Load.ALWAYS)
        owner = always + of(Role.OWNER, Load.ALWAYS)
        mean, peak = (Load.ALWAYS, Load.MEAN), (Load.ALWAYS, Load.PEAK)
        owner_mean = of(Role.EVERY, *mean) + of(Role.OWNER, *mean)
        owner_peak = of(Role.EVERY, *peak) + of(Role.OWNER, *peak)
        here = (Load.ALWAYS, Load.PEAK_HERE)
        return (
            self.total("entry VM, no work in the fleet", always),
            self.total("entry VM, mean of a day", of(Role.EVERY, *mean)),
            self.total("entry VM, peak", of(Role.EVERY, *peak)),
            self.total("owner, no work in the fleet", owner),
            self.total("owner, mean of a day", owner_mean),
            self.total("owner, peak", owner_peak),
            self.total(
                "owner, peak in one data centre",
                of(Role.EVERY, *peak) + of(Role.OWNER, *here),
            ),
        )

    def total(self, name: str, spendings: list[Spending]) -> Total:
        """Return the sum of lines and how much of the budget it is."""
        cores = sum(one.cores for one in spendings)
        size = sum(one.bytes for one in spendings)
        memory = sum(one.memory_bytes for one in spendings)
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
