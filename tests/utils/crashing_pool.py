"""Replays of jobs on workers that crash, in virtual time."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import replace

from tamarackmount.ids import Instant, JobId, WorkerId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.contact.store_batches import Batch
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.effects import PollWorker
from tamarackmount.scheduling.domain.model import (
    JobPhase,
    StepSpec,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.domain.worker_reports import (
    EndedRun,
    OrderResult,
    PollFailure,
    RunEnd,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)
from tamarackmount.scheduling.store.job_index import JobRecords
from tamarackmount.scheduling.store.journal import encode_task, worker_key
from tests.utils.build_scheduling import (
    UNIX_MS,
    SchedulerHarness,
    incarnation,
    worker_entry,
    worker_report,
)
from tests.utils.build_takeover import build_job_index, build_next_holder
from tests.utils.simulated_worker import (
    LEASE_S,
    REGISTRATION_EXPIRY_S,
    SimulatedRun,
    SimulatedWorker,
)

CRASHES_BEFORE_BUDGET = 3
"""Number of workers that crash under a task before the users limit its starts."""

STARTS_AFTER_CRASHES = 2
"""Number of starts that the users allow such a task."""


class CrashingPool:
    """Workers, and a holder that may be replaced.

    A run of a task in ``deadly`` crashes its worker ``crash_after_s`` after its start,
    and before the order is answered if that is negative;
    another incarnation takes the worker's place ``downtime_s`` later, under the same
    worker id if ``keeps_id`` is set, and otherwise under another id at the same
    address. ``crash_ages`` draws another age for a task, in seconds. Other tasks take
    their estimate. Orders about tasks in ``held_back`` get no answer and are not
    carried out. ``started_over_budget`` counts the starts of a task, beyond the two
    that the users allow, after three workers have crashed under it.

    A run of a gang is broken when a member of it is lost; it continues from where it
    was if its step saves its progress.
    """

    STEP_S = 0.02

    def __init__(
        self,
        worker_count: int = 6,
        crash_after_s: float = 0.0,
        downtime_s: float = 3.2,
        keeps_id: bool = False,
        cores: int = 8,
    ) -> None:
        """Register workers of ``cores`` processors each."""
        self.harness = SchedulerHarness()
        self.deadly: set[TaskKey] = set()
        self.held_back: set[TaskKey] = set()
        self.started: Counter[TaskKey] = Counter()
        self.started_unstored: Counter[TaskKey] = Counter()
        self.started_over_budget: Counter[TaskKey] = Counter()
        self.crash_ages: dict[TaskKey, Callable[[], float]] = {}
        self.crashed_under: Counter[TaskKey] = Counter()
        self.crash_count = 0
        self.polled: Counter[WorkerIncarnation] = Counter()
        self.overloaded: list[str] = []
        self.done: set[TaskKey] = set()
        self.store_latency_s = 0.0
        self._append: tuple[Instant, Batch] | None = None
        self.jobs_by_id: dict[JobId, AcceptedJob] = {}
        self.workers: dict[WorkerIncarnation, SimulatedWorker] = {}
        self._crash_after_s = crash_after_s
        self._downtime_s = downtime_s
        self._keeps_id = keeps_id
        self._replacements: list[tuple[float, WorkerEntry]] = []
        self._registered: dict[WorkerId, tuple[WorkerEntry, float]] = {}
        self._is_holder_lost = False
        self._starts_after_crashes: Counter[TaskKey] = Counter()
        for number in range(worker_count):
            self._add_worker(worker_entry(f"w{number}", cores))
        self.harness.register_workers(*self._entries())

    @property
    def now(self) -> Instant:
        """The virtual time."""
        return self.harness.now

    def submit(self, *jobs: AcceptedJob) -> None:
        """Submit jobs."""
        for accepted in jobs:
            self.jobs_by_id[accepted.job_id] = accepted
            self.harness.submit_job(accepted)

    def submit_together(self, *jobs: AcceptedJob) -> None:
        """Submit jobs so that the holder places their tasks at once."""
        for accepted in jobs:
            self.jobs_by_id[accepted.job_id] = accepted
            records = JobRecords(replace(accepted, accepted_unix_ms=UNIX_MS))
            scheduler = self.harness.scheduler
            scheduler.add_job(records, self.now, self.harness.unix_ms)
        self.harness.tick()

    def phase(self, accepted: AcceptedJob) -> JobPhase | None:
        """Return the phase that callers are told; a new holder reads ended jobs."""
        index = build_job_index(self.jobs_by_id.values(), self.harness.records)
        job_id = accepted.job_id
        return self.harness.scheduler.phase(job_id) or index.phase(job_id)

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> None:
        """Let time pass, at most until the condition holds."""
        end = self.now + seconds
        while self.now < end and not until():
            self._step()

    def crash(self, where: WorkerIncarnation) -> None:
        """Let a worker crash for a reason of its own, or for a task's."""
        worker = self._take_away(where)
        self.crash_count += 1
        self.crashed_under.update(task for task, _ in worker.runs)
        self._replacements.append((self.now + self._downtime_s, worker.entry))

    def drain(self, where: WorkerIncarnation, left_s: float) -> None:
        """Let a worker announce that it drains, and leave once it has."""
        worker = self.workers[where]
        worker.entry = replace(
            worker.entry, is_draining=True, drain_left_ms=int(left_s * 1_000)
        )
        self._registered[where.worker_id] = worker.entry, float("inf")
        self._register()

    def leave(self, where: WorkerIncarnation) -> None:
        """Let a worker leave for good; another one takes over its address at once."""
        worker = self._take_away(where)
        self._registered.pop(where.worker_id, None)
        self._replacements.append((self.now, worker.entry))

    def remove(self, where: WorkerIncarnation) -> None:
        """Remove a worker for good; nothing takes its place."""
        self._take_away(where)
        self._registered.pop(where.worker_id, None)
        self._register()

    def set_capacity(self, where: WorkerIncarnation, capacity: Resources) -> None:
        """Let a worker's capacity shrink or grow; its registration says so at once."""
        worker = self.workers[where]
        worker.entry = replace(worker.entry, capacity=capacity)
        self._registered[where.worker_id] = worker.entry, float("inf")
        self._register()

    def cut(self, where: WorkerIncarnation, is_cut: bool = True) -> None:
        """Cut a worker off from the holder, or reconnect it."""
        worker = self.workers[where]
        worker.is_cut = is_cut
        if not is_cut:
            self._registered[where.worker_id] = worker.entry, float("inf")
            self._register()

    def kill_holder(self, vacant_s: float = 1.5) -> None:
        """Replace the holder by one that knows what the store holds."""
        for worker in self.workers.values():
            worker.unanswered.clear()
        former = self.harness
        records = dict(former.records)
        self._append = None
        self._is_holder_lost = True
        self.run(vacant_s)
        self._is_holder_lost = False
        index = build_job_index(self.jobs_by_id.values(), records)
        self.harness = build_next_holder(former, index)
        self.harness.records.update(records)
        self._register()

    def fail_runs(self, where: WorkerIncarnation) -> None:
        """Let all runs on a worker end as failed."""
        worker = self.workers[where]
        for key in list(worker.runs):
            self._end(worker, key, RunEnd.FAILED)

    @property
    def suspected_tasks(self) -> AbstractSet[TaskKey]:
        """The tasks against which the holder has evidence."""
        return self.harness.scheduler._state.suspected_tasks

    def worker_of(self, task: TaskKey) -> WorkerIncarnation | None:
        """Return the worker that runs a task."""
        for where, worker in self.workers.items():
            if any(key[0] == task for key in worker.runs):
                return where
        return None

    def ordered_workers(self, task: TaskKey) -> list[WorkerIncarnation]:
        """Return the workers on which the holder believes that a task may run."""
        workers = self.harness.scheduler._state.workers_by_incarnation.values()
        return [one.incarnation for one in workers if task in one.runs_by_task]

    def _take_away(self, where: WorkerIncarnation) -> SimulatedWorker:
        """Remove a worker; its connections are reset."""
        worker = self.workers.pop(where)
        for poll, sent in worker.unanswered:
            self._answer(poll, PollFailure.NO_ANSWER, sent)
        for key in worker.runs:
            self._break_gang(*key)
        return worker

    def _break_gang(self, lost: TaskKey, number: int) -> None:
        """Let the other members of a gang's run end soon, as one is lost."""
        if not self._spec_of(lost).gang:
            return
        for worker in self.workers.values():
            for (task, other), run in worker.runs.items():
                if task.step_key == lost.step_key and other == number:
                    run.ends_at, run.outcome = self.now, RunEnd.GANG_BROKEN

    def _spec_of(self, task: TaskKey) -> StepSpec:
        return self.jobs_by_id[task.job_id].spec.steps[task.step]

    def _step(self) -> None:
        self.harness.now = Instant(self.harness.now + self.STEP_S)
        self._advance_workers()
        if self._is_holder_lost:
            return
        self._carry_out_orders()
        self._answer_polls()
        self._write_to_store()
        self.harness.tick()

    def _write_to_store(self) -> None:
        if not self.store_latency_s:
            self.harness.store_pending()
            return
        scheduler = self.harness.scheduler
        if self._append is not None and self.now >= self._append[0]:
            self.harness.acknowledge_batch(self._append[1])
            self._append = None
        if self._append is None:
            batch = scheduler.take_batch(self.now, self.harness.unix_ms)
            if batch is not None:
                self._append = Instant(self.now + self.store_latency_s), batch

    def _advance_workers(self) -> None:
        for where, worker in list(self.workers.items()):
            if any(run.crashes_at <= self.now for run in worker.runs.values()):
                self.crash(where)
                continue
            for key, run in list(worker.runs.items()):
                if self.now >= worker.lease_ends_at:
                    self._end(worker, key, RunEnd.LEASE_EXPIRED)
                elif run.ends_at <= self.now:
                    self._end(worker, key, run.outcome)
        self._expire_registrations()
        due = [row for row in self._replacements if row[0] <= self.now]
        for row in due:
            self._replacements.remove(row)
            self._replace(row[1])

    def _expire_registrations(self) -> None:
        for worker_id, (entry, expires_at) in list(self._registered.items()):
            worker = self.workers.get(entry.incarnation)
            if worker is not None and not worker.is_cut:
                self._registered[worker_id] = entry, float("inf")
            elif expires_at == float("inf"):
                expires_at = self.now + REGISTRATION_EXPIRY_S
                self._registered[worker_id] = entry, expires_at
            elif self.now >= expires_at:
                del self._registered[worker_id]
                self._register()

    def _replace(self, old: WorkerEntry) -> None:
        name, born = old.incarnation
        if not self._keeps_id:
            name = WorkerId(f"{name}+")
        fresh = replace(
            old,
            incarnation=incarnation(name, born + int(self.now * 1_000)),
            is_draining=False,
            drain_left_ms=0,
        )
        self._add_worker(fresh)
        self._register()

    def _add_worker(self, entry: WorkerEntry) -> None:
        self.workers[entry.incarnation] = SimulatedWorker(entry, self.now + 10.0)
        self._registered[entry.incarnation.worker_id] = entry, float("inf")

    def _entries(self) -> list[WorkerEntry]:
        return [entry for entry, _ in self._registered.values()]

    def _register(self) -> None:
        if not self._is_holder_lost:
            self.harness.scheduler.set_registered_workers(self._entries(), self.now)

    def _end(
        self, worker: SimulatedWorker, key: tuple[TaskKey, int], outcome: RunEnd
    ) -> None:
        run = worker.runs.pop(key)
        worker.end_number += 1
        saved = self._checkpoint(key[0], run)
        worker.ended.append(EndedRun(worker.end_number, *key, outcome, saved))
        if outcome is RunEnd.DONE:
            self.done.add(key[0])
        elif outcome is not RunEnd.GANG_BROKEN:
            self._break_gang(*key)

    def _checkpoint(self, task: TaskKey, run: SimulatedRun) -> str:
        """Return the milliseconds of work that a run has saved."""
        if not self._spec_of(task).saves_progress:
            return ""
        return str(int(run.resumed_ms + (self.now - run.began_at) * 1_000))

    def _carry_out_orders(self) -> None:
        self._carry_out_starts()
        self._carry_out_stops()

    def _carry_out_starts(self) -> None:
        starts, self.harness.starts = self.harness.starts, []
        for start in starts:
            order = start.order
            worker = self.workers.get(order.incarnation)
            result = OrderResult.NOT_SENT
            may_send = self.harness.scheduler.may_send(order)
            if may_send and worker is not None and order.task in self.held_back:
                result = OrderResult.UNKNOWN
            elif may_send and worker is not None and not worker.is_cut:
                result = OrderResult.DONE
                self._start(worker, order)
                if self._crash_after_s < 0 and order.task in self.deadly:
                    result = OrderResult.UNKNOWN
                    self.crash(order.incarnation)
            self.harness.scheduler.start_answered(
                order.incarnation, order.task, order.run_number, result, self.now
            )

    def _carry_out_stops(self) -> None:
        stops, self.harness.stops = self.harness.stops, []
        for stop in stops:
            worker = self.workers.get(stop.incarnation)
            result = OrderResult.NOT_SENT
            if worker is not None and stop.task in self.held_back:
                result = OrderResult.UNKNOWN
            elif worker is not None and not worker.is_cut:
                result = OrderResult.DONE
                run = worker.runs.get((stop.task, stop.run_number))
                if run is not None:
                    run.ends_at, run.outcome = self.now + 0.1, RunEnd.STOPPED
            self.harness.scheduler.stop_answered(
                stop.incarnation, stop.task, stop.run_number, result, self.now
            )

    def _start(self, worker: SimulatedWorker, order: StartOrder) -> None:
        task = order.task
        record = self.harness.records.get(worker_key(worker.entry.incarnation), b"")
        if encode_task(task).encode() not in record:
            self.started_unstored[task] += 1
        spec = self._spec_of(task)
        resumed_ms = int(order.checkpoint or 0)
        ends_at = self.now + (spec.estimated_ms - resumed_ms) / 1_000
        run = SimulatedRun(self.now, float("inf") if spec.perpetual else ends_at)
        run.resumed_ms = resumed_ms
        if task in self.deadly:
            draw_age = self.crash_ages.get(task, lambda: self._crash_after_s)
            run.crashes_at = self.now + draw_age()
        worker.runs[task, order.run_number] = run
        worker.lease_ends_at = max(worker.lease_ends_at, self.now + LEASE_S)
        self._count_start(task)
        used = NOTHING
        for other, _ in worker.runs:
            steps = self.jobs_by_id[other.job_id].spec.steps
            used = used + steps[other.step].amount
        if not used.fits_in(worker.entry.capacity):
            name = worker.entry.incarnation.worker_id
            self.overloaded.append(f"{name} uses {used} of {worker.entry.capacity}")

    def _count_start(self, task: TaskKey) -> None:
        self.started[task] += 1
        if self.crashed_under[task] >= CRASHES_BEFORE_BUDGET:
            self._starts_after_crashes[task] += 1
            is_over = self._starts_after_crashes[task] > STARTS_AFTER_CRASHES
            self.started_over_budget[task] += is_over

    def _answer_polls(self) -> None:
        polls = self.harness.take_polls()
        for poll in polls:
            self.polled[poll.incarnation] += 1
            worker = self.workers.get(poll.incarnation)
            if worker is None:
                is_taken = any(
                    other.entry.address == poll.address
                    for other in self.workers.values()
                )
                failure = (
                    PollFailure.OTHER_INCARNATION if is_taken else PollFailure.NO_ANSWER
                )
                self._answer(poll, failure, self.now)
                continue
            worker.ended = [
                row for row in worker.ended if row.end_number > poll.ack_cursor
            ]
            worker.unanswered.append((poll, self.now))
        for worker in list(self.workers.values()):
            self._answer_due_polls(worker)

    def _answer_due_polls(self, worker: SimulatedWorker) -> None:
        for poll, sent in list(worker.unanswered):
            waited_s = self.now - sent
            if worker.is_cut:
                if waited_s >= poll.wait_ms / 1_000 + 0.2:
                    worker.unanswered.remove((poll, sent))
                    self._answer(poll, PollFailure.NO_ANSWER, sent)
                continue
            if not worker.ended and waited_s < poll.wait_ms / 1_000:
                continue
            worker.unanswered.remove((poll, sent))
            if poll.lease_end_clock_ms is not None:
                worker.lease_ends_at = self.now + LEASE_S
            report = worker_report(
                running=tuple(worker.runs),
                ended=tuple(worker.ended),
                born=worker.entry.incarnation.born_unix_ms,
            )
            self._answer(poll, report, sent)

    def _answer(
        self, poll: PollWorker, answer: WorkerReport | PollFailure, sent: Instant
    ) -> None:
        if self._is_holder_lost:
            return
        self.harness.scheduler.poll_answered(
            poll.incarnation, answer, sent, self.now, is_extra=poll.is_extra
        )


def tasks_of(accepted: AcceptedJob, step: int = 0) -> list[TaskKey]:
    """Return the tasks of a step of a job that runs once."""
    count = accepted.spec.steps[step].count
    return [TaskKey(accepted.job_id, 0, step, index) for index in range(count)]
