"""Records of jobs in the store: what has to outlive every process.

One topic holds them by key. Entry VMs write a job and its cancelling; only the
holder, fenced by its epoch, writes the rest.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

import orjson
from cattrs import Converter
from returns.result import Failure, Result, Success

from tamarackmount.ids import JobId, MemberId, WorkerId
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.model import (
    JobPhase,
    ServiceName,
    TaskKey,
    WorkerIncarnation,
)


class RecordKind(Enum):
    """What a record is about; its key is the kind and an id."""

    HOLDER = "holder"
    JOB = "job"
    CANCEL = "cancel"
    PROGRESS = "progress"
    WORKER = "worker"
    FORECAST = "forecast"
    COMPLETENESS = "mark"


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Who holds the scheduling since the record at offset ``epoch``.

    ``beat`` counts its signs of life; ``released`` is set as it stops.
    ``started_unix_ms`` tells the process from others on the same entry VM.
    """

    node: MemberId
    epoch: int
    beat: int
    started_unix_ms: int
    released: bool = False


@dataclass(frozen=True, slots=True)
class CancelRecord:
    """A caller cancelled the job at this time of the entry VM's clock."""

    cancelled_unix_ms: int


@dataclass(frozen=True, slots=True)
class JobProgress:
    """What is known for good of a job.

    ``done_by_step`` and ``failures_by_task`` use texts ``OCCURRENCE.STEP`` and
    ``OCCURRENCE.STEP.INDEX`` as keys. ``checkpoints_by_task`` are those of tasks that
    wait; a worker tells those of tasks that run. ``final_unix_ms`` is when a final
    phase began.
    """

    phase: JobPhase
    done_by_step: dict[str, list[int]] = field(default_factory=dict)
    failures_by_task: dict[str, int] = field(default_factory=dict)
    checkpoints_by_task: dict[str, str] = field(default_factory=dict)
    final_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """A life of a worker that was given orders; its ends up to ``ack`` are known.

    ``runs`` are the tasks that were ordered there and are not surely over, each with
    the number of its run.
    """

    life: WorkerIncarnation
    service: ServiceName
    address: str
    ack: int
    runs: list[tuple[str, int]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CompletenessRecord:
    """Whether the store holds every run that may exist; see ``write_ahead.py``."""

    is_complete: bool


@dataclass(frozen=True, slots=True)
class QueueMeans:
    """What is known of a queue's tasks, from ``count`` of them.

    Means are of logarithms: of durations in seconds and of estimates in milliseconds.
    """

    log_took: float
    log_estimate: float
    count: int


@dataclass(frozen=True, slots=True)
class ForecastRecord:
    """What a holder has learned, so that the next one need not begin anew."""

    means_by_queue: dict[str, QueueMeans]


T = TypeVar("T")

_CONVERTER = Converter()


def record_key(kind: RecordKind, name: str = "") -> str:
    """Return the key of a record."""
    return f"{kind.value}/{name}" if name else kind.value


def encode_task(task: TaskKey) -> str:
    """Return a task's name in a worker's record."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def decode_task(text: str) -> TaskKey:
    """Return the task that a worker's record names."""
    job_id, occurrence, step, index = text.split(".")
    return TaskKey(JobId(job_id), int(occurrence), int(step), int(index))


def worker_key(incarnation: WorkerIncarnation) -> str:
    """Return the key of a worker's record."""
    return record_key(
        RecordKind.WORKER, f"{incarnation.worker_id}@{incarnation.born_unix_ms}"
    )


def split_key(key: str) -> tuple[RecordKind, str] | None:
    """Return kind and name of a key, or nothing for a foreign one."""
    kind, _, name = key.partition("/")
    try:
        return RecordKind(kind), name
    except ValueError:
        return None


def encode_record(record: object) -> bytes:
    """Return a record's value."""
    return orjson.dumps(_CONVERTER.unstructure(record))


def decode_record(value: bytes, record_type: type[T]) -> Result[T, str]:
    """Return the record in a value, or why there is none."""
    try:
        return Success(_CONVERTER.structure(orjson.loads(value), record_type))
    except Exception as error:  # noqa: BLE001  (cattrs raises groups of any type)
        return Failure(f"{type(error).__name__}: {error}")


def job_key(job: AcceptedJob) -> str:
    """Return the key of a job's own record."""
    return record_key(RecordKind.JOB, job.job_id)


def _unstructure_incarnation(incarnation: WorkerIncarnation) -> list[object]:
    return [incarnation.worker_id, incarnation.born_unix_ms]


def _structure_incarnation(raw: list[object], _: type) -> WorkerIncarnation:
    worker_id, born = raw
    return WorkerIncarnation(WorkerId(str(worker_id)), int(str(born)))


_CONVERTER.register_unstructure_hook(WorkerIncarnation, _unstructure_incarnation)
_CONVERTER.register_structure_hook(WorkerIncarnation, _structure_incarnation)
