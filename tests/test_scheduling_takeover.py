"""What a new holder knows, and what it does not do before it knows."""

from collections.abc import Callable, Iterable

import pytest

from tamarackmount.ids import Instant, JobId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.forecast import STORE_PAUSE_S
from tamarackmount.scheduling.holder_authority import Licence
from tamarackmount.scheduling.job_index import JobBook
from tamarackmount.scheduling.journal import encode_record, job_key
from tamarackmount.scheduling.model import JobPhase, TaskKey
from tamarackmount.scheduling.stragglers import LONE_FACTOR
from tamarackmount.scheduling.worker_reports import EndedRun, RunEnd, WorkerTrouble
from tamarackmount.scheduling.workers import UNKNOWN_LEASE_S
from tests.utils.build_scheduling import (
    CEILING,
    PATIENT,
    Cell,
    ended,
    entry,
    job,
    life,
    report,
    step,
)


def book_of(jobs: Iterable[AcceptedJob], *batches: dict[str, bytes]) -> JobBook:
    """Return what a node reads from the store."""
    book = JobBook()
    for accepted in jobs:
        book.apply(job_key(accepted), encode_record(accepted))
    for batch in batches:
        for key, value in batch.items():
            book.apply(key, value)
    return book


def successor(
    before: Cell,
    book: JobBook,
    stops_in_s: float = 0.0,
    ceiling: Resources = CEILING,
) -> Cell:
    """Return the cell of a new holder."""

    def find_job(job_id: JobId) -> AcceptedJob | None:
        known = book.jobs_by_id.get(job_id)
        return known.accepted if known is not None else None

    cell = Cell(ceiling=ceiling, find_job=find_job)
    cell.now = before.now
    cell.scheduler.restore(
        book.open_jobs(),
        book.workers(),
        book.forecast,
        Instant(cell.now + stops_in_s),
        book.is_complete,
        cell.now,
        cell.unix_ms,
    )
    return cell


def test_a_takeover_keeps_what_runs() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    before.add(job())
    (start,) = before.answer_starts()
    book = book_of([job()], before.store())
    cell = successor(before, book)
    cell.scheduler.set_workers([entry("w1")], cell.now)
    cell.hold(report(running=((start.order.task, 1),)))
    cell.store()
    cell.tick(1.0)
    assert not cell.starts
    assert not cell.stops


def test_a_task_recorded_on_an_unreachable_worker_waits_for_its_lease() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    before.add(job())
    before.answer_starts()
    book = book_of([job()], before.store())
    cell = successor(before, book)
    cell.list_workers(entry("w2"))
    for _ in range(int(UNKNOWN_LEASE_S * 10) - 1):
        cell.hold(WorkerTrouble.SILENT, life("w1"))
        cell.tick(0.1)
        assert not cell.starts
    cell.tick(0.5)
    assert [start.order.life for start in cell.starts] == [life("w2")]


def test_no_order_leaves_before_the_store_holds_its_run() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    before.is_store_well = False
    before.add(job())
    before.tick(2.0)
    assert not before.starts
    before.store()
    (start,) = before.starts
    after = successor(before, book_of([job()], before.store()), stops_in_s=1.5)
    after.list_workers(entry("w2"))
    after.tick(UNKNOWN_LEASE_S)
    assert not after.starts
    after.tick(1.6)
    assert [again.order.task for again in after.starts] == [start.order.task]


def test_what_no_holder_recorded_starts_beside_silent_workers() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    after = successor(before, book_of([job()], before.store()), stops_in_s=1.5)
    after.list_workers(entry("w2"))
    assert len(after.starts) == 1


@pytest.mark.parametrize(
    "lose",
    [
        lambda cell: cell.hold(WorkerTrouble.SILENT),
        lambda cell: cell.scheduler.set_licence(Licence.KEEP),
        lambda cell: cell.scheduler.cancel_job(job().job_id, cell.now, cell.unix_ms),
    ],
    ids=["worker lost", "holder cut off", "job cancelled"],
)
def test_an_order_that_became_wrong_while_it_was_recorded_is_not_sent(
    lose: Callable[[Cell], None],
) -> None:
    cell = Cell()
    cell.list_workers(entry("w1"))
    cell.is_store_well = False
    cell.add(job())
    lose(cell)
    cell.store()
    assert not cell.starts
    assert cell.scheduler.take_batch(cell.now, cell.unix_ms) is None


def test_what_may_run_counts_towards_the_ceiling() -> None:
    ceiling = Resources(1_000, 0, 0)
    before = Cell(ceiling=ceiling)
    before.list_workers(entry("w1"))
    before.add(job(1))
    before.answer_starts()
    book = book_of([job(1), job(2)], before.store())
    cell = successor(before, book, ceiling=ceiling)
    cell.list_workers(entry("w2"))
    cell.tick(1.0)
    assert not cell.starts


def test_a_stopped_task_goes_on_from_its_checkpoint() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    accepted = job(1, step(saves_progress=True))
    before.add(accepted)
    (start,) = before.answer_starts()
    order = start.order
    row = EndedRun(1, order.task, order.run, RunEnd.STOPPED, "saved")
    before.scheduler.set_workers([entry("w1", is_draining=True)], before.now)
    before.hold(report(ended=(row,)))
    after = successor(before, book_of([accepted], before.store()))
    after.list_workers(entry("w2"))
    (again,) = after.starts
    assert again.order.checkpoint == "saved"


