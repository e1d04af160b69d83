"""Logic of the stand-in for one worker, without I/O."""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

from returns.result import Failure, Result, Success

from tamarackmount.adapters.worker_schema import (
    Amount,
    AttemptState,
    CommandReply,
    CommandResult,
    StaleEpoch,
    StartCommand,
    SyncCommand,
    TaskCommand,
    ThrottleCommand,
    WorkerReport,
)
from tamarackmount.ids import Epoch, Instant, TaskId, WorkerId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.standins.control import BreachLog, FaultBody
from tamarackmount.standins.worker_attempt import (
    AttemptKey,
    RunningAttempt,
    work_done_ms,
)

MAX_HISTORY = 200_000
"""Largest number of ended attempts kept in the history."""


class WorkerMode(Enum):
    """How the worker responds to commands."""

    UP = "up"
    REFUSE = "refuse"
    HANG = "hang"


class WorkerFaults(FaultBody):
    """Faults of a worker.

    Commands have no effect in mode ``refuse``, which answers them with status 503,
    and in mode ``hang``, which never answers them. ``fail_starts`` answers every
    start with ``start_failed``. ``force_exit_code`` replaces the exit code of
    later starts.
    """

    mode: WorkerMode = WorkerMode.UP
    fail_starts: bool = False
    force_exit_code: int | None = None


@dataclass(frozen=True, slots=True)
class WorkerPlan:
    """Identity, capacity and behaviour of a worker.

    Reported usage is ``usage_lag_s`` old and is the declared amount times
    ``usage_factor``. Run times are those of the start commands times
    ``run_factor``. ``wall_offset_s`` is the wall-clock time minus the time passed
    to the methods of the worker.
    """

    worker_id: WorkerId
    capacity: Amount
    usage_lag_s: float = 0.0
    usage_factor: float = 1.0
    run_factor: float = 1.0
    wall_offset_s: float = 0.0


