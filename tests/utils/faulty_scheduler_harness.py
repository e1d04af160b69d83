"""Owners and workers on a network that loses, delays and duplicates messages."""

import heapq
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from tamarackmount.adapters.worker_schema import (
    CommandReply,
    StaleEpoch,
    StartCommand,
    SyncCommand,
    TaskCommand,
    WorkerReport,
)
from tamarackmount.ids import (
    Epoch,
    Instant,
    JobId,
    MemberId,
    TaskId,
    WorkerId,
    WorkspaceId,
)
from tamarackmount.job_spec import JobSpec
from tamarackmount.kernel.job_effects import (
    AnswerJob,
    CheckpointTask,
    Durability,
    JobEffect,
    ListedWorker,
    SaveRecords,
    SchedulerTiming,
    StartTask,
    StopTask,
    SyncWorker,
    TeamLimits,
)
from tamarackmount.kernel.jobs import split_task_id
from tamarackmount.kernel.messages import JobCall
from tamarackmount.kernel.scheduler import Scheduler
from tests.utils.fake_workers import FakeWorker
from tests.utils.scheduler_harness import DC, ORIGIN

TICK_S = 0.1

SLOW_CLOCK_S = 0.09
"""Time by which a slow worker clock prolongs each lease, in seconds."""

TIMING = SchedulerTiming(
    reserve_after_s=2.0, reservation_s=10.0, worker_backoff_s=3.0, record_save_s=0.5
)

Reply = WorkerReport | CommandReply | StaleEpoch
WorkerCall = SyncWorker | StartTask | StopTask | CheckpointTask


@dataclass(slots=True)
class Owner:
    """One scheduler; ``deposed_at`` is when a later owner took over."""

    scheduler: Scheduler
    deposed_at: float = float("inf")


@dataclass(slots=True, order=True)
class Event:
    """A callback scheduled for a time; ``number`` orders events of the same time."""

    at: float
    number: int
    act: Callable[[], None] = field(compare=False)


class ViolationError(AssertionError):
    """An invariant was violated."""


