"""Builders of a new holder from the records that a former one stored."""

from collections.abc import Iterable

from tamarackmount.ids import Instant, JobId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import encode_record, job_key
from tests.utils.build_scheduling import CEILING, SchedulerHarness


def build_job_index(
    jobs: Iterable[AcceptedJob], *batches: dict[str, bytes]
) -> JobIndex:
    """Return the index that a node builds from stored records."""
    index = JobIndex()
    for accepted in jobs:
        index.apply(job_key(accepted), encode_record(accepted))
    for batch in batches:
        for key, value in batch.items():
            index.apply(key, value)
    return index


def build_next_holder(
    before: SchedulerHarness,
    index: JobIndex,
    former_orders_end_in_s: float = 0.0,
    ceiling: Resources = CEILING,
) -> SchedulerHarness:
    """Return the harness of a new holder that has restored the records of ``index``.

    The holder of ``before`` may send orders for ``former_orders_end_in_s`` more.
    """

    def find_job(job_id: JobId) -> AcceptedJob | None:
        known = index.jobs_by_id.get(job_id)
        return known.accepted if known is not None else None

    harness = SchedulerHarness(ceiling=ceiling, find_job=find_job)
    harness.now = before.now
    harness.scheduler.restore(
        index.open_jobs(),
        index.workers(),
        index.forecast,
        Instant(harness.now + former_orders_end_in_s),
        index.runs_are_complete,
        harness.now,
        harness.unix_ms,
    )
    return harness
