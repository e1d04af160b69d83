"""Records in the store: the state that has to outlive every process.

One keyed topic has the records of jobs and workers, the forecast and the completeness
record. Holder records have a topic of their own; while that is away, heartbeats are
written to the first one. Any entry VM writes a job's own record and its cancellation;
only the holder, fenced by its epoch, writes the other records.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

import orjson
from cattrs import Converter
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from returns.result import Failure, Result, Success

from tamarackmount.ids import JobId, MemberId, QueueName, WorkerId, WorkspaceId
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import (
    JobPhase,
    ServiceName,
    TaskKey,
    WorkerIncarnation,
)

T = TypeVar("T")

WORKSPACE_FIELD = "team_id"
"""Stored name of a job's workspace; records of earlier versions have it."""


class RecordKind(Enum):
    """Kind of a record; the record's key is its kind and an id.

    ``COMPLETENESS`` is stored as ``mark``.
    """

    HOLDER = "holder"
    JOB = "job"
    CANCEL = "cancel"
    PROGRESS = "progress"
    WORKER = "worker"
    FORECAST = "forecast"
    COMPLETENESS = "mark"


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """A claim, a heartbeat or a release of the holder, which is on ``node``.

    ``epoch`` is its fencing token: one more than the offset of its claim. ``beat``
    counts its heartbeats; ``released`` is set when it stops. ``started_unix_ms`` tells
    its process from others on the same entry VM.
    """

    node: MemberId
    epoch: int
    beat: int
    started_unix_ms: int
    released: bool = False


@dataclass(frozen=True, slots=True)
class CancelRecord:
    """Cancellation of a job by a caller, at this time on the entry VM's clock.

    That of a job that was not known then has the callers' ``workspace_ids``, the newest
    last, and the ``public_queues`` that they used: it holds for a later job of one of
    these only, as anybody may cancel an id that is not used yet. Any other one, and
    each of an earlier version, has neither and holds for the job whosesoever it is.
    """

    cancelled_unix_ms: int
    workspace_ids: list[WorkspaceId] = field(default_factory=list)
    public_queues: list[QueueName] = field(default_factory=list)

    @property
    def last_workspace(self) -> WorkspaceId:
        """The workspace of the caller that cancelled last; empty if there is none."""
        return self.workspace_ids[-1] if self.workspace_ids else WorkspaceId("")

    @property
    def is_restricted(self) -> bool:
        """Whether it holds for jobs of certain workspaces or queues only."""
        return bool(self.workspace_ids or self.public_queues)

    def holds_for(self, job: AcceptedJob) -> bool:
        """Tell whether it cancels a job."""
        return (
            not self.is_restricted
            or job.workspace_id in self.workspace_ids
            or job.queue_name in self.public_queues
        )

    def includes(self, other: "CancelRecord") -> bool:
        """Tell whether it holds for all jobs for which another one does."""
        if not (self.is_restricted and other.is_restricted):
            return not self.is_restricted
        return set(other.workspace_ids) <= set(self.workspace_ids) and set(
            other.public_queues
        ) <= set(self.public_queues)

    def merged_with(self, other: "CancelRecord") -> "CancelRecord":
        """Return a record that holds for all jobs for which this or a newer one does.

        The store keeps the newest record of a job only.
        """
        if not (self.is_restricted and other.is_restricted):
            return CancelRecord(other.cancelled_unix_ms)
        return CancelRecord(
            other.cancelled_unix_ms,
            _joined(self.workspace_ids, other.workspace_ids),
            _joined(self.public_queues, other.public_queues),
        )


