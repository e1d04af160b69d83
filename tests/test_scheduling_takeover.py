"""Tests of a new holder: it restores jobs and runs, and waits for uncertain ones."""

from collections.abc import Callable

import pytest

from tamarackmount.ids import JobId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import JobPhase, TaskKey
from tamarackmount.scheduling.domain.worker_reports import EndedRun, PollFailure, RunEnd
from tamarackmount.scheduling.estimates.forecast import FORECAST_STORE_INTERVAL_S
from tamarackmount.scheduling.membership.holder_authority import HolderAuthority
from tamarackmount.scheduling.placement.stragglers import FORECAST_STRAGGLER_FACTOR
from tamarackmount.scheduling.store.journal import encode_record, job_key
from tamarackmount.scheduling.workers.workers import MAX_INHERITED_LEASE_S
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SchedulerHarness,
    ended_run,
    incarnation,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.build_takeover import build_job_index, build_next_holder
from tests.utils.pool_simulation import PoolSimulation


def test_a_takeover_keeps_running_tasks() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(job())
    (start,) = before.answer_starts()
    index = build_job_index([job()], before.store_pending())
    harness = build_next_holder(before, index)
    harness.scheduler.set_registered_workers([worker_entry("w1")], harness.now)
    harness.answer_poll(worker_report(running=((start.order.task, 1),)))
    harness.store_pending()
    harness.tick(1.0)
    assert not harness.starts
    assert not harness.stops


def test_a_task_stored_on_an_unreachable_worker_waits_for_its_lease_to_expire() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(job())
    before.answer_starts()
    index = build_job_index([job()], before.store_pending())
    harness = build_next_holder(before, index)
    harness.register_workers(worker_entry("w2"))
    for _ in range(int(MAX_INHERITED_LEASE_S * 10) - 1):
        harness.answer_poll(PollFailure.NO_ANSWER, incarnation("w1"))
        harness.tick(0.1)
        assert not harness.starts
    harness.tick(0.5)
    assert [start.order.incarnation for start in harness.starts] == [incarnation("w2")]


def test_no_start_order_is_sent_before_its_run_is_stored() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.is_store_healthy = False
    before.submit_job(job())
    before.tick(2.0)
    assert not before.starts
    before.store_pending()
    (start,) = before.starts
    after = build_next_holder(
        before,
        build_job_index([job()], before.store_pending()),
        former_orders_end_in_s=1.5,
    )
    after.register_workers(worker_entry("w2"))
    after.tick(MAX_INHERITED_LEASE_S)
    assert not after.starts
    after.tick(1.6)
    assert [again.order.task for again in after.starts] == [start.order.task]


def test_a_task_without_a_stored_run_starts_beside_silent_workers() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    after = build_next_holder(
        before,
        build_job_index([job()], before.store_pending()),
        former_orders_end_in_s=1.5,
    )
    after.register_workers(worker_entry("w2"))
    assert len(after.starts) == 1


@pytest.mark.parametrize(
    "invalidate",
    [
        lambda harness: harness.answer_poll(PollFailure.NO_ANSWER),
        lambda harness: harness.scheduler.set_authority(HolderAuthority.RENEW_ONLY),
        lambda harness: harness.scheduler.cancel_job(
            job().job_id, harness.now, harness.unix_ms
        ),
    ],
    ids=["worker lost", "holder cut off", "job cancelled"],
)
def test_a_start_order_that_became_invalid_while_it_was_stored_is_not_sent(
    invalidate: Callable[[SchedulerHarness], None],
) -> None:
    harness = SchedulerHarness()
    harness.register_workers(worker_entry("w1"))
    harness.is_store_healthy = False
    harness.submit_job(job())
    invalidate(harness)
    harness.store_pending()
    assert not harness.starts
    assert harness.scheduler.take_batch(harness.now, harness.unix_ms) is None


def test_a_run_that_may_still_be_running_counts_towards_the_ceiling() -> None:
    ceiling = Resources(1_000, 0, 0)
    before = SchedulerHarness(ceiling=ceiling)
    before.register_workers(worker_entry("w1"))
    before.submit_job(job(1))
    before.answer_starts()
    index = build_job_index([job(1), job(2)], before.store_pending())
    harness = build_next_holder(before, index, ceiling=ceiling)
    harness.register_workers(worker_entry("w2"))
    harness.tick(1.0)
    assert not harness.starts


def test_a_stopped_task_resumes_from_its_checkpoint_after_a_takeover() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    accepted = job(1, step(saves_progress=True))
    before.submit_job(accepted)
    (start,) = before.answer_starts()
    order = start.order
    end = EndedRun(1, order.task, order.run_number, RunEnd.STOPPED, "saved")
    before.scheduler.set_registered_workers(
        [worker_entry("w1", is_draining=True)], before.now
    )
    before.answer_poll(worker_report(ended=(end,)))
    after = build_next_holder(
        before, build_job_index([accepted], before.store_pending())
    )
    after.register_workers(worker_entry("w2"))
    (again,) = after.starts
    assert again.order.checkpoint == "saved"


