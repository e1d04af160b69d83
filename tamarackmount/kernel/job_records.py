"""Job records: the JSON text in which members and the log store a job."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from tamarackmount.ids import Epoch, JobId, WorkspaceId
from tamarackmount.job_spec import JobSpec
from tamarackmount.kernel.index_ranges import IndexRanges
from tamarackmount.kernel.jobs import END_STATES, Job, TaskState

RECORD_FORMAT = 1
"""Version of the record layout; a reader refuses any other."""

IndexRange = tuple[int, int]
"""First and last index of a range, both inclusive."""


class JobRecord(BaseModel):
    """Stored state of a job; ``epoch`` and ``version`` order its records.

    ``attempted`` are tasks of a non-idempotent job whose start may have been sent.
    ``dropped`` marks a job that was refused after a save of its record was tried; such
    a job is not restored.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    format: int
    job_id: JobId
    team_id: WorkspaceId
    epoch: Epoch
    version: int = Field(ge=1)
    accepted_number: int = Field(ge=0)
    spec: JobSpec
    cancelled: bool = False
    failed: bool = False
    dropped: bool = False
    reason: str = ""
    ended: dict[TaskState, list[IndexRange]] = {}
    attempted: list[IndexRange] = []
    failures: dict[int, int] = {}
    checkpoints: dict[int, str] = {}
    gang_failures: int = 0

    def is_newer_than(self, other: "JobRecord") -> bool:
        """Return whether this record of the same job replaces the other."""
        return (self.epoch, self.version) > (other.epoch, other.version)


def record_text(job: Job, *, dropped: bool = False) -> str:
    """Return the record of the job as it is now."""
    record = JobRecord(
        format=RECORD_FORMAT,
        job_id=job.id,
        team_id=job.team_id,
        epoch=job.epoch,
        version=job.version,
        accepted_number=job.accepted_number,
        spec=job.spec,
        cancelled=job.cancelled,
        failed=job.failed,
        dropped=dropped,
        reason=job.reason,
        ended={state: job.ended_by_state[state].ranges() for state in END_STATES},
        attempted=job.attempted.ranges(),
        failures=job.failures_by_index,
        checkpoints=job.checkpoints_by_index,
        gang_failures=job.gang_failures,
    )
    return record.model_dump_json(exclude_defaults=True)


def read_record(text: str) -> Result[JobRecord, str]:
    """Parse the text of a record; a failure contains the reason."""
    try:
        record = JobRecord.model_validate_json(text)
    except ValidationError as error:
        return Failure(str(error))
    if record.format != RECORD_FORMAT:
        return Failure(f"record format {record.format} is unknown")
    if not _has_valid_ranges(record):
        return Failure(f"task indexes of {record.job_id} overlap or are out of range")
    return Success(record)


def _has_valid_ranges(record: JobRecord) -> bool:
    ranges = sorted(pair for pairs in record.ended.values() for pair in pairs)
    groups = (ranges, sorted(record.attempted))
    return all(_are_disjoint(group, record.spec.tasks) for group in groups)


def _are_disjoint(ranges: list[IndexRange], count: int) -> bool:
    free_from = 0
    for first, last in ranges:
        if first < free_from or last < first:
            return False
        free_from = last + 1
    return free_from <= count


def job_from_record(record: JobRecord) -> Job:
    """Return the job of a record; tasks that have not ended wait."""
    job = Job(record.job_id, record.team_id, record.spec)
    job.epoch = record.epoch
    job.version = record.version
    job.saved_version = record.version
    job.accepted_number = record.accepted_number
    job.accepted = True
    job.cancelled = record.cancelled
    job.failed = record.failed
    job.reason = record.reason
    job.attempted = IndexRanges(record.attempted)
    job.failures_by_index = dict(record.failures)
    job.checkpoints_by_index = dict(record.checkpoints)
    job.gang_failures = record.gang_failures
    ended = IndexRanges()
    for state, ranges in record.ended.items():
        for first, last in ranges:
            job.ended_by_state[state].add_range(first, last)
            ended.add_range(first, last)
    job.waiting = IndexRanges(ended.gaps(record.spec.tasks))
    return job