class FaultySchedulerHarness:
    """The owners of one data centre, its workers and the network between them.

    ``fault_percent`` is the chance of each possible fault of a message, in percent.
    """

    def __init__(self, workers: list[ListedWorker], seed: int) -> None:
        """Start with one owner and no faults."""
        self.now = Instant(0.0)
        self.random = Random(seed)
        self.fault_percent = 0
        self.workers_by_id = {
            one.id: FakeWorker(one, enforces_capacity=False, slow_clock_s=SLOW_CLOCK_S)
            for one in workers
        }
        self.cut_off: set[WorkerId] = set()
        self.unlisted: set[WorkerId] = set()
        self.teams: dict[WorkspaceId, TeamLimits] = {}
        self.limit_history: list[tuple[float, dict[WorkspaceId, TeamLimits]]] = []
        self.stored_records: list[str] = []
        self.specs_by_job: dict[JobId, JobSpec] = {}
        self.accepted: set[JobId] = set()
        self.refused: set[JobId] = set()
        self.call_jobs: dict[int, JobId] = {}
        self.starts_by_task: Counter[TaskId] = Counter()
        self._events: list[Event] = []
        self._event_number = 0
        self.owners: list[Owner] = []
        self.epoch = Epoch(0)
        self.take_over()

    @property
    def owner(self) -> Owner:
        """Return the owner of the highest epoch."""
        return self.owners[-1]

    def take_over(self) -> None:
        """Let a new owner take over while the former one continues to run."""
        if self.owners:
            self.owner.deposed_at = self.now
        self.owners = self.owners[-1:]
        self.epoch = Epoch(self.epoch + 1)
        member = MemberId(f"m{self.epoch}")
        owner = Owner(Scheduler(DC, member, self.epoch, TIMING, self.now))
        self.owners.append(owner)
        scheduler = owner.scheduler
        self.apply(owner, scheduler.set_teams(self.teams, self.now))
        self.apply(owner, scheduler.restore(list(self.stored_records), self.now))
        self.list_workers()

    def list_workers(self) -> None:
        """Give the owner the list of workers."""
        listed = [
            worker.listed
            for worker in self.workers_by_id.values()
            if worker.listed.id not in self.unlisted
        ]
        owner = self.owner
        self.apply(owner, owner.scheduler.set_workers(listed, self.now))

    def set_teams(self, teams: dict[WorkspaceId, TeamLimits]) -> None:
        """Change the limits of the teams."""
        self.limit_history.append((self.now, self.teams))
        self.teams = teams
        owner = self.owner
        self.apply(owner, owner.scheduler.set_teams(teams, self.now))

    def call(self, call: JobCall) -> None:
        """Make a call to the owner."""
        owner = self.owner
        self.apply(owner, owner.scheduler.call(ORIGIN, call, self.now))

    def run(self, seconds: float) -> None:
        """Advance the time in ticks and run the events that become due."""
        until = self.now + seconds
        while self.now < until:
            self.now = Instant(round(self.now + TICK_S, 6))
            while self._events and self._events[0].at <= self.now:
                heapq.heappop(self._events).act()
            for owner in self.owners:
                self.apply(owner, owner.scheduler.tick(self.now))

    def apply(self, owner: Owner, effects: list[JobEffect]) -> None:
        """Check an owner's effects and send them over the network."""
        self._check_gang_starts(effects)
        for effect in effects:
            if isinstance(effect, SaveRecords):
                self._save(owner, effect)
            elif isinstance(effect, AnswerJob):
                self._record_answer(effect)
            elif isinstance(effect, WorkerCall):
                self._send(owner, effect)

    def check(self) -> None:
        """Check the invariants that hold at all times; only a start can break them."""
        running_counts: Counter[TaskId] = Counter()
        for worker in self.workers_by_id.values():
            worker.advance(self.now)
            if not worker.used().fits_in(worker.listed.capacity):
                raise ViolationError(f"{worker.listed.id} runs more than its capacity")
            running_counts.update(one.command.task_id for one in worker.running())
        for task, count in running_counts.items():
            if count > 1:
                raise ViolationError(f"{task} runs {count} times at {self.now}")

    def running_of(self, team_id: WorkspaceId) -> int:
        """Return how many tasks of a team run."""
        return sum(
            attempt.command.team == team_id
            for worker in self.workers_by_id.values()
            for attempt in worker.running()
        )

    def _schedule(self, at: float, act: Callable[[], None]) -> None:
        self._event_number += 1
        heapq.heappush(self._events, Event(at, self._event_number, act))

    def _has_fault(self) -> bool:
        return self.random.randrange(100) < self.fault_percent

    def _save(self, owner: Owner, effect: SaveRecords) -> None:
        if owner.deposed_at <= self.now:
            return
        delay = self.random.choice((0.05, 0.3)) if self._has_fault() else 0.01
        if self._has_fault() and self.random.randrange(3) == 0:
            self._schedule(self.now + delay, lambda: self._refuse_save(owner, effect))
            return
        self._schedule(self.now + delay, lambda: self._store_records(owner, effect))

    def _refuse_save(self, owner: Owner, effect: SaveRecords) -> None:
        scheduler = owner.scheduler
        self.apply(owner, scheduler.records_refused(effect.token, self.now))

    def _store_records(self, owner: Owner, effect: SaveRecords) -> None:
        if owner.deposed_at <= self.now:
            return
        self.stored_records += effect.records
        delay = 0.4 if self._has_fault() else 0.01
        self._schedule(self.now + delay, lambda: self._saved(owner, effect))

    def _saved(self, owner: Owner, effect: SaveRecords) -> None:
        scheduler = owner.scheduler
        effects = scheduler.records_saved(effect.token, Durability.PEERS, self.now)
        self.apply(owner, effects)

    def _record_answer(self, effect: AnswerJob) -> None:
        job_id = self.call_jobs.get(effect.answer.call_id)
        if job_id is None:
            return
        if effect.answer.status in (200, 201):
            self.accepted.add(job_id)
            self.refused.discard(job_id)
        elif json.loads(effect.answer.body)["error"] == "not_durable":
            self.refused.add(job_id)

    def _send(self, owner: Owner, effect: WorkerCall) -> None:
        delay = 0.01
        if self._has_fault():
            delay = self.random.choice((0.2, 0.6, 0.95))
        sent_at = self.now
        fails_at = sent_at + TIMING.command_timeout_s
        lost = effect.worker_id in self.cut_off or (
            self._has_fault() and self.random.randrange(2) == 0
        )
        if lost:
            self._schedule(fails_at, lambda: self._report_failure(owner, effect))
            return
        self._schedule(sent_at + delay, lambda: self._deliver(owner, effect, fails_at))

    def _deliver(self, owner: Owner, effect: WorkerCall, fails_at: float) -> None:
        worker = self.workers_by_id.get(effect.worker_id)
        if worker is None or effect.worker_id in self.cut_off:
            self._schedule(fails_at, lambda: self._report_failure(owner, effect))
            return
        is_late = self.now > owner.deposed_at + TIMING.command_timeout_s
        if is_late and worker.epoch <= effect.command.epoch:
            return
        reply = self._carry_out(worker, effect)
        if self._has_fault():
            self._schedule(fails_at, lambda: self._report_failure(owner, effect))
            return
        delay = 0.3 if self._has_fault() and self.now + 0.3 < fails_at else 0.01
        self._schedule(self.now + delay, lambda: self._answer(owner, effect, reply))
        is_command = not isinstance(effect, SyncWorker)
        if is_command and self._has_fault():
            self._schedule(self.now + 1.5, lambda: self._answer(owner, effect, reply))

    def _carry_out(self, worker: FakeWorker, effect: WorkerCall) -> Reply:
        command = effect.command
        if isinstance(command, SyncCommand):
            return worker.sync(command, self.now)
        if isinstance(command, StartCommand):
            before = len(worker.start_notes)
            reply = worker.start(command, self.now)
            if len(worker.start_notes) > before:
                self._check_start(command)
            return reply
        if isinstance(effect, StopTask):
            return worker.stop(command, self.now)
        return worker.take_checkpoint(command, self.now)

    def _answer(self, owner: Owner, effect: WorkerCall, reply: Reply) -> None:
        scheduler, worker_id = owner.scheduler, effect.worker_id
        if isinstance(reply, StaleEpoch):
            effects = scheduler.worker_stale(worker_id, reply.highest, self.now)
        elif isinstance(reply, WorkerReport):
            effects = scheduler.worker_synced(worker_id, reply, self.now)
        else:
            command = effect.command
            assert isinstance(command, StartCommand | TaskCommand)
            effects = scheduler.command_answered(
                worker_id, command.task_id, command.attempt, reply, self.now
            )
        self.apply(owner, effects)

    def _report_failure(self, owner: Owner, effect: WorkerCall) -> None:
        scheduler, command = owner.scheduler, effect.command
        if isinstance(command, SyncCommand):
            effects = scheduler.worker_failed(effect.worker_id, self.now)
        else:
            effects = scheduler.command_failed(
                effect.worker_id, command.task_id, command.attempt, self.now
            )
        self.apply(owner, effects)

    def _check_start(self, command: StartCommand) -> None:
        self.check()
        task = command.task_id
        self.starts_by_task[task] += 1
        job_id, _ = split_task_id(task) or (JobId(""), 0)
        spec = self.specs_by_job[job_id]
        if not spec.idempotent and self.starts_by_task[task] > 1:
            raise ViolationError(f"{task} is not idempotent and was started again")
        if job_id in self.refused:
            raise ViolationError(
                f"{task} started although its job was refused as not run"
            )
        limit = self._limit(command.team)
        if self.running_of(command.team) > limit:
            raise ViolationError(f"{command.team} runs more than {limit} at {self.now}")

    def _limit(self, team_id: WorkspaceId) -> float:
        """Return the highest ceiling in force while a start arriving now was sent."""
        since = self.now - TIMING.command_timeout_s - TICK_S
        tables = [teams for until, teams in self.limit_history if until >= since]
        limits = [
            table.get(team_id, TeamLimits()).running_tasks
            for table in [*tables, self.teams]
        ]
        return max(float("inf") if limit is None else limit for limit in limits)

    def _check_gang_starts(self, effects: list[JobEffect]) -> None:
        started: Counter[JobId] = Counter()
        for effect in effects:
            if isinstance(effect, StartTask):
                job_id, _ = split_task_id(effect.command.task_id) or (JobId(""), 0)
                started[job_id] += 1
        for job_id, count in started.items():
            spec = self.specs_by_job[job_id]
            if spec.kind.value == "gang" and count != spec.tasks:
                raise ViolationError(
                    f"{count} of {spec.tasks} tasks of gang {job_id} started"
                )
