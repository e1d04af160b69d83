"""Every node's view of the jobs, from the records in the store."""

import logging
from collections.abc import Iterator
from typing import TypeVar

from returns.result import Failure

from tamarackmount.ids import JobId, QueueName
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.journal import (
    CancelRecord,
    CompletenessRecord,
    ForecastRecord,
    JobProgress,
    RecordKind,
    WorkerRecord,
    decode_record,
    split_key,
)
from tamarackmount.scheduling.model import JobPhase

_log = logging.getLogger(__name__)

_T = TypeVar("_T")


class JobRecords:
    """The records of one job so far; they may arrive in any order.

    Records are decoded when they are asked for: each entry VM reads all of them, and
    most are followed by a newer one before anyone asks.
    """

    __slots__ = (
        "_accepted",
        "_accepted_text",
        "_progress",
        "_progress_text",
        "cancelled_unix_ms",
        "name",
    )

    def __init__(
        self,
        accepted: AcceptedJob | None = None,
        progress: JobProgress | None = None,
        cancelled_unix_ms: int | None = None,
        name: str = "",
    ) -> None:
        """Begin with what is known; ``name`` is the job's id, for logs."""
        self._accepted = accepted
        self._progress = progress
        self._accepted_text = b""
        self._progress_text = b""
        self.cancelled_unix_ms = cancelled_unix_ms
        self.name = name

    @property
    def accepted(self) -> AcceptedJob | None:
        """The job as it was handed in."""
        if self._accepted_text:
            text, self._accepted_text = self._accepted_text, b""
            self._accepted = _decoded(text, AcceptedJob, self.name)
        return self._accepted

    @property
    def progress(self) -> JobProgress | None:
        """How far it is."""
        if self._progress_text:
            text, self._progress_text = self._progress_text, b""
            self._progress = _decoded(text, JobProgress, self.name) or self._progress
        return self._progress

    def take_accepted(self, text: bytes) -> None:
        """Take the job's own record; the first counts, others are calls made again."""
        if self.accepted is None:
            self._accepted_text = text

    def take_progress(self, text: bytes) -> None:
        """Take a newer record of its progress."""
        self._progress_text = text

    @property
    def phase(self) -> JobPhase | None:
        """What a caller is told, or nothing for a job that nobody handed in."""
        progress = self.progress
        if self.accepted is None:
            return None
        if progress is not None and progress.phase.is_final:
            return progress.phase
        if self.cancelled_unix_ms is not None:
            return JobPhase.CANCELLED
        return progress.phase if progress is not None else JobPhase.QUEUED


def _decoded(text: bytes, record_type: type[_T], name: str) -> _T | None:
    """Return the record, or log why it can't be read."""
    record = decode_record(text, record_type)
    if isinstance(record, Failure):
        extra = {"record": record_type.__name__, "name": name}
        _log.warning("record skipped", extra={**extra, "reason": record.failure()})
        return None
    return record.unwrap()


class JobIndex:
    """The newest records, by what they are about."""

    def __init__(self) -> None:
        """Start without records."""
        self.jobs_by_id: dict[JobId, JobRecords] = {}
        self.forecast: ForecastRecord | None = None
        self.runs_are_complete = True
        self._text_by_worker: dict[str, bytes] = {}
        self._setters = {
            RecordKind.JOB: self._set_job,
            RecordKind.CANCEL: self._set_cancel,
            RecordKind.PROGRESS: self._set_progress,
            RecordKind.WORKER: self._set_worker,
            RecordKind.FORECAST: self._set_forecast,
            RecordKind.COMPLETENESS: self._set_mark,
        }

    def apply(self, key: str, value: bytes) -> None:
        """Take a record; an empty value removes what the key names."""
        found = split_key(key)
        if found is None or found[0] not in self._setters:
            _log.warning("record skipped", extra={"key": key, "reason": "foreign key"})
            return
        kind, name = found
        if value:
            self._setters[kind](name, value)
        else:
            self._remove(kind, name)

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return what a caller is told of a job; nothing if it isn't known."""
        known = self.jobs_by_id.get(job_id)
        return known.phase if known is not None else None

    def waiting_count(self, queue: QueueName) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for known in self.jobs_by_id.values()
            if known.phase is JobPhase.QUEUED
            and known.accepted is not None
            and known.accepted.queue == queue
        )

    def open_jobs(self) -> Iterator[JobRecords]:
        """Return accepted jobs that are not in a final phase in the store."""
        for known in self.jobs_by_id.values():
            if known.accepted is None:
                continue
            if known.progress is None or not known.progress.phase.is_final:
                yield known

    def workers(self) -> Iterator[WorkerRecord]:
        """Return the workers that were given orders."""
        for name, text in self._text_by_worker.items():
            record = _decoded(text, WorkerRecord, name)
            if record is not None:
                yield record

    def _job(self, name: str) -> JobRecords:
        job_id = JobId(name)
        known = self.jobs_by_id.get(job_id)
        if known is None:
            known = self.jobs_by_id[job_id] = JobRecords(name=name)
        return known

    def _set_job(self, name: str, text: bytes) -> None:
        self._job(name).take_accepted(text)

    def _set_cancel(self, name: str, text: bytes) -> None:
        record = _decoded(text, CancelRecord, name)
        if record is not None:
            self._job(name).cancelled_unix_ms = record.cancelled_unix_ms

    def _set_progress(self, name: str, text: bytes) -> None:
        self._job(name).take_progress(text)

    def _set_worker(self, name: str, text: bytes) -> None:
        self._text_by_worker[name] = text

    def _set_forecast(self, name: str, text: bytes) -> None:
        self.forecast = _decoded(text, ForecastRecord, name) or self.forecast

    def _set_mark(self, name: str, text: bytes) -> None:
        record = _decoded(text, CompletenessRecord, name)
        # An unreadable mark may have said that runs are missing.
        self.runs_are_complete = record is not None and record.is_complete

    def _remove(self, kind: RecordKind, name: str) -> None:
        if kind is RecordKind.JOB:
            self.jobs_by_id.pop(JobId(name), None)
        elif kind is RecordKind.WORKER:
            self._text_by_worker.pop(name, None)