def test_an_end_that_the_store_has_is_not_counted_again() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    before.add(job())
    (start,) = before.answer_starts()
    row = ended(1, start.order.task, 1, RunEnd.FAILED)
    before.hold(report(ended=(row,)))
    book = book_of([job()], before.store())
    cell = successor(before, book)
    cell.scheduler.set_workers([entry("w1")], cell.now)
    cell.hold(report(ended=(row,)))
    assert cell.scheduler.phase(job().job_id) is JobPhase.RUNNING


def test_a_done_task_is_not_started_again() -> None:
    two = job(1, step(count=2))
    before = Cell()
    before.list_workers(entry("w1"))
    before.add(two)
    first, second = before.answer_starts()
    row = ended(1, first.order.task, first.order.run, RunEnd.DONE)
    running = ((second.order.task, second.order.run),)
    before.hold(report(ended=(row,), running=running))
    cell = successor(before, book_of([two], before.store()))
    cell.list_workers(entry("w2"))
    cell.tick(UNKNOWN_LEASE_S + 1.0)
    assert [start.order.task for start in cell.starts] == [second.order.task]


def test_a_cancelled_jobs_run_is_stopped_by_the_next_holder() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    before.add(job())
    (start,) = before.answer_starts()
    cancel = {f"cancel/{job().job_id}": b'{"cancelled_unix_ms":1}'}
    cell = successor(before, book_of([job()], before.store(), cancel))
    cell.scheduler.set_workers([entry("w1")], cell.now)
    cell.hold(report(running=((start.order.task, 1),)))
    assert [stop.task for stop in cell.stops][:1] == [start.order.task]
    assert cell.scheduler.phase(job().job_id) is JobPhase.CANCELLED


def test_a_job_whose_last_end_was_stored_is_completed() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    before.add(job())
    (start,) = before.answer_starts()
    before.hold(report(ended=(ended(1, start.order.task, 1, RunEnd.DONE),)))
    records = before.store()
    key = f"progress/{job().job_id}"
    assert b"completed" in records[key]
    book = book_of([job()], records)
    assert book.phase(job().job_id) is JobPhase.COMPLETED
    assert not list(book.open_jobs())


def test_a_run_of_a_job_that_nobody_knows_is_stopped() -> None:
    cell = Cell()
    cell.scheduler.set_workers([entry("w1")], cell.now)
    stray = TaskKey(JobId("f" * 16), 0, 0, 0)
    cell.hold(report(running=((stray, 3),)))
    assert [(stop.task, stop.run) for stop in cell.stops] == [(stray, 3)]


def test_a_later_run_shows_that_the_recorded_one_is_over() -> None:
    before = Cell()
    before.list_workers(entry("w1"), entry("w2"))
    before.add(job())
    (start,) = before.answer_starts()
    first, other = (start.order.life, life("w2"))
    if first == other:
        other = life("w1")
    cell = successor(before, book_of([job()], before.store()))
    cell.scheduler.set_workers([entry("w1"), entry("w2")], cell.now)
    later = start.order.run + 1
    cell.hold(report(running=((start.order.task, later),)), other)
    row = ended(1, start.order.task, start.order.run, RunEnd.FAILED)
    cell.hold(report(ended=(row,)), first)
    cell.store()
    cell.tick(0.5)
    assert not cell.starts
    assert not cell.stops


def test_a_task_waits_while_a_run_that_nobody_wants_is_stopped() -> None:
    before = Cell()
    before.list_workers(entry("w1"), entry("w2"))
    before.add(job())
    (start,) = before.answer_starts()
    first, other = (start.order.life, life("w2"))
    if first == other:
        other = life("w1")
    cell = successor(before, book_of([job()], before.store()))
    cell.scheduler.set_workers([entry("w1"), entry("w2")], cell.now)
    stray = ((start.order.task, start.order.run - 1),)
    cell.hold(report(running=stray), other)
    assert [stop.run for stop in cell.stops] == [start.order.run - 1]
    row = ended(1, start.order.task, start.order.run, RunEnd.LAPSED)
    cell.hold(report(ended=(row,)), first)
    cell.store()
    cell.tick(0.5)
    assert not cell.starts
    stopped = ended(1, start.order.task, start.order.run - 1, RunEnd.STOPPED)
    cell.hold(report(ended=(stopped,)), other)
    assert len(cell.starts) == 1


def test_what_was_learned_of_durations_outlives_the_holder() -> None:
    before = Cell(ceiling=Resources())
    before.list_workers(entry("w1", cores=1))
    for _ in range(30):
        before.scheduler.learn(PATIENT, 1_000, 4.0)
    cell = successor(before, book_of([job(99)], _forecast(before)))
    cell.list_workers(entry("w1", cores=64), entry("w2", cores=64))
    cell.add(job(1))
    cell.add(job(2))
    cell.answer_starts()
    cell.tick(LONE_FACTOR * 4.0 - 0.2)
    assert not cell.stops
    cell.tick(1.0)
    assert cell.stops


def _forecast(cell: Cell) -> dict[str, bytes]:
    cell.tick(STORE_PAUSE_S + 0.1)
    cell.add(job(99))
    return cell.store()


def test_a_job_that_comes_again_after_another_holder_ended_it_stays_ended() -> None:
    before = Cell()
    before.list_workers(entry("w1"))
    before.add(job())
    (start,) = before.answer_starts()
    before.hold(report(ended=(ended(1, start.order.task, 1, RunEnd.DONE),)))
    book = book_of([job()], before.store())
    cell = successor(before, book)
    cell.list_workers(entry("w1"))
    book.apply(job_key(job()), encode_record(job()))
    cell.scheduler.add_job(book.jobs_by_id[job().job_id], cell.now, cell.unix_ms)
    cell.tick(1.0)
    assert not cell.starts
