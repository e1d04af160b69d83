"""Messages between a data centre's owner and the platform's workers.

JSON over HTTP, every call a ``POST`` that carries the owner's epoch:

- ``/sync``: :class:`SyncCommand` -> :class:`WorkerReport`. Claims the worker for
  the epoch, renews the leases of the named tasks, forgets ended ones.
- ``/start``: :class:`StartCommand` -> :class:`CommandReply`.
- ``/stop``, ``/checkpoint``: :class:`TaskCommand` -> :class:`CommandReply`.
- ``/throttle``: :class:`ThrottleCommand` -> :class:`CommandReply`.

A call with an epoch below the highest one seen is answered 409 with a
:class:`StaleEpoch`, and has no effect. Every command is idempotent: the same
start (task and attempt) while that attempt is known changes nothing.
Durations are counted by the worker from the moment the call arrives.
"""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from tamarackmount.ids import Epoch, MemberId, TaskId, TeamId, WorkerId


class _Message(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Amount(_Message):
    """An amount of worker capacity."""

    millicores: int = Field(ge=0)
    memory_mib: int = Field(ge=0)
    accelerators: int = Field(ge=0)


class AttemptState(Enum):
    """State of one attempt of a task on a worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class CommandResult(Enum):
    """What a worker did with a command."""

    DONE = "done"
    NO_CAPACITY = "no_capacity"
    START_FAILED = "start_failed"
    UNKNOWN_TASK = "unknown_task"


class SyncCommand(_Message):
    """Claim the worker, renew leases for ``lease_ms``, forget ended attempts."""

    epoch: Epoch
    owner: MemberId
    lease_ms: int = Field(gt=0)
    renew: list[TaskId] = []
    forget: list[TaskId] = []


class StartCommand(_Message):
    """Start an attempt of a task under a lease.

    ``run_ms`` is the run time that the stand-in plays; ``None`` runs until stopped.
    ``checkpoint`` is the token of an earlier attempt to resume from, or empty.
    """

    epoch: Epoch
    task_id: TaskId
    attempt: int = Field(ge=1)
    team: TeamId
    amount: Amount
    lease_ms: int = Field(gt=0)
    run_ms: int | None = None
    exit_code: int = 0
    checkpoint: str = ""
    traceparent: str = ""


class TaskCommand(_Message):
    """Stop or checkpoint an attempt."""

    epoch: Epoch
    task_id: TaskId
    attempt: int = Field(ge=1)


class ThrottleCommand(_Message):
    """Limit an attempt to ``percent`` of its declared processors."""

    epoch: Epoch
    task_id: TaskId
    attempt: int = Field(ge=1)
    percent: int = Field(ge=1, le=100)


class CommandReply(_Message):
    """Result of a command; ``checkpoint`` is the token of a checkpoint taken."""

    result: CommandResult
    checkpoint: str = ""


class StaleEpoch(_Message):
    """Refusal of a command whose epoch is below the highest one seen."""

    highest: Epoch


class AttemptReport(_Message):
    """What a worker knows of one attempt; ``usage`` lags behind."""

    task_id: TaskId
    attempt: int
    team: TeamId
    state: AttemptState
    exit_code: int
    declared: Amount
    usage: Amount
    checkpoint: str = ""


class WorkerReport(_Message):
    """A worker's capacity and every attempt that it has not been told to forget."""

    worker_id: WorkerId
    epoch: Epoch
    capacity: Amount
    attempts: list[AttemptReport]
