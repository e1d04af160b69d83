"""When the store may forget a job."""

from collections.abc import Mapping

from tamarackmount.ids import JobId
from tamarackmount.scheduling.job_index import JobRecords
from tamarackmount.scheduling.journal import RecordKind, record_key
from tamarackmount.units import MS_PER_SECOND

LATE_APPEND_S = 60.0
"""Records are kept this much longer than callers ask for a job, in seconds: an append
without an answer may take effect late, and must not bring a forgotten job back."""

MAX_FORGOTTEN = 100
"""Jobs forgotten at once, which bounds the size of an append."""


def expired_jobs(
    jobs_by_id: Mapping[JobId, JobRecords], unix_ms: int, status_s: float
) -> list[JobId]:
    """Return jobs in a final phase that nobody asks for any more."""
    last = unix_ms - (status_s + LATE_APPEND_S) * MS_PER_SECOND
    found = [
        job_id
        for job_id, known in jobs_by_id.items()
        if (ended := _ended_unix_ms(known)) is not None and ended < last
    ]
    return found[:MAX_FORGOTTEN]


def _ended_unix_ms(known: JobRecords) -> int | None:
    """Return when a job ended, or when one that nobody handed in was cancelled."""
    if known.progress is not None and known.progress.phase.is_final:
        return known.progress.final_unix_ms
    return known.cancelled_unix_ms if known.accepted is None else None


def tombstones(job_ids: list[JobId]) -> list[tuple[str, bytes]]:
    """Return the records that remove jobs from the store."""
    kinds = (RecordKind.JOB, RecordKind.CANCEL, RecordKind.PROGRESS)
    return [(record_key(kind, job_id), b"") for job_id in job_ids for kind in kinds]
