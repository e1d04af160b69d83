"""Removal of finished jobs from the store, and of cancellations without a job."""

from collections.abc import Mapping

from tamarackmount.ids import JobId
from tamarackmount.scheduling.store.job_index import JobRecords
from tamarackmount.scheduling.store.journal import RecordKind, record_key
from tamarackmount.scheduling.store.unmatched_cancels import UnmatchedCancels
from tamarackmount.units import MS_PER_SECOND

LATE_APPEND_MARGIN_S = 60.0
"""Time for which records are kept beyond the status retention, in seconds: an append
without an answer may take effect late and must not restore a removed job."""

MAX_JOBS_PER_REMOVAL = 100
"""Maximum number of jobs removed at once, which bounds the size of an append."""

MAX_CANCELS_PER_REMOVAL = 1_000
"""Maximum number of cancellations of unknown jobs that are removed at once."""


def expired_jobs(
    jobs_by_id: Mapping[JobId, JobRecords], unix_ms: int, status_retention_s: float
) -> list[JobId]:
    """Return jobs whose retention period is over, at most ``MAX_JOBS_PER_REMOVAL``."""
    ended_before = unix_ms - (status_retention_s + LATE_APPEND_MARGIN_S) * MS_PER_SECOND
    expired = [
        job_id
        for job_id, records in jobs_by_id.items()
        if (ended := _ended_unix_ms(records)) is not None and ended < ended_before
    ]
    return expired[:MAX_JOBS_PER_REMOVAL]


def _ended_unix_ms(records: JobRecords) -> int | None:
    """Return when a job ended, or when a job that was never submitted was cancelled."""
    if records.progress is not None and records.progress.phase.is_final:
        return records.progress.final_unix_ms
    if records.cancellation is None or records.accepted is not None:
        return None
    return records.cancellation.cancelled_unix_ms


def expired_cancels(cancels: UnmatchedCancels, unix_ms: int) -> list[JobId]:
    """Return unknown jobs that were cancelled so long ago that none will follow."""
    cancelled_before = unix_ms - int(LATE_APPEND_MARGIN_S * MS_PER_SECOND)
    return cancels.expired(cancelled_before, MAX_CANCELS_PER_REMOVAL)


def cancel_tombstones(job_ids: list[JobId]) -> list[tuple[str, bytes]]:
    """Return the records that remove cancellations of unknown jobs."""
    return [(record_key(RecordKind.CANCEL, job_id), b"") for job_id in job_ids]


def tombstones(job_ids: list[JobId]) -> list[tuple[str, bytes]]:
    """Return the records that remove jobs from the store."""
    kinds = (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS)
    return [(record_key(kind, job_id), b"") for job_id in job_ids for kind in kinds]
