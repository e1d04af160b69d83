"""A job that has ended never starts again, whatever is read or reported meanwhile."""

from tamarackmount.scheduling.domain.model import JobPhase, TaskKey
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.store.job_index import JobRecords
from tests.utils.build_scheduling import (
    UNIX_MS,
    SchedulerHarness,
    ended_run,
    job,
    step,
    worker_entry,
    worker_report,
)


def test_a_gang_that_ended_is_known_until_the_store_has_its_end() -> None:
    accepted = job(1, step(2, gang=True))
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.submit_job(accepted)
    run = harness.answer_starts()[0].order.run_number
    first, second = (TaskKey(accepted.job_id, 0, 0, index) for index in range(2))
    done = ended_run(1, first, run, RunEnd.DONE)
    harness.answer_poll(worker_report(running=((second, run),), ended=(done,)))
    batch = harness.scheduler.take_batch(harness.now, UNIX_MS)
    assert batch is not None
    # The other member ends while the job's end is being stored, and the job's record
    # is read once more, as after a repeated submission.
    also_done = ended_run(2, second, run, RunEnd.DONE)
    harness.answer_poll(worker_report(ended=(done, also_done)))
    harness.scheduler.add_job(JobRecords(accepted), harness.now, harness.unix_ms)
    harness.tick(0.1)
    assert not harness.starts
    harness.acknowledge_batch(batch)
    harness.store_pending()
    harness.scheduler.add_job(JobRecords(accepted), harness.now, harness.unix_ms)
    harness.tick(0.1)
    assert not harness.starts
    assert harness.scheduler.phase(accepted.job_id) is JobPhase.COMPLETED
