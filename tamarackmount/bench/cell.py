"""A scheduler with workers that answer at once, in virtual time."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from tamarackmount.adapters.worker_schema import (
    Amount,
    AttemptReport,
    AttemptState,
    CommandReply,
    CommandResult,
    StartCommand,
    SyncCommand,
    WorkerReport,
)
from tamarackmount.bench.loads import HERE, START, submit_call, workers_of
from tamarackmount.ids import Epoch, Instant, MemberId, TaskId, WorkerId
from tamarackmount.job_spec import JobKind
from tamarackmount.kernel.job_effects import (
    Durability,
    JobEffect,
    SaveRecords,
    SchedulerTiming,
    StartTask,
    SyncWorker,
)
from tamarackmount.kernel.scheduler import Scheduler

OWNER = MemberId("dc-01-entry-01")
EPOCH = Epoch(65_536)
CAPACITY = Amount(millicores=32_000, memory_mib=65_536, accelerators=0)
USED = Amount(millicores=700, memory_mib=900, accelerators=0)
MAX_PERIODS_TO_FILL = 100
STARTED = CommandReply(result=CommandResult.DONE)


@dataclass(slots=True)
class WorkerDouble:
    """A worker as its owner sees it: what was started and not forgotten."""

    id: WorkerId
    commands_by_task: dict[TaskId, StartCommand] = field(default_factory=dict)

    def report(self, command: SyncCommand, ended_below: int) -> WorkerReport:
        """Forget what is asked for, and report the rest.

        Tasks with an index below ``ended_below`` have succeeded, the others run.
        """
        for task_id in command.forget:
            self.commands_by_task.pop(task_id, None)
        attempts = [
            AttemptReport(
                task_id=start.task_id,
                attempt=start.attempt,
                team=start.team,
                state=_state(start.task_id, ended_below),
                exit_code=0,
                declared=start.amount,
                usage=USED,
            )
            for start in self.commands_by_task.values()
        ]
        return WorkerReport(
            worker_id=self.id, epoch=EPOCH, capacity=CAPACITY, attempts=attempts
        )


class BenchCell:
    """The scheduler of one data centre; every effect is answered in the same call."""

    def __init__(self, workers: int) -> None:
        """Start with workers that have answered their first sync."""
        self.now = START
        self.saved_records = 0
        self.started = 0
        self.ended_below = 0
        timing = SchedulerTiming()
        self._sync_s = timing.worker_sync_s
        self.scheduler = Scheduler(HERE, OWNER, EPOCH, timing, self.now)
        listed = workers_of(workers)
        self._doubles_by_id = {one.id: WorkerDouble(one.id) for one in listed}
        self.apply(self.scheduler.set_workers(listed, self.now))
        # The second tick places nothing, so that later jobs need not wait for it.
        self.apply(self.scheduler.tick(self.now))
        self.apply(self.due_syncs())

    def submit(self, number: int, tasks: int, kind: JobKind = JobKind.BATCH) -> None:
        """Submit a job; its tasks start when there is room."""
        call = submit_call(number, tasks, kind)
        self.apply(self.scheduler.call(OWNER, call, self.now))

    def fill(self, jobs: int, tasks: int, kind: JobKind = JobKind.BATCH) -> None:
        """Submit jobs and let periods pass until all of their tasks run."""
        wanted = self.started + jobs * tasks
        for number in range(jobs):
            self.submit(number, tasks, kind)
        for _ in range(MAX_PERIODS_TO_FILL):
            if self.started == wanted:
                return
            self.apply(self.due_syncs())
        raise RuntimeError(f"{wanted - self.started} tasks did not start")

    def running(self) -> int:
        """Return the number of attempts that the workers know."""
        return sum(len(one.commands_by_task) for one in self._doubles_by_id.values())

    def due_syncs(self) -> list[JobEffect]:
        """Let one period of syncs pass; return the effects of the tick."""
        self.now = Instant(self.now + self._sync_s)
        return self.scheduler.tick(self.now)

    def report_of(self, effect: SyncWorker) -> WorkerReport:
        """Return what a worker answers to a sync."""
        double = self._doubles_by_id[effect.worker_id]
        return double.report(effect.command, self.ended_below)

    def apply(self, effects: Sequence[JobEffect]) -> None:
        """Answer effects and whatever follows from the answers."""
        pending = list(effects)
        while pending:
            pending += self._answer(pending.pop())

    def _answer(self, effect: JobEffect) -> list[JobEffect]:
        match effect:
            case SyncWorker(worker_id):
                report = self.report_of(effect)
                return self.scheduler.worker_synced(worker_id, report, self.now)
            case StartTask(worker_id, command):
                return self._start(worker_id, command)
            case SaveRecords(token, records):
                self.saved_records += len(records)
                log = Durability.LOG
                return self.scheduler.records_saved(token, log, self.now)
            case _:
                return []

    def _start(self, worker_id: WorkerId, command: StartCommand) -> list[JobEffect]:
        self.started += 1
        double = self._doubles_by_id[worker_id]
        double.commands_by_task[command.task_id] = command
        return self.scheduler.command_answered(
            worker_id, command.task_id, command.attempt, STARTED, self.now
        )


def _state(task_id: TaskId, ended_below: int) -> AttemptState:
    index = int(task_id.rpartition("/")[2])
    return AttemptState.SUCCEEDED if index < ended_below else AttemptState.RUNNING
