"""One attempt of a task, as the worker's stand-in simulates it."""

from dataclasses import dataclass

from tamarackmount.adapters.worker_schema import (
    Amount,
    AttemptReport,
    AttemptState,
    StartCommand,
)
from tamarackmount.ids import Instant, TaskId

FULL_SPEED_PERCENT = 100
"""Speed of an attempt that is not throttled, in percent."""

TOKEN_SEPARATOR = "@"
"""Separator before the work done, in milliseconds, in a checkpoint token."""


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies one attempt of a task."""

    task_id: TaskId
    attempt: int


def work_done_ms(token: str) -> int | None:
    """Return the work recorded in a checkpoint token, or ``None`` if malformed.

    An empty token stands for no work done.
    """
    if not token:
        return 0
    _, separator, work = token.rpartition(TOKEN_SEPARATOR)
    if not separator or not work.isdecimal():
        return None
    return int(work)


def scaled(amount: Amount, factor: float) -> Amount:
    """Return processors and memory times ``factor``, with the same accelerators."""
    return Amount(
        millicores=round(amount.millicores * factor),
        memory_mib=round(amount.memory_mib * factor),
        accelerators=amount.accelerators,
    )


UNUSED = Amount(millicores=0, memory_mib=0, accelerators=0)
"""Usage of an attempt that is not running."""


class RunningAttempt:
    """A simulated attempt under a lease, which starts no process.

    ``run_s`` is the run time at full speed, or ``None`` for an attempt that runs
    until it is stopped or its lease ends.
    """

    def __init__(
        self,
        now: Instant,
        command: StartCommand,
        run_s: float | None,
        done_s: float,
        exit_code: int,
    ) -> None:
        """Start at ``now``, with ``done_s`` of the work done by earlier attempts."""
        self.key = AttemptKey(command.task_id, command.attempt)
        self.team = command.team
        self.declared = command.amount
        self.checkpoint = command.checkpoint
        self.state = AttemptState.RUNNING
        self.exit_code = 0
        self.started_at = now
        self.ended_at: Instant | None = None
        self.lease_deadline = Instant(now + command.lease_ms / 1_000)
        self._percent = FULL_SPEED_PERCENT
        self._planned_exit_code = exit_code
        self._run_s = run_s
        self._done_s = done_s
        self._accrued_at = now

    @property
    def is_running(self) -> bool:
        """Whether the attempt has not ended yet."""
        return self.state is AttemptState.RUNNING

    def advance(self, now: Instant) -> None:
        """End the attempt if its work is done or its lease has expired at ``now``."""
        if not self.is_running:
            return
        run_deadline = self._run_deadline()
        if run_deadline <= min(now, self.lease_deadline):
            self._finish(run_deadline)
            return
        if self.lease_deadline <= now:
            self.end(self.lease_deadline, AttemptState.LAPSED)

    def end(self, at: Instant, state: AttemptState) -> None:
        """End the attempt at an instant with a final state."""
        self._accrue_work(at)
        self.state = state
        self.ended_at = at

    def take_checkpoint(self, now: Instant) -> str:
        """Store a checkpoint of the work done so far and return its token."""
        self._accrue_work(now)
        task_id, attempt = self.key.task_id, self.key.attempt
        done_ms = int(self._done_s * 1_000)
        self.checkpoint = f"{task_id}#{attempt}{TOKEN_SEPARATOR}{done_ms}"
        return self.checkpoint

    def throttle(self, now: Instant, percent: int) -> None:
        """Run the remaining work at ``percent`` of full speed."""
        self._accrue_work(now)
        self._percent = percent

    def usage(self, at: Instant, factor: float) -> Amount:
        """Return the usage at an instant; ``factor`` scales the declared amount."""
        if at < self.started_at:
            return UNUSED
        if self.ended_at is not None and at >= self.ended_at:
            return UNUSED
        scaled_amount = scaled(self.declared, factor)
        millicores = scaled_amount.millicores * self._percent // FULL_SPEED_PERCENT
        return scaled_amount.model_copy(update={"millicores": millicores})

    def report(self, at: Instant, factor: float) -> AttemptReport:
        """Return the current report, with the usage at the instant ``at``."""
        return AttemptReport(
            task_id=self.key.task_id,
            attempt=self.key.attempt,
            team=self.team,
            state=self.state,
            exit_code=self.exit_code,
            declared=self.declared,
            usage=self.usage(at, factor),
            checkpoint=self.checkpoint,
        )

    def _finish(self, at: Instant) -> None:
        self.exit_code = self._planned_exit_code
        succeeded = self.exit_code == 0
        self.end(at, AttemptState.SUCCEEDED if succeeded else AttemptState.FAILED)

    def _run_deadline(self) -> Instant:
        if self._run_s is None:
            return Instant(float("inf"))
        remaining_s = max(0.0, self._run_s - self._done_s)
        return Instant(
            self._accrued_at + remaining_s * FULL_SPEED_PERCENT / self._percent
        )

    def _accrue_work(self, now: Instant) -> None:
        self._done_s += (now - self._accrued_at) * self._percent / FULL_SPEED_PERCENT
        self._accrued_at = now