def test_a_stored_end_of_a_run_is_not_counted_again() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(job())
    (start,) = before.answer_starts()
    end = ended_run(1, start.order.task, 1, RunEnd.FAILED)
    before.answer_poll(worker_report(ended=(end,)))
    index = build_job_index([job()], before.store_pending())
    harness = build_next_holder(before, index)
    harness.scheduler.set_registered_workers([worker_entry("w1")], harness.now)
    harness.answer_poll(worker_report(ended=(end,)))
    assert harness.scheduler.phase(job().job_id) is JobPhase.RUNNING


def test_a_done_task_is_not_started_again() -> None:
    two = job(1, step(count=2))
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(two)
    first, second = before.answer_starts()
    end = ended_run(1, first.order.task, first.order.run_number, RunEnd.DONE)
    running = ((second.order.task, second.order.run_number),)
    before.answer_poll(worker_report(ended=(end,), running=running))
    harness = build_next_holder(before, build_job_index([two], before.store_pending()))
    harness.register_workers(worker_entry("w2"))
    harness.tick(MAX_INHERITED_LEASE_S + 1.0)
    assert [start.order.task for start in harness.starts] == [second.order.task]


def test_a_cancelled_jobs_run_is_stopped_by_the_next_holder() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(job())
    (start,) = before.answer_starts()
    cancel = {f"cancel/{job().job_id}": b'{"cancelled_unix_ms":1}'}
    harness = build_next_holder(
        before, build_job_index([job()], before.store_pending(), cancel)
    )
    harness.scheduler.set_registered_workers([worker_entry("w1")], harness.now)
    harness.answer_poll(worker_report(running=((start.order.task, 1),)))
    assert [stop.task for stop in harness.stops][:1] == [start.order.task]
    assert harness.scheduler.phase(job().job_id) is JobPhase.CANCELLED


def test_a_job_whose_last_end_was_stored_is_completed() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(job())
    (start,) = before.answer_starts()
    before.answer_poll(
        worker_report(ended=(ended_run(1, start.order.task, 1, RunEnd.DONE),))
    )
    records = before.store_pending()
    key = f"progress/{job().job_id}"
    assert b"completed" in records[key]
    index = build_job_index([job()], records)
    assert index.phase(job().job_id) is JobPhase.COMPLETED
    assert not list(index.open_jobs())


def test_a_run_of_an_unknown_job_is_stopped() -> None:
    harness = SchedulerHarness()
    harness.scheduler.set_registered_workers([worker_entry("w1")], harness.now)
    unknown = TaskKey(JobId("f" * 16), 0, 0, 0)
    harness.answer_poll(worker_report(running=((unknown, 3),)))
    assert [(stop.task, stop.run_number) for stop in harness.stops] == [(unknown, 3)]


def test_a_later_run_shows_that_the_stored_one_has_ended() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"), worker_entry("w2"))
    before.submit_job(job())
    (start,) = before.answer_starts()
    first, other = (start.order.incarnation, incarnation("w2"))
    if first == other:
        other = incarnation("w1")
    harness = build_next_holder(
        before, build_job_index([job()], before.store_pending())
    )
    harness.scheduler.set_registered_workers(
        [worker_entry("w1"), worker_entry("w2")], harness.now
    )
    later = start.order.run_number + 1
    harness.answer_poll(worker_report(running=((start.order.task, later),)), other)
    end = ended_run(1, start.order.task, start.order.run_number, RunEnd.FAILED)
    harness.answer_poll(worker_report(ended=(end,)), first)
    harness.store_pending()
    harness.tick(0.5)
    assert not harness.starts
    assert not harness.stops


def test_a_task_waits_while_its_orphaned_run_is_stopped() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"), worker_entry("w2"))
    before.submit_job(job())
    (start,) = before.answer_starts()
    first, other = (start.order.incarnation, incarnation("w2"))
    if first == other:
        other = incarnation("w1")
    harness = build_next_holder(
        before, build_job_index([job()], before.store_pending())
    )
    harness.scheduler.set_registered_workers(
        [worker_entry("w1"), worker_entry("w2")], harness.now
    )
    orphaned = ((start.order.task, start.order.run_number - 1),)
    harness.answer_poll(worker_report(running=orphaned), other)
    assert [stop.run_number for stop in harness.stops] == [start.order.run_number - 1]
    end = ended_run(1, start.order.task, start.order.run_number, RunEnd.LEASE_EXPIRED)
    harness.answer_poll(worker_report(ended=(end,)), first)
    harness.store_pending()
    harness.tick(0.5)
    assert not harness.starts
    stopped = ended_run(1, start.order.task, start.order.run_number - 1, RunEnd.STOPPED)
    harness.answer_poll(worker_report(ended=(stopped,)), other)
    assert len(harness.starts) == 1


