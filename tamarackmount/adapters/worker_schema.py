"""Messages between a data centre's owner and the platform's workers.

JSON over HTTP; every call is a ``POST`` that carries the owner's epoch:

- ``/sync``: :class:`SyncCommand` -> :class:`WorkerReport`. Claims the worker for
  the epoch, renews the leases of the listed tasks, and removes ended attempts.
- ``/start``: :class:`StartCommand` -> :class:`CommandReply`.
- ``/stop``, ``/checkpoint``: :class:`TaskCommand` -> :class:`CommandReply`.
- ``/throttle``: :class:`ThrottleCommand` -> :class:`CommandReply`.

A call with an epoch below the highest one that the worker has seen is refused with
status 409 and a :class:`StaleEpoch`, and has no effect. Every command is
idempotent: a second start of a task and attempt that the worker knows changes nothing.
The worker measures durations from the arrival of the call.
"""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from tamarackmount.ids import Epoch, MemberId, TaskId, WorkerId, WorkspaceId


class _Message(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Amount(_Message):
    """An amount of worker capacity."""

    millicores: int = Field(ge=0)
    memory_mib: int = Field(ge=0)
    accelerators: int = Field(ge=0)


class AttemptState(Enum):
    """State of an attempt of a task; ``LAPSED`` means that its lease ended."""

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
    """Claim the worker, renew leases and remove ended attempts.

    ``renew`` lists the tasks whose leases are renewed for ``lease_ms``; ``forget``
    lists the tasks whose ended attempts the worker removes from its reports.
    """

    epoch: Epoch
    owner: MemberId
    lease_ms: int = Field(gt=0)
    renew: list[TaskId] = []
    forget: list[TaskId] = []


class StartCommand(_Message):
    """Start an attempt of a task with a lease of ``lease_ms``.

    ``run_ms`` is the run time that a simulated worker uses; with ``None`` the task
    runs until it is stopped. ``checkpoint`` is the token of a checkpoint of an earlier
    attempt to resume from, or empty.
    """

    epoch: Epoch
    task_id: TaskId
    attempt: int = Field(ge=1)
    team: WorkspaceId
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
    """Limit an attempt to ``percent`` of its declared CPU."""

    epoch: Epoch
    task_id: TaskId
    attempt: int = Field(ge=1)
    percent: int = Field(ge=1, le=100)


class CommandReply(_Message):
    """Result of a command; ``checkpoint`` is the token of a new checkpoint."""

    result: CommandResult
    checkpoint: str = ""


class StaleEpoch(_Message):
    """Refusal of a command whose epoch is below the highest one seen."""

    highest: Epoch


class AttemptReport(_Message):
    """State of one attempt; ``usage`` may be out of date."""

    task_id: TaskId
    attempt: int
    team: WorkspaceId
    state: AttemptState
    exit_code: int
    declared: Amount
    usage: Amount
    checkpoint: str = ""


class WorkerReport(_Message):
    """A worker's capacity and all attempts that it was not told to forget."""

    worker_id: WorkerId
    epoch: Epoch
    capacity: Amount
    attempts: list[AttemptReport]