def _joined(known: list[T], newer: list[T]) -> list[T]:
    """Return all entries of two lists once, those of ``newer`` last."""
    return [entry for entry in known if entry not in newer] + newer


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A worker that crashed while it may have run a task.

    ``address`` is where the worker was, which outlives its incarnations. ``ran_ms`` is
    how long the run can have worked at most, in milliseconds. The crash
    ``is_confirmed`` if the worker had answered the start order or listed the run. The
    run ``is_early`` if it had just started: the worker confirmed it and crashed soon
    after, and before it answered a poll that was sent after the start. A crash that
    was put down to another task ``is_explained``. ``run_number`` is the run's number,
    and 0 in records of earlier versions. The crash ``is_widespread`` if other workers,
    without a task of the job, crashed at the same moment. Of a gang, ``members`` are
    the indexes of those that were on the worker; earlier versions ignore them, and
    their records have none.
    """

    worker: WorkerIncarnation
    address: str = ""
    ran_ms: int = 0
    is_early: bool = False
    is_explained: bool = False
    is_confirmed: bool = False
    run_number: int = 0
    is_widespread: bool = False
    members: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class JobProgress:
    """The stored progress of a job.

    ``done_by_step`` holds the indexes of the tasks that are done; its keys are
    ``OCCURRENCE.STEP``. Records of large jobs have ranges instead, each as its first
    and last number: ``completed_occurrences`` are those of which all is done, and
    ``done_ranges_by_step`` has the tasks that are done in others. Earlier versions
    ignore both. Keys of ``failures_by_task``, ``failed_runs_by_task`` and
    ``checkpoints_by_task`` are ``OCCURRENCE.STEP.INDEX``. ``failed_runs_by_task`` has
    the numbers of the runs that ``failures_by_task`` counts; records of earlier
    versions lack it. ``checkpoints_by_task`` has the checkpoints of tasks that wait;
    workers report those of tasks that run. ``final_unix_ms`` is when the job reached a
    final phase. ``crashes_by_task`` is the evidence that tasks crash their workers,
    under the same keys; that of a gang is under its first task. ``cause`` says why a
    job has failed: a value of ``FailureCause``, or one of a later version.
    """

    phase: JobPhase
    done_by_step: dict[str, list[int]] = field(default_factory=dict)
    failures_by_task: dict[str, int] = field(default_factory=dict)
    failed_runs_by_task: dict[str, list[int]] = field(default_factory=dict)
    checkpoints_by_task: dict[str, str] = field(default_factory=dict)
    final_unix_ms: int = 0
    crashes_by_task: dict[str, list[CrashRecord]] = field(default_factory=dict)
    cause: str = ""
    completed_occurrences: list[tuple[int, int]] = field(default_factory=list)
    done_ranges_by_step: dict[str, list[tuple[int, int]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """A worker incarnation that orders may have been sent to.

    ``life``, a name kept in the store, is the incarnation. Ends of its runs up to the
    number ``ack`` are stored. ``runs`` are the tasks that were ordered there and may
    still be running, each with the number of its run. ``drains`` is set once it has
    announced that it drains. It ``has_foreign_lease`` while calls to its former
    incarnation may have given it a longer lease than usual.
    """

    life: WorkerIncarnation
    service: ServiceName
    address: str
    ack: int
    runs: list[tuple[str, int]] = field(default_factory=list)
    drains: bool = False
    has_foreign_lease: bool = False


@dataclass(frozen=True, slots=True)
class CompletenessRecord:
    """Whether the store holds every run that may exist; see ``write_ahead.py``."""

    is_complete: bool


@dataclass(frozen=True, slots=True)
class QueueMeans:
    """Mean durations and estimates of ``count`` tasks of a queue.

    The means are those of natural logarithms, of durations in seconds and of estimates
    in milliseconds.
    """

    log_took: float
    log_estimate: float
    count: int


@dataclass(frozen=True, slots=True)
class ForecastRecord:
    """The forecast of a holder, stored for the next one to continue from.

    ``means_by_worker`` has, by worker id, the mean natural logarithm of how many times
    as long as usual runs took there, and the number of these runs; records of earlier
    versions lack it.
    """

    means_by_queue: dict[str, QueueMeans]
    means_by_worker: dict[str, tuple[float, float]] = field(default_factory=dict)


_CONVERTER = Converter()


def record_key(kind: RecordKind, name: str = "") -> str:
    """Return the key of a record."""
    return f"{kind.value}/{name}" if name else kind.value


def encode_task(task: TaskKey) -> str:
    """Return the name of a task in a worker's record."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(text: str) -> TaskKey:
    """Return the task with this name in a worker's record."""
    job_id, occurrence, step, index = text.split(".")
    return TaskKey(JobId(job_id), int(occurrence), int(step), int(index))