class WorkerModel:
    """A worker that simulates the attempts of tasks, each under a lease."""

    def __init__(self, plan: WorkerPlan) -> None:
        """Create a worker without attempts and without an owner."""
        self.breach_log = BreachLog()
        self.faults = WorkerFaults()
        self._plan = plan
        self._epoch = Epoch(0)
        self._owner = ""
        self._attempts_by_key: dict[AttemptKey, RunningAttempt] = {}
        self._running_by_key: dict[AttemptKey, RunningAttempt] = {}
        self._history: deque[RunningAttempt] = deque(maxlen=MAX_HISTORY)
        self._starts = 0
        self._refused_stale = 0
        self._refused_capacity = 0

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raise pydantic's ``ValidationError`` if invalid."""
        self.faults = WorkerFaults.model_validate_json(body)

    def sync(
        self, now: Instant, command: SyncCommand
    ) -> Result[WorkerReport, StaleEpoch]:
        """Record the owner, renew leases, forget ended attempts and report."""
        stale = self._accept_epoch(now, command.epoch)
        if stale is not None:
            return Failure(stale)
        self._owner = command.owner
        self._renew(now, set(command.renew), command.lease_ms)
        self._forget(set(command.forget))
        return Success(self._report(now))

    def start(
        self, now: Instant, command: StartCommand
    ) -> Result[CommandReply, StaleEpoch]:
        """Start an attempt; a repeated command has no further effect."""
        stale = self._accept_epoch(now, command.epoch)
        if stale is not None:
            return Failure(stale)
        if AttemptKey(command.task_id, command.attempt) in self._attempts_by_key:
            return Success(CommandReply(result=CommandResult.DONE))
        return Success(CommandReply(result=self._start(now, command)))

    def stop(
        self, now: Instant, command: TaskCommand
    ) -> Result[CommandReply, StaleEpoch]:
        """Stop an attempt; one that has ended stays unchanged."""
        stale = self._accept_epoch(now, command.epoch)
        if stale is not None:
            return Failure(stale)
        attempt = self._attempts_by_key.get(_key(command))
        if attempt is None:
            return Success(CommandReply(result=CommandResult.UNKNOWN_TASK))
        if attempt.is_running:
            attempt.end(now, AttemptState.STOPPED)
            self._advance_attempts(now)
        return Success(CommandReply(result=CommandResult.DONE))

    def checkpoint(
        self, now: Instant, command: TaskCommand
    ) -> Result[CommandReply, StaleEpoch]:
        """Take a checkpoint of a running attempt."""
        stale = self._accept_epoch(now, command.epoch)
        if stale is not None:
            return Failure(stale)
        attempt = self._running_by_key.get(_key(command))
        if attempt is None:
            return Success(CommandReply(result=CommandResult.UNKNOWN_TASK))
        token = attempt.take_checkpoint(now)
        return Success(CommandReply(result=CommandResult.DONE, checkpoint=token))

    def throttle(
        self, now: Instant, command: ThrottleCommand
    ) -> Result[CommandReply, StaleEpoch]:
        """Change the speed of a running attempt for the rest of its work."""
        stale = self._accept_epoch(now, command.epoch)
        if stale is not None:
            return Failure(stale)
        attempt = self._running_by_key.get(_key(command))
        if attempt is None:
            return Success(CommandReply(result=CommandResult.UNKNOWN_TASK))
        attempt.throttle(now, command.percent)
        return Success(CommandReply(result=CommandResult.DONE))

    def state(self, now: Instant) -> dict[str, Any]:
        """Return counters and the history of attempts, with wall-clock times."""
        self._advance_attempts(now)
        running = list(self._running_by_key.values())
        return {
            "worker_id": self._plan.worker_id,
            "epoch": self._epoch,
            "owner": self._owner,
            "running": len(running),
            "starts": self._starts,
            "refused_stale": self._refused_stale,
            "refused_capacity": self._refused_capacity,
            "history": [
                self._history_entry(item) for item in [*self._history, *running]
            ],
            "faults": self.faults.model_dump(mode="json"),
        }

    def _accept_epoch(self, now: Instant, epoch: Epoch) -> StaleEpoch | None:
        self._advance_attempts(now)
        if epoch < self._epoch:
            self._refused_stale += 1
            return StaleEpoch(highest=self._epoch)
        self._epoch = epoch
        return None

    def _advance_attempts(self, now: Instant) -> None:
        for key, attempt in list(self._running_by_key.items()):
            attempt.advance(now)
            if not attempt.is_running:
                del self._running_by_key[key]
                self._history.append(attempt)

    def _renew(self, now: Instant, task_ids: set[TaskId], lease_ms: int) -> None:
        for key, attempt in self._running_by_key.items():
            if key.task_id in task_ids:
                attempt.lease_deadline = Instant(now + lease_ms / 1_000)

    def _forget(self, task_ids: set[TaskId]) -> None:
        for key, attempt in list(self._attempts_by_key.items()):
            if key.task_id in task_ids and not attempt.is_running:
                del self._attempts_by_key[key]

    def _report(self, now: Instant) -> WorkerReport:
        usage_at = Instant(now - self._plan.usage_lag_s)
        factor = self._plan.usage_factor
        attempts = self._attempts_by_key.values()
        return WorkerReport(
            worker_id=self._plan.worker_id,
            epoch=self._epoch,
            capacity=self._plan.capacity,
            attempts=[attempt.report(usage_at, factor) for attempt in attempts],
        )

    def _start(self, now: Instant, command: StartCommand) -> CommandResult:
        self._check_not_running(command)
        if not self._fits(command):
            return CommandResult.NO_CAPACITY
        done_ms = work_done_ms(command.checkpoint)
        if self.faults.fail_starts or done_ms is None:
            return CommandResult.START_FAILED
        attempt = self._new_attempt(now, command, done_ms)
        self._attempts_by_key[attempt.key] = attempt
        self._running_by_key[attempt.key] = attempt
        self._starts += 1
        return CommandResult.DONE

    def _new_attempt(
        self, now: Instant, command: StartCommand, done_ms: int
    ) -> RunningAttempt:
        exit_code = command.exit_code
        if self.faults.force_exit_code is not None:
            exit_code = self.faults.force_exit_code
        run_s = None
        if command.run_ms is not None:
            run_s = command.run_ms * self._plan.run_factor / 1_000
        return RunningAttempt(now, command, run_s, done_ms / 1_000, exit_code)

    def _check_not_running(self, command: StartCommand) -> None:
        for key in self._running_by_key:
            if key.task_id == command.task_id:
                detail = f"{key.task_id}: {key.attempt} runs, {command.attempt} starts"
                self.breach_log.add("task_runs_twice", detail)

    def _fits(self, command: StartCommand) -> bool:
        committed = NOTHING
        for attempt in self._running_by_key.values():
            committed += _resources(attempt.declared)
        wanted = committed + _resources(command.amount)
        if wanted.fits_in(_resources(self._plan.capacity)):
            return True
        self._refused_capacity += 1
        detail = f"{command.task_id}/{command.attempt} would make it {wanted}"
        self.breach_log.add("over_capacity", detail)
        return False

    def _history_entry(self, attempt: RunningAttempt) -> dict[str, Any]:
        offset = self._plan.wall_offset_s
        ended_at = attempt.ended_at
        return {
            "task": attempt.key.task_id,
            "attempt": attempt.key.attempt,
            "start": attempt.started_at + offset,
            "end": None if ended_at is None else ended_at + offset,
            "state": attempt.state.value,
        }


def _key(command: TaskCommand | ThrottleCommand) -> AttemptKey:
    return AttemptKey(command.task_id, command.attempt)


def _resources(amount: Amount) -> Resources:
    return Resources(amount.millicores, amount.memory_mib, amount.accelerators)