def test_the_speeds_of_workers_are_kept_by_the_next_holder() -> None:
    """Guards against urgent work on slow workers in the first seconds of a holder."""
    entries = [worker_entry(f"w{number}", cores=8) for number in range(8)]
    before = SchedulerHarness(ceiling=Resources())
    simulation = PoolSimulation(before, entries, {"w0": 2.0, "w4": 2.0})
    warm_up = [
        (1.5 * number, job(100 + number, step(48, estimated_ms=600)))
        for number in range(10)
    ]
    simulation.run_until(warm_up, 25.0)
    harness = build_next_holder(
        before, build_job_index([job(99)], before.store_pending()), ceiling=Resources()
    )
    harness.register_workers(*entries)
    urgent = job(1, step(40, estimated_ms=600), in_queue=HIGH_PRIORITY)
    harness.submit_job(urgent)
    orders = [row.order for row in harness.starts]
    used = [
        order.incarnation.worker_id
        for order in orders
        if order.task.job_id == urgent.job_id
    ]
    assert len(used) == 40
    assert not set(used) & {"w0", "w4"}


def test_the_forecast_of_durations_is_kept_by_the_next_holder() -> None:
    before = SchedulerHarness(ceiling=Resources())
    before.register_workers(worker_entry("w1", cores=1))
    for _ in range(30):
        before.scheduler.add_duration_sample(LOW_PRIORITY, 1_000, 4.0)
    harness = build_next_holder(
        before, build_job_index([job(99)], _stored_forecast(before))
    )
    harness.register_workers(worker_entry("w1", cores=64), worker_entry("w2", cores=64))
    harness.submit_job(job(1))
    harness.submit_job(job(2))
    harness.answer_starts()
    harness.tick(FORECAST_STRAGGLER_FACTOR * 4.0 - 0.2)
    assert not harness.stops
    harness.tick(1.0)
    assert harness.stops


def _stored_forecast(harness: SchedulerHarness) -> dict[str, bytes]:
    harness.tick(FORECAST_STORE_INTERVAL_S + 0.1)
    harness.submit_job(job(99))
    return harness.store_pending()


def test_runs_that_began_before_a_takeover_do_not_make_others_stragglers() -> None:
    before = SchedulerHarness(ceiling=Resources())
    workers = [worker_entry("w1", cores=64), worker_entry("w2", cores=64)]
    before.register_workers(*workers)
    jobs = [job(number, step(4)) for number in (1, 2)]
    for accepted in jobs:
        before.submit_job(accepted)
    starts = before.answer_starts()
    index = build_job_index(jobs, before.store_pending())
    before.tick(4.0)

    harness = build_next_holder(before, index, ceiling=Resources())
    harness.scheduler.set_registered_workers(workers, harness.now)
    running = [(row.order.task, row.order.run_number) for row in starts]
    for worker in workers:
        on_worker = [
            pair
            for pair, row in zip(running, starts, strict=True)
            if row.order.incarnation == worker.incarnation
        ]
        report = worker_report(running=tuple(on_worker))
        harness.answer_poll(report, worker.incarnation)
    # Two tasks of each step end just after the takeover, though they took 4 s.
    harness.tick(0.2)
    for worker in workers:
        rows = [row for row in starts if row.order.incarnation == worker.incarnation]
        short = [row for row in rows if row.order.task.index < 2]
        ended = tuple(
            ended_run(number, row.order.task, row.order.run_number, RunEnd.DONE)
            for number, row in enumerate(short, 1)
        )
        left = tuple(
            (row.order.task, row.order.run_number) for row in rows if row not in short
        )
        harness.answer_poll(
            worker_report(running=left, ended=ended), worker.incarnation
        )
    for _ in range(10):
        harness.tick(0.2)
    assert not harness.stops


def test_a_job_submitted_again_after_an_earlier_holder_ended_it_stays_ended() -> None:
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(job())
    (start,) = before.answer_starts()
    before.answer_poll(
        worker_report(ended=(ended_run(1, start.order.task, 1, RunEnd.DONE),))
    )
    index = build_job_index([job()], before.store_pending())
    harness = build_next_holder(before, index)
    harness.register_workers(worker_entry("w1"))
    index.apply(job_key(job()), encode_record(job()))
    harness.scheduler.add_job(
        index.jobs_by_id[job().job_id], harness.now, harness.unix_ms
    )
    harness.tick(1.0)
    assert not harness.starts
