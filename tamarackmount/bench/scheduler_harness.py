"""A scheduler whose workers respond immediately, in virtual time."""

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
from tamarackmount.bench.synthetic_data import (
    DATA_CENTRE,
    START_TIME,
    make_submit_call,
    make_workers,
)
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
USAGE = Amount(millicores=700, memory_mib=900, accelerators=0)
MAX_PERIODS_TO_FILL = 100
"""Sync periods within which all submitted tasks must start."""

STARTED = CommandReply(result=CommandResult.DONE)


@dataclass(slots=True)
class WorkerDouble:
    """A worker, reduced to the tasks that were started and not yet forgotten."""

    id: WorkerId
    commands_by_task: dict[TaskId, StartCommand] = field(default_factory=dict)

    def report(self, command: SyncCommand, succeeded_below: int) -> WorkerReport:
        """Forget the tasks that the command lists and report the others.

        Tasks with an index below ``succeeded_below`` are reported as succeeded, the
        others as running.
        """
        for task_id in command.forget:
            self.commands_by_task.pop(task_id, None)
        attempts = [
            AttemptReport(
                task_id=start.task_id,
                attempt=start.attempt,
                team=start.team,
                state=_attempt_state(start.task_id, succeeded_below),
                exit_code=0,
                declared=start.amount,
                usage=USAGE,
            )
            for start in self.commands_by_task.values()
        ]
        return WorkerReport(
            worker_id=self.id, epoch=EPOCH, capacity=CAPACITY, attempts=attempts
        )


class SchedulerHarness:
    """The scheduler of one data centre; ``apply`` responds to effects at once."""

    def __init__(self, workers: int) -> None:
        """Start with ``workers`` workers that have responded to their first sync."""
        self.now = START_TIME
        self.saved_records = 0
        self.started_tasks = 0
        self.succeeded_below = 0
        timing = SchedulerTiming()
        self._sync_s = timing.worker_sync_s
        self.scheduler = Scheduler(DATA_CENTRE, OWNER, EPOCH, timing, self.now)
        listed = make_workers(workers)
        self._doubles_by_id = {worker.id: WorkerDouble(worker.id) for worker in listed}
        self.apply(self.scheduler.set_workers(listed, self.now))
        # While a placement pass is pending, submitted jobs are not placed at once,
        # except urgent ones. The second tick clears it, so that later jobs need not
        # wait.
        self.apply(self.scheduler.tick(self.now))
        self.apply(self.advance_period())

    def submit(self, number: int, tasks: int, kind: JobKind = JobKind.BATCH) -> None:
        """Submit a job; its tasks start when there is capacity."""
        call = make_submit_call(number, tasks, kind)
        self.apply(self.scheduler.call(OWNER, call, self.now))

    def fill(self, jobs: int, tasks: int, kind: JobKind = JobKind.BATCH) -> None:
        """Submit jobs and advance the time until all of their tasks have started."""
        expected = self.started_tasks + jobs * tasks
        for number in range(jobs):
            self.submit(number, tasks, kind)
        for _ in range(MAX_PERIODS_TO_FILL):
            if self.started_tasks == expected:
                return
            self.apply(self.advance_period())
        raise RuntimeError(
            f"{expected - self.started_tasks} tasks did not start in time"
        )

    def running_attempts(self) -> int:
        """Return the number of attempts that the workers have not forgotten."""
        return sum(
            len(worker.commands_by_task) for worker in self._doubles_by_id.values()
        )

    def advance_period(self) -> list[JobEffect]:
        """Advance the time by one sync period and return the effects of the tick."""
        self.now = Instant(self.now + self._sync_s)
        return self.scheduler.tick(self.now)

    def worker_report(self, effect: SyncWorker) -> WorkerReport:
        """Return a worker's response to a sync."""
        double = self._doubles_by_id[effect.worker_id]
        return double.report(effect.command, self.succeeded_below)

    def apply(self, effects: Sequence[JobEffect]) -> None:
        """Respond to effects, and to the effects that follow from the responses."""
        pending = list(effects)
        while pending:
            pending += self._respond(pending.pop())

    def _respond(self, effect: JobEffect) -> list[JobEffect]:
        match effect:
            case SyncWorker(worker_id):
                report = self.worker_report(effect)
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
        self.started_tasks += 1
        double = self._doubles_by_id[worker_id]
        double.commands_by_task[command.task_id] = command
        return self.scheduler.command_answered(
            worker_id, command.task_id, command.attempt, STARTED, self.now
        )


def _attempt_state(task_id: TaskId, succeeded_below: int) -> AttemptState:
    index = int(task_id.rpartition("/")[2])
    return AttemptState.SUCCEEDED if index < succeeded_below else AttemptState.RUNNING
