"""Tests that a job is kept in one data centre that is not suspected to be cut off."""

from tamarackmount.ids import DataCentreId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.worker_reports import OrderResult, PollFailure
from tamarackmount.scheduling.workers.free_capacity import MIN_SUSPECTED_WORKERS
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
)

DATA_CENTRES = ("dc1", "dc2", "dc3")
CORES = 8


def harness_with_three_data_centres() -> SchedulerHarness:
    """Return a scheduler with three workers in each of three data centres."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(
        *(
            worker_entry(
                f"{data_centre}-{number}", CORES, data_centre=DataCentreId(data_centre)
            )
            for data_centre in DATA_CENTRES
            for number in range(3)
        )
    )
    return harness


def started_in(harness: SchedulerHarness) -> set[str]:
    """Answer the starts so far, and return their data centres."""
    starts = harness.answer_starts()
    return {start.order.incarnation.worker_id.partition("-")[0] for start in starts}


def test_a_job_is_kept_in_one_data_centre_while_that_has_capacity() -> None:
    harness = harness_with_three_data_centres()
    harness.submit_job(job(1, step(3 * CORES), in_queue=HIGH_PRIORITY))
    assert len(started_in(harness)) == 1
    harness.submit_job(job(2, step(2 * 3 * CORES), in_queue=HIGH_PRIORITY))
    assert len(started_in(harness)) == 2


def test_jobs_go_to_the_data_centre_with_most_free_capacity() -> None:
    harness = harness_with_three_data_centres()
    used = set()
    for number in range(3):
        harness.submit_job(job(number + 1, step(2 * CORES), in_queue=HIGH_PRIORITY))
        used |= started_in(harness)
    assert used == set(DATA_CENTRES)


def test_a_data_centre_that_may_be_cut_off_is_chosen_last() -> None:
    harness = harness_with_three_data_centres()
    for number in range(MIN_SUSPECTED_WORKERS):
        for _ in range(2):
            harness.answer_poll(PollFailure.NO_ANSWER, incarnation(f"dc2-{number}"))
    harness.submit_job(job(1, step(2 * 3 * CORES), in_queue=HIGH_PRIORITY))
    assert started_in(harness) == {"dc1", "dc3"}


def test_one_lost_worker_does_not_make_its_data_centre_suspected() -> None:
    harness = harness_with_three_data_centres()
    harness.submit_job(job(1, step(1), in_queue=HIGH_PRIORITY))
    harness.tick(0.2)
    (lost,) = harness.answer_starts(OrderResult.UNKNOWN)
    data_centre = lost.order.incarnation.worker_id.partition("-")[0]
    harness.submit_job(job(2, step((3 * 3 - 1) * CORES), in_queue=HIGH_PRIORITY))
    assert started_in(harness) >= {data_centre}
