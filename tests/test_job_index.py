"""Reading stored records that other versions of the program may have written."""

import pytest

from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.journal import encode_record, job_key
from tests.utils.build_scheduling import job


@pytest.mark.parametrize("value", [b"{}", b"not JSON", b"[]"])
def test_a_record_that_can_not_be_decoded_is_skipped(value: bytes) -> None:
    job_index = JobIndex()
    accepted = job()
    for kind in ("job", "progress", "cancel"):
        job_index.apply(f"{kind}/{accepted.job_id}", value)
    job_index.apply("worker/w1@1", value)
    job_index.apply("forecast", value)
    assert job_index.phase(accepted.job_id) is None
    assert list(job_index.workers()) == []
    job_index.apply(job_key(accepted), encode_record(accepted))
    assert [row.accepted for row in job_index.open_jobs()] == [accepted]
