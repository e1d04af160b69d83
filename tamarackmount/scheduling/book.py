"""Every node's view of the jobs, from the records in the store."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result

from tamarackmount.ids import JobId, Offset, QueueName
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.journal import (
    CancelRecord,
    ForecastRecord,
    JobProgress,
    MarkRecord,
    RecordKind,
    WorkerRecord,
    decode_record,
    split_key,
)
from tamarackmount.scheduling.model import JobPhase

_log = logging.getLogger(__name__)

_TYPE_BY_KIND: dict[RecordKind, type] = {
    RecordKind.JOB: AcceptedJob,
    RecordKind.CANCEL: CancelRecord,
    RecordKind.PROGRESS: JobProgress,
    RecordKind.FORECAST: ForecastRecord,
    RecordKind.MARK: MarkRecord,
}


@dataclass(slots=True)
class KnownJob:
    """The records of one job so far; they may arrive in any order."""

    accepted: AcceptedJob | None = None
    progress: JobProgress | None = None
    cancelled_unix_ms: int | None = None

    @property
    def phase(self) -> JobPhase | None:
        """What a caller is told, or nothing for a job that nobody handed in."""
        if self.accepted is None:
            return None
        if self.progress is not None and self.progress.phase.is_final:
            return self.progress.phase
        if self.cancelled_unix_ms is not None:
            return JobPhase.CANCELLED
        return self.progress.phase if self.progress is not None else JobPhase.QUEUED


class JobBook:
    """The newest records, by what they are about."""

    def __init__(self) -> None:
        """Start without records."""
        self.jobs_by_id: dict[JobId, KnownJob] = {}
        self.forecast: ForecastRecord | None = None
        self.is_complete = True
        self._workers_by_name: dict[str, bytes] = {}
        self._setters = {
            RecordKind.JOB: self._set_job,
            RecordKind.CANCEL: self._set_cancel,
            RecordKind.PROGRESS: self._set_progress,
            RecordKind.FORECAST: self._set_forecast,
            RecordKind.MARK: self._set_mark,
        }

    def apply(self, key: str, value: bytes, offset: Offset) -> None:
        """Take a record; an empty value removes what the key names."""
        found = split_key(key)
        if found is not None and found[0] is RecordKind.WORKER:
            # Decoded only by a new holder: they change with each start and end.
            self._workers_by_name[found[1]] = value
            return
        if found is None or found[0] not in _TYPE_BY_KIND:
            _log.warning("record skipped", extra={"key": key, "reason": "foreign key"})
            return
        kind, name = found
        if not value:
            self._remove(kind, name)
            return
        record: Result[Any, str] = decode_record(value, _TYPE_BY_KIND[kind])
        if isinstance(record, Failure):
            reason = record.failure()
            extra = {"key": key, "offset": offset, "reason": reason}
            _log.warning("record skipped", extra=extra)
            return
        self._setters[kind](name, record.unwrap())

    def phase(self, job_id: JobId) -> JobPhase | None:
        """Return what a caller is told of a job; nothing if it isn't known."""
        known = self.jobs_by_id.get(job_id)
        return known.phase if known is not None else None

    def waiting(self, queue: QueueName) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for known in self.jobs_by_id.values()
            if known.phase is JobPhase.QUEUED
            and known.accepted is not None
            and known.accepted.queue == queue
        )

    def open_jobs(self) -> Iterator[KnownJob]:
        """Return accepted jobs that are not in a final phase in the store."""
        for known in self.jobs_by_id.values():
            if known.accepted is None:
                continue
            if known.progress is None or not known.progress.phase.is_final:
                yield known

    def workers(self) -> Iterator[WorkerRecord]:
        """Return the workers that were given orders."""
        for name, value in self._workers_by_name.items():
            if not value:
                continue
            record = decode_record(value, WorkerRecord)
            if isinstance(record, Failure):
                extra = {"worker": name, "reason": record.failure()}
                _log.error("worker's record not readable", extra=extra)
                continue
            yield record.unwrap()

    def _job(self, name: str) -> KnownJob:
        return self.jobs_by_id.setdefault(JobId(name), KnownJob())

    def _set_job(self, name: str, record: Any) -> None:
        known = self._job(name)
        # The first record of an id counts; repeats come from calls made again.
        if known.accepted is None:
            known.accepted = record

    def _set_cancel(self, name: str, record: Any) -> None:
        self._job(name).cancelled_unix_ms = record.cancelled_unix_ms

    def _set_progress(self, name: str, record: Any) -> None:
        self._job(name).progress = record

    def _set_forecast(self, _name: str, record: Any) -> None:
        self.forecast = record

    def _set_mark(self, _name: str, record: Any) -> None:
        self.is_complete = record.is_complete

    def _remove(self, kind: RecordKind, name: str) -> None:
        if kind is RecordKind.JOB:
            self.jobs_by_id.pop(JobId(name), None)
