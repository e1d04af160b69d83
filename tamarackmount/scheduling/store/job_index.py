"""Index of the jobs, which every node builds from the records in the store."""

import logging
from collections import Counter
from collections.abc import Iterator
from typing import TypeVar

from returns.result import Failure

from tamarackmount.ids import JobId, QueueName, WorkspaceId
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import FailureCause, JobPhase
from tamarackmount.scheduling.store.job_sizes import JobSize, job_size
from tamarackmount.scheduling.store.journal import (
    CancelRecord,
    CompletenessRecord,
    ForecastRecord,
    HolderRecord,
    JobProgress,
    RecordKind,
    WorkerRecord,
    decode_record,
    decode_task,
    is_final_progress,
    split_key,
)
from tamarackmount.scheduling.store.unmatched_cancels import UnmatchedCancels
from tamarackmount.scheduling.store.waiting_counts import WaitingCounts

_log = logging.getLogger(__name__)

_T = TypeVar("_T")


class JobRecords:
    """The records of one job that were read so far; they may arrive in any order.

    A record is decoded when it is first used: each entry VM reads all records, and most
    are replaced by a newer one before that.
    """

    __slots__ = (
        "_accepted",
        "_accepted_text",
        "_progress",
        "_progress_text",
        "cancellation",
        "is_final",
        "name",
        "size",
    )

    def __init__(
        self,
        accepted: AcceptedJob | None = None,
        progress: JobProgress | None = None,
        cancellation: CancelRecord | None = None,
        name: str = "",
    ) -> None:
        """Start with the records that are given; ``name`` is the job's id, for logs.

        ``size`` is an estimate of the job's memory, and ``is_final`` is set once a
        progress record has a final phase; both are known before records are decoded.
        """
        self._accepted = accepted
        self._progress = progress
        self._accepted_text = b""
        self._progress_text = b""
        self.cancellation = cancellation
        self.name = name
        self.size = JobSize(0, 0)
        self.is_final = progress is not None and progress.phase.is_final

    @property
    def kept_bytes(self) -> int:
        """Memory that the job takes now, in bytes; only open jobs have state."""
        return self.size.record if self.is_final else self.size.total

    @property
    def accepted(self) -> AcceptedJob | None:
        """The job as it was submitted, or None if no valid record of it was read."""
        if self._accepted_text:
            text, self._accepted_text = self._accepted_text, b""
            self._accepted = _decode(text, AcceptedJob, self.name)
        return self._accepted

    @property
    def progress(self) -> JobProgress | None:
        """The job's newest progress record that could be decoded."""
        if self._progress_text:
            text, self._progress_text = self._progress_text, b""
            self._progress = _decode(text, JobProgress, self.name) or self._progress
        return self._progress

    @property
    def is_cancelled(self) -> bool:
        """Whether the job is known, and was cancelled by a caller who may do so."""
        accepted, cancellation = self.accepted, self.cancellation
        return (
            accepted is not None
            and cancellation is not None
            and cancellation.holds_for(accepted)
        )

    def set_accepted(self, text: bytes) -> None:
        """Set the job's own record; the first counts, later ones are repeated calls."""
        if text != self._accepted_text and self.accepted is None:
            self._accepted_text = text
            self.size = job_size(text)

    def set_progress(self, text: bytes) -> None:
        """Set a newer progress record."""
        self._progress_text = text
        self.is_final = self.is_final or is_final_progress(text)

    @property
    def phase(self) -> JobPhase | None:
        """The phase that callers are told, or None for a job that was not submitted."""
        progress = self.progress
        if self.accepted is None:
            return None
        if progress is not None and progress.phase.is_final:
            return progress.phase
        if self.is_cancelled:
            return JobPhase.CANCELLED
        return progress.phase if progress is not None else JobPhase.QUEUED


def _decode(text: bytes, record_type: type[_T], name: str) -> _T | None:
    """Return the record, or log why it can't be decoded and return None."""
    record = decode_record(text, record_type)
    if isinstance(record, Failure):
        extra = {"record": record_type.__name__, "record_id": name}
        _log.warning(
            "stored record can't be decoded, skipped",
            extra={**extra, "reason": record.failure()},
        )
        return None
    return record.unwrap()


def _has_valid_tasks(record: WorkerRecord, name: str) -> bool:
    try:
        for text, _ in record.runs:
            decode_task(text)
    except ValueError as error:
        extra = {"record": "WorkerRecord", "record_id": name, "reason": str(error)}
        _log.warning("stored record can't be decoded, skipped", extra=extra)
        return False
    return True


