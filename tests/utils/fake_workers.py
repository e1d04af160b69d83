"""In-memory workers in virtual time that follow the protocol of ``worker_schema``."""

from dataclasses import dataclass, field

from tamarackmount.adapters.worker_schema import (
    Amount,
    AttemptReport,
    AttemptState,
    CommandReply,
    CommandResult,
    StaleEpoch,
    StartCommand,
    SyncCommand,
    TaskCommand,
    WorkerReport,
)
from tamarackmount.ids import Epoch, TaskId, WorkerId
from tamarackmount.kernel.job_effects import ListedWorker
from tamarackmount.kernel.task_attempts import as_amount, as_resources
from tamarackmount.resources import NOTHING, Resources

MS_PER_S = 1_000
NOTHING_USED = Amount(millicores=0, memory_mib=0, accelerators=0)


@dataclass(slots=True)
class FakeAttempt:
    """An attempt on a fake worker."""

    command: StartCommand
    state: AttemptState
    lease_until: float
    ends_at: float
    checkpoint: str = ""

    def report(self) -> AttemptReport:
        """Return the worker's report of the attempt."""
        return AttemptReport(
            task_id=self.command.task_id,
            attempt=self.command.attempt,
            team=self.command.team,
            state=self.state,
            exit_code=1 if self.state is AttemptState.FAILED else 0,
            declared=self.command.amount,
            usage=NOTHING_USED,
            checkpoint=self.checkpoint,
        )


@dataclass(slots=True)
class StartNote:
    """A start command that took effect."""

    worker_id: WorkerId
    command: StartCommand


@dataclass(slots=True)
class FakeWorker:
    """A worker that refuses stale epochs and ends attempts by lease and run time.

    A lease lasts ``slow_clock_s`` longer than commanded. Without
    ``enforces_capacity`` the worker starts every attempt, so that a test can detect
    commands that exceed its capacity.
    """

    listed: ListedWorker
    epoch: Epoch = Epoch(0)
    attempts_by_task: dict[TaskId, dict[int, FakeAttempt]] = field(default_factory=dict)
    start_notes: list[StartNote] = field(default_factory=list)
    fails_starts: bool = False
    enforces_capacity: bool = True
    slow_clock_s: float = 0.0
    fails_tasks: bool = False
    failing_prefixes: tuple[str, ...] = ()

    def running(self) -> list[FakeAttempt]:
        """Return the running attempts."""
        return [
            attempt
            for by_number in self.attempts_by_task.values()
            for attempt in by_number.values()
            if attempt.state is AttemptState.RUNNING
        ]

    def restart(self) -> None:
        """Lose all attempts, as a worker that has crashed and is back."""
        self.attempts_by_task.clear()

    def used(self) -> Resources:
        """Return the sum of the declared resources of the running attempts."""
        return sum(
            (as_resources(attempt.command.amount) for attempt in self.running()),
            start=NOTHING,
        )

    def advance(self, now: float) -> None:
        """End the attempts whose run time or lease has ended."""
        for attempt in self.running():
            if attempt.ends_at <= min(now, attempt.lease_until):
                fails = self.fails_tasks or attempt.command.task_id.startswith(
                    self.failing_prefixes or ("\0",)
                )
                attempt.state = AttemptState.FAILED if fails else AttemptState.SUCCEEDED
            elif attempt.lease_until <= now:
                attempt.state = AttemptState.LAPSED

    def sync(self, command: SyncCommand, now: float) -> WorkerReport | StaleEpoch:
        """Renew leases, forget ended attempts and return a report."""
        self.advance(now)
        if command.epoch < self.epoch:
            return StaleEpoch(highest=self.epoch)
        self.epoch = command.epoch
        for attempt in self.running():
            if attempt.command.task_id in command.renew:
                attempt.lease_until = self._lease_end(command.lease_ms, now)
        for task in command.forget:
            self._forget(task)
        return WorkerReport(
            worker_id=self.listed.id,
            epoch=self.epoch,
            capacity=as_amount(self.listed.capacity),
            attempts=[
                attempt.report()
                for by_number in self.attempts_by_task.values()
                for attempt in by_number.values()
            ],
        )

    def start(self, command: StartCommand, now: float) -> CommandReply | StaleEpoch:
        """Start an attempt unless it is already known."""
        self.advance(now)
        if command.epoch < self.epoch:
            return StaleEpoch(highest=self.epoch)
        self.epoch = command.epoch
        by_number = self.attempts_by_task.setdefault(command.task_id, {})
        if command.attempt in by_number:
            return CommandReply(result=CommandResult.DONE)
        free = self.listed.capacity - self.used()
        fits = as_resources(command.amount).fits_in(free)
        if self.enforces_capacity and not fits:
            return CommandReply(result=CommandResult.NO_CAPACITY)
        if self.fails_starts or command.task_id.startswith(
            self.failing_prefixes or ("\0",)
        ):
            return CommandReply(result=CommandResult.START_FAILED)
        run_ms = command.run_ms
        by_number[command.attempt] = FakeAttempt(
            command=command,
            state=AttemptState.RUNNING,
            lease_until=self._lease_end(command.lease_ms, now),
            ends_at=float("inf") if run_ms is None else now + run_ms / MS_PER_S,
        )
        self.start_notes.append(StartNote(self.listed.id, command))
        return CommandReply(result=CommandResult.DONE)

    def stop(self, command: TaskCommand, now: float) -> CommandReply | StaleEpoch:
        """Stop a running attempt."""
        self.advance(now)
        if command.epoch < self.epoch:
            return StaleEpoch(highest=self.epoch)
        attempt = self._find(command)
        if attempt is None:
            return CommandReply(result=CommandResult.UNKNOWN_TASK)
        if attempt.state is AttemptState.RUNNING:
            attempt.state = AttemptState.STOPPED
        return CommandReply(result=CommandResult.DONE)

    def take_checkpoint(
        self, command: TaskCommand, now: float
    ) -> CommandReply | StaleEpoch:
        """Take a checkpoint of a running attempt."""
        self.advance(now)
        if command.epoch < self.epoch:
            return StaleEpoch(highest=self.epoch)
        attempt = self._find(command)
        if attempt is None or attempt.state is not AttemptState.RUNNING:
            return CommandReply(result=CommandResult.UNKNOWN_TASK)
        attempt.checkpoint = f"{command.task_id}@{command.attempt}"
        return CommandReply(result=CommandResult.DONE, checkpoint=attempt.checkpoint)

    def _lease_end(self, lease_ms: int, now: float) -> float:
        return now + lease_ms / MS_PER_S + self.slow_clock_s

    def _find(self, command: TaskCommand) -> FakeAttempt | None:
        by_number = self.attempts_by_task.get(command.task_id, {})
        return by_number.get(command.attempt)

    def _forget(self, task: TaskId) -> None:
        by_number = self.attempts_by_task.get(task, {})
        for number, attempt in list(by_number.items()):
            if attempt.state is not AttemptState.RUNNING:
                del by_number[number]
        if not by_number:
            self.attempts_by_task.pop(task, None)
