"""Jobs are kept together in a data centre, and away from one that may be cut off."""

from tamarackmount.ids import DataCentreId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.free_capacity import MIN_SUSPECTED_WORKERS
from tamarackmount.scheduling.worker_reports import OrderResult, PollFailure
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
)

HOMES = ("dc1", "dc2", "dc3")
CORES = 8


def three_data_centres() -> SchedulerHarness:
    """Return a cell with three workers in each of three data centres."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(
        *(
            worker_entry(f"{home}-{number}", CORES, data_centre=DataCentreId(home))
            for home in HOMES
            for number in range(3)
        )
    )
    return harness


def homes(harness: SchedulerHarness) -> set[str]:
    """Return the data centres of the starts so far."""
    starts = harness.answer_starts()
    return {start.order.incarnation.worker_id.partition("-")[0] for start in starts}


def test_a_job_is_kept_together_as_far_as_there_is_room() -> None:
    harness = three_data_centres()
    harness.submit_job(job(1, step(3 * CORES), in_queue=HIGH_PRIORITY))
    assert len(homes(harness)) == 1
    harness.submit_job(job(2, step(2 * 3 * CORES), in_queue=HIGH_PRIORITY))
    assert len(homes(harness)) == 2


def test_jobs_go_to_the_data_centre_with_most_room() -> None:
    harness = three_data_centres()
    found = set()
    for number in range(3):
        harness.submit_job(job(number + 1, step(2 * CORES), in_queue=HIGH_PRIORITY))
        found |= homes(harness)
    assert found == set(HOMES)


def test_a_data_centre_that_may_be_cut_off_is_chosen_last() -> None:
    harness = three_data_centres()
    for number in range(MIN_SUSPECTED_WORKERS):
        for _ in range(2):
            harness.answer_poll(PollFailure.NO_ANSWER, incarnation(f"dc2-{number}"))
    harness.submit_job(job(1, step(2 * 3 * CORES), in_queue=HIGH_PRIORITY))
    assert homes(harness) == {"dc1", "dc3"}


def test_one_lost_worker_says_nothing_of_its_data_centre() -> None:
    harness = three_data_centres()
    harness.submit_job(job(1, step(1), in_queue=HIGH_PRIORITY))
    harness.tick(0.2)
    (lost,) = harness.answer_starts(OrderResult.UNKNOWN)
    home = lost.order.incarnation.worker_id.partition("-")[0]
    harness.submit_job(job(2, step((3 * 3 - 1) * CORES), in_queue=HIGH_PRIORITY))
    assert homes(harness) >= {home}