class JobIndex:
    """The newest records of jobs and workers, and the newest forecast.

    ``runs_are_complete`` tells whether the store holds every run that may exist, as the
    newest completeness record says. ``heartbeat`` is the newest one of a holder in this
    topic; claims and most heartbeats are in a topic of their own, see
    ``node/claims.py``. ``kept_bytes`` is an estimate of the memory that all jobs take,
    and ``kept_bytes_by_workspace`` that of each workspace's jobs. ``unmatched_cancels``
    are those of jobs without a record.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.jobs_by_id: dict[JobId, JobRecords] = {}
        self.forecast: ForecastRecord | None = None
        self.heartbeat: HolderRecord | None = None
        self.runs_are_complete = True
        self.kept_bytes = 0
        self.kept_bytes_by_workspace: Counter[WorkspaceId] = Counter()
        self.unmatched_cancels = UnmatchedCancels()
        self._waiting = WaitingCounts()
        self._text_by_worker: dict[str, bytes] = {}
        self._setters = {
            RecordKind.HOLDER: self._set_heartbeat,
            RecordKind.JOB: self._set_job,
            RecordKind.CANCEL: self._set_cancel,
            RecordKind.PROGRESS: self._set_progress,
            RecordKind.WORKER: self._set_worker,
            RecordKind.FORECAST: self._set_forecast,
            RecordKind.COMPLETENESS: self._set_completeness,
        }

    def clear(self) -> None:
        """Forget all records; the next snapshot of the store brings them again."""
        self.jobs_by_id.clear()
        self._text_by_worker.clear()
        self.forecast = None
        self.heartbeat = None
        self.runs_are_complete = True
        self.kept_bytes = 0
        self.kept_bytes_by_workspace.clear()
        self.unmatched_cancels.clear()
        self._waiting.clear()

    def apply(self, key: str, value: bytes) -> None:
        """Apply a record; an empty value removes the job or worker of the key."""
        parsed = split_key(key)
        if parsed is None or parsed[0] not in self._setters:
            _log.warning(
                "stored record has an unexpected key, skipped",
                extra={"key": key, "reason": "kind not expected in this topic"},
            )
            return
        kind, name = parsed
        if value:
            self._setters[kind](name, value)
        else:
            self._remove(kind, name)

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return the phase that callers are told of a job, or None if it is unknown."""
        records = self.jobs_by_id.get(job_id)
        return records.phase if records is not None else None

    def is_counted(self, job_id: JobId) -> bool:
        """Tell whether ``kept_bytes`` includes a job."""
        records = self.jobs_by_id.get(job_id)
        return records is not None and records.kept_bytes > 0

    def failure_cause(self, job_id: JobId) -> FailureCause | None:
        """Return why a job has failed, as its stored progress tells."""
        records = self.jobs_by_id.get(job_id)
        progress = records.progress if records is not None else None
        if progress is None or not progress.cause:
            return None
        try:
            return FailureCause(progress.cause)
        except ValueError:
            extra = {"job": job_id, "value": progress.cause}
            _log.warning("stored job has an unknown cause; not told", extra=extra)
            return None

    def waiting_count(self, queue: QueueName) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return self._waiting.count(queue)

    def open_jobs(self) -> Iterator[JobRecords]:
        """Return the accepted jobs whose stored phase is not final.

        The others, which are the most, need not be decoded for it.
        """
        for records in list(self.jobs_by_id.values()):
            if records.is_final:
                continue
            progress = records.progress
            if progress is not None and progress.phase.is_final:
                continue
            if records.accepted is not None:
                yield records

    def workers(self) -> Iterator[WorkerRecord]:
        """Return the records of workers."""
        for name, text in list(self._text_by_worker.items()):
            record = _decode(text, WorkerRecord, name)
            if record is not None and _has_valid_tasks(record, name):
                yield record

    def _records_of(self, name: str) -> JobRecords:
        job_id = JobId(name)
        records = self.jobs_by_id.get(job_id)
        if records is None:
            records = self.jobs_by_id[job_id] = JobRecords(name=name)
        return records

    def _count(self, records: JobRecords, added_bytes: int) -> None:
        """Add to the memory that a job is counted with."""
        self.kept_bytes += added_bytes
        self.kept_bytes_by_workspace[records.size.workspace_id] += added_bytes

    def _set_job(self, name: str, text: bytes) -> None:
        records = self._records_of(name)
        self._count(records, -records.kept_bytes)
        records.set_accepted(text)
        self.unmatched_cancels.remove(JobId(name))
        self._count(records, records.kept_bytes)
        self._waiting.update(JobId(name), records)

    def _set_cancel(self, name: str, text: bytes) -> None:
        record = _decode(text, CancelRecord, name)
        if record is not None:
            records = self._records_of(name)
            if records.cancellation is not None:
                record = records.cancellation.merged_with(record)
            records.cancellation = record
            if records.accepted is None:
                self.unmatched_cancels.add(JobId(name), record)
            self._waiting.update(JobId(name), records)

    def _set_progress(self, name: str, text: bytes) -> None:
        records = self._records_of(name)
        was_final = records.is_final
        records.set_progress(text)
        if records.is_final and not was_final:
            self._count(records, -records.size.state)
        self._waiting.update(JobId(name), records)

    def _set_worker(self, name: str, text: bytes) -> None:
        self._text_by_worker[name] = text

    def _set_forecast(self, name: str, text: bytes) -> None:
        self.forecast = _decode(text, ForecastRecord, name) or self.forecast

    def _set_heartbeat(self, name: str, text: bytes) -> None:
        self.heartbeat = _decode(text, HolderRecord, name) or self.heartbeat

    def _set_completeness(self, name: str, text: bytes) -> None:
        record = _decode(text, CompletenessRecord, name)
        # A record that can't be decoded may have said that runs are missing.
        self.runs_are_complete = record is not None and record.is_complete

    def _remove(self, kind: RecordKind, name: str) -> None:
        if kind is RecordKind.JOB:
            records = self.jobs_by_id.pop(JobId(name), None)
            self._waiting.remove(JobId(name))
            self.unmatched_cancels.remove(JobId(name))
            if records is not None:
                self._count(records, -records.kept_bytes)
        elif kind is RecordKind.CANCEL and JobId(name) in self.unmatched_cancels:
            self.unmatched_cancels.remove(JobId(name))
            self._waiting.remove(JobId(name))
            self.jobs_by_id.pop(JobId(name), None)
        elif kind is RecordKind.WORKER:
            self._text_by_worker.pop(name, None)