def worker_key(incarnation: WorkerIncarnation) -> str:
    """Return the key of a worker's record."""
    return record_key(
        RecordKind.WORKER, f"{incarnation.worker_id}@{incarnation.born_unix_ms}"
    )


def split_key(key: str) -> tuple[RecordKind, str] | None:
    """Return the kind and the id in a key, or None if its kind is not known."""
    kind, _, name = key.partition("/")
    try:
        return RecordKind(kind), name
    except ValueError:
        return None


def encode_record(record: object) -> bytes:
    """Return a record encoded as JSON."""
    # The encoder's buffer is several times as long as the text, and would be kept.
    return bytes(memoryview(orjson.dumps(_CONVERTER.unstructure(record))))


def decode_record(value: bytes, record_type: type[T]) -> Result[T, str]:
    """Return the record in a JSON value, or why it can't be decoded."""
    try:
        return Success(_CONVERTER.structure(orjson.loads(value), record_type))
    except Exception as error:  # noqa: BLE001  (cattrs raises groups of any type)
        return Failure(f"{type(error).__name__}: {error}")


def job_key(job: AcceptedJob) -> str:
    """Return the key of a job's own record."""
    return record_key(RecordKind.JOB, job.job_id)


def _prefix_of_final_progress(phase: JobPhase) -> bytes:
    return encode_record(JobProgress(phase)).partition(b",")[0]


_FINAL_PREFIXES = tuple(
    _prefix_of_final_progress(phase) for phase in JobPhase if phase.is_final
)


def is_final_progress(value: bytes) -> bool:
    """Tell whether a job's progress has a final phase, without decoding the record.

    Records of other versions may begin with other fields; they count as not final.
    """
    return value.startswith(_FINAL_PREFIXES)


def job_id_in(key: str) -> JobId | None:
    """Return the id of the job whose own record has this key; None for other keys."""
    kind, _, name = key.partition("/")
    return JobId(name) if kind == RecordKind.JOB.value else None


def cancelled_job_id_in(key: str) -> JobId | None:
    """Return the id of the job whose cancellation has this key; None for other keys."""
    kind, _, name = key.partition("/")
    return JobId(name) if kind == RecordKind.CANCEL.value else None


def _unstructure_incarnation(incarnation: WorkerIncarnation) -> list[object]:
    return [incarnation.worker_id, incarnation.born_unix_ms]


def _structure_incarnation(raw: list[object], _: type) -> WorkerIncarnation:
    worker_id, born = raw
    return WorkerIncarnation(WorkerId(str(worker_id)), int(str(born)))


_CONVERTER.register_unstructure_hook(WorkerIncarnation, _unstructure_incarnation)
_CONVERTER.register_structure_hook(WorkerIncarnation, _structure_incarnation)

_OMIT_IF_EMPTY = override(omit_if_default=True)

_CONVERTER.register_unstructure_hook(
    JobProgress,
    make_dict_unstructure_fn(
        JobProgress,
        _CONVERTER,
        completed_occurrences=_OMIT_IF_EMPTY,
        done_ranges_by_step=_OMIT_IF_EMPTY,
    ),
)
_CONVERTER.register_unstructure_hook(
    CancelRecord,
    make_dict_unstructure_fn(
        CancelRecord,
        _CONVERTER,
        workspace_ids=_OMIT_IF_EMPTY,
        public_queues=_OMIT_IF_EMPTY,
    ),
)

_WORKSPACE_OVERRIDE = override(rename=WORKSPACE_FIELD)

_CONVERTER.register_unstructure_hook(
    AcceptedJob,
    make_dict_unstructure_fn(AcceptedJob, _CONVERTER, workspace_id=_WORKSPACE_OVERRIDE),
)
_CONVERTER.register_structure_hook(
    AcceptedJob,
    make_dict_structure_fn(AcceptedJob, _CONVERTER, workspace_id=_WORKSPACE_OVERRIDE),
)
