"""Jobs with many repetitions or tasks: what runs when, and what a turn costs."""

from collections.abc import Callable

import orjson
import pytest

from tamarackmount.ids import Epoch
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.jobs.runs import make_job
from tamarackmount.scheduling.scheduler import Scheduler
from tamarackmount.scheduling.store.journal import JobProgress, encode_record
from tests.utils.build_repetitions import (
    INTERVAL_MS,
    RunningPool,
    full_pool,
    occurrence_starts,
    progress_text,
    repeated_job,
    stored_index,
)
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    START,
    UNIX_MS,
    job,
    step,
)
from tests.utils.count_instructions import count_instructions

FEW, MANY = 1_200, 19_000
"""Numbers of repetitions, and of tasks. Both are above the one up to which progress is
stored as a list."""


def cost_of_submission(repetitions: int) -> int:
    """Return the instructions of a submission of a job that is due."""
    harness = full_pool()
    return count_instructions(lambda: harness.submit_job(repeated_job(1, repetitions)))


def cost_of_early_submission(repetitions: int) -> int:
    """Return the instructions of a submission of a job that is due later."""
    harness = full_pool()
    accepted = repeated_job(1, repetitions, first_in_ms=60_000)
    return count_instructions(lambda: harness.submit_job(accepted))


def cost_of_admission(repetitions: int) -> int:
    """Return the instructions of the decision whether to accept a job."""
    harness = full_pool()
    accepted = repeated_job(1, repetitions)
    scheduler, now = harness.scheduler, harness.now
    return count_instructions(lambda: scheduler.check_admission(accepted, now))


def cost_of_waiting(repetitions: int) -> int:
    """Return the instructions of a turn while a job's repetitions are due."""
    harness = full_pool()
    harness.submit_job(repeated_job(1, repetitions))
    harness.tick(0.05)
    return count_instructions(lambda: harness.tick(0.05))


def cost_of_waiting_for_due_time(repetitions: int) -> int:
    """Return the instructions of a turn while a job's repetitions are due later."""
    harness = full_pool()
    harness.submit_job(repeated_job(1, repetitions, first_in_ms=60_000))
    harness.tick(0.05)
    return count_instructions(lambda: harness.tick(0.05))


def cost_of_end(repetitions: int) -> int:
    """Return the instructions of the end of a task, and of storing it."""
    pool = RunningPool(cores=1)
    pool.harness.submit_job(repeated_job(1, repetitions))
    pool.run_rounds(2)
    runs = pool.start()
    return count_instructions(lambda: pool.end(runs))


def cost_of_end_in_wide_step(tasks: int) -> int:
    """Return the instructions of the end of one of many tasks of a step."""
    pool = RunningPool(cores=1)
    pool.harness.submit_job(job(1, step(tasks)))
    pool.run_rounds(2)
    runs = pool.start()
    return count_instructions(lambda: pool.end(runs))


def cost_of_waiting_gang(tasks: int) -> int:
    """Return the instructions of a turn while a gang does not fit."""
    harness = full_pool()
    harness.submit_job(job(1, step(tasks, gang=True)))
    harness.tick(0.05)
    return count_instructions(lambda: harness.tick(0.05))


def cost_of_restore(repetitions: int) -> int:
    """Return the instructions of restoring a job of which half is done."""
    accepted = repeated_job(1, repetitions)
    progress = JobProgress(
        JobPhase.RUNNING, completed_occurrences=[(0, repetitions // 2)]
    )
    index = stored_index(
        {f"progress/{accepted.job_id}": encode_record(progress)}, accepted
    )
    scheduler = Scheduler(Epoch(8), lambda _: None)
    return count_instructions(
        lambda: scheduler.restore(
            index.open_jobs(), [], None, START, True, START, UNIX_MS
        )
    )


@pytest.mark.parametrize(
    "cost",
    [
        cost_of_submission,
        cost_of_early_submission,
        cost_of_admission,
        cost_of_waiting,
        cost_of_waiting_for_due_time,
        cost_of_end,
        cost_of_end_in_wide_step,
        cost_of_waiting_gang,
        cost_of_restore,
    ],
)
def test_a_turn_takes_longer_the_more_repetitions_there_are(
    cost: Callable[[int], int],
) -> None:
    # Guards against a holder that loses its role as one job keeps it from heartbeats.
    assert cost(MANY) == cost(FEW)


def test_repetitions_of_many_jobs_are_all_looked_at_in_each_turn() -> None:
    # Guards against jobs of few repetitions each that add up.
    harness = full_pool()
    for number in range(1, 101):
        harness.submit_job(repeated_job(number, 190))
    state = harness.scheduler._state
    assert len(state.ready_steps_by_key) <= 100 * 4
    assert sum(len(job.steps_by_key) for job in state.jobs_by_id.values()) <= 501


def test_repetitions_that_are_not_due_have_state() -> None:
    # Guards against a job of which some repetitions are due, and thousands later.
    pool = RunningPool(cores=8)
    accepted = repeated_job(1, MANY, first_in_ms=-5 * INTERVAL_MS)
    pool.harness.submit_job(accepted)
    pool.run_rounds(2)
    state = pool.harness.scheduler._state.jobs_by_id[accepted.job_id]
    assert len(pool.started) == 6
    assert len(state.steps_by_key) <= 1


def test_an_ordinary_job_waits_behind_repetitions_that_are_due() -> None:
    # Guards against jobs that don't start although there is room.
    pool = RunningPool(cores=8)
    pool.harness.submit_job(repeated_job(1, MANY))
    pool.run_rounds(3)
    urgent = job(2, in_queue=HIGH_PRIORITY)
    pool.harness.submit_job(urgent)
    pool.run_rounds(2)
    assert urgent.job_id in {task.job_id for task in pool.started}


def test_repetitions_wait_as_a_later_step_of_others_does_not_fit() -> None:
    # Guards against a job that has nothing running although its next tasks would fit.
    pool = RunningPool(cores=8)
    steps = (step(), step(cores=9, after=(0,)))
    accepted = repeated_job(1, 60, *steps)
    pool.harness.submit_job(accepted)
    pool.run_rounds(30)
    assert sorted(occurrence_starts(pool, accepted)) == list(range(60))


def test_a_pool_idles_while_repetitions_are_due() -> None:
    # Guards against state that is kept for too few repetitions to fill a pool.
    pool = RunningPool(cores=50)
    pool.harness.submit_job(repeated_job(1, MANY))
    assert len(pool.start()) == 50


@pytest.mark.parametrize("repetitions", [3, 40, 1_100])
@pytest.mark.parametrize("takes_over", [False, True])
def test_a_repetition_runs_twice_or_not_at_all(
    repetitions: int, *, takes_over: bool
) -> None:
    # Guards against lost and doubled work, also of a job whose progress is in ranges.
    pool = RunningPool(cores=7)
    accepted = repeated_job(1, repetitions)
    pool.harness.submit_job(accepted)
    for _ in range(repetitions // 7 + 1):
        pool.run_rounds(1)
        if takes_over and len(pool.started) in (7, 28, 700):
            pool.take_over(accepted)
    assert sorted(occurrence_starts(pool, accepted)) == list(range(repetitions))
    assert pool.harness.scheduler.phase(accepted.job_id) is JobPhase.COMPLETED


@pytest.mark.parametrize("is_gang", [False, True])
def test_steps_of_a_repetition_run_before_those_that_they_wait_for(
    *, is_gang: bool
) -> None:
    # Guards against an occurrence whose later steps start early, or never.
    pool = RunningPool(cores=8)
    steps = (
        step(2, gang=is_gang),
        step(2, after=(0,), gang=is_gang),
        step(after=(0, 1)),
    )
    accepted = repeated_job(1, 30, *steps)
    pool.harness.submit_job(accepted)
    for number in range(60):
        pool.run_rounds(1)
        if number == 10:
            pool.take_over(accepted)
    rows = [(task.occurrence, task.step, task.index) for task in pool.started]
    assert sorted(rows) == sorted(
        (occurrence, number, index)
        for occurrence in range(30)
        for number, count in enumerate((2, 2, 1))
        for index in range(count)
    )
    position = {row: place for place, row in enumerate(rows)}
    for occurrence in range(30):
        places = [
            [position[occurrence, number, index] for index in range(count)]
            for number, count in enumerate((2, 2, 1))
        ]
        assert max(places[0]) < min(places[1])
        assert max(places[1]) < min(places[2])
    assert pool.harness.scheduler.phase(accepted.job_id) is JobPhase.COMPLETED


def test_a_repetition_starts_before_it_is_due() -> None:
    # Guards against repetitions that begin with the one before them.
    pool = RunningPool(cores=8)
    accepted = repeated_job(1, 4, first_in_ms=5_000)
    pool.harness.submit_job(accepted)
    starts_s = []
    for _ in range(500):
        runs = pool.start()
        starts_s += [pool.harness.now - START for _ in runs]
        pool.end(runs)
        pool.harness.tick(0.1)
    expected_s = [5.0 + number * INTERVAL_MS / 1_000 for number in range(4)]
    assert starts_s == pytest.approx(expected_s, abs=0.15)
    assert all(
        start >= due - 0.001 for start, due in zip(starts_s, expected_s, strict=True)
    )


def test_a_repetition_that_a_former_holder_began_starts_again() -> None:
    # Guards against a second run of an occurrence that has no state yet.
    pool = RunningPool(cores=30)
    accepted = repeated_job(1, 400)
    pool.harness.submit_job(accepted)
    runs = pool.start()
    pool.take_over(accepted, running=runs)
    assert not pool.start()
    pool.end(runs)
    pool.run_rounds(20)
    assert sorted(occurrence_starts(pool, accepted)) == list(range(400))


def test_progress_that_an_earlier_version_stored_is_lost() -> None:
    # Guards against repetitions that run again after an upgrade.
    accepted = repeated_job(1, 1_500, step(2), step(after=(0,)))
    done = {
        "0.0": [0, 1],
        "0.1": [0],
        "1.0": [0, 1],
        "7.0": [1],
        "x": [0],
        "9.9": [0],
        "0.9": [0],
    }
    progress = JobProgress(JobPhase.RUNNING, done_by_step=done)
    state = make_job(accepted, progress, START)
    assert state.completed.ranges() == [(0, 0)]
    assert state.done_count_by_step == [2, 1]
    assert sorted({key.occurrence for key in state.steps_by_key}) == [1, 7]
    assert 7 not in state.unopened
    again = make_job(accepted, state.progress(), START)
    assert again.completed.ranges() == [(0, 0)]
    assert again.done_count_by_step == [2, 1]
    assert again.progress() == state.progress()


def test_progress_of_an_ordinary_job_is_unreadable_for_earlier_versions() -> None:
    # Guards against done tasks that run again at a holder of an earlier version.
    pool = RunningPool(cores=2)
    accepted = repeated_job(1, 100, step(2))
    pool.harness.submit_job(accepted)
    pool.run_rounds(3)
    stored = orjson.loads(progress_text(pool, accepted.job_id))
    assert stored["done_by_step"] == {"0.0": [0, 1], "1.0": [0, 1], "2.0": [0, 1]}


def test_the_progress_of_a_large_job_outgrows_its_record() -> None:
    # Guards against records that the store refuses, and writes that take long.
    accepted = repeated_job(1, 20_000)
    state = make_job(accepted, None, START)
    for occurrence in range(20_000 - 200):
        state.completed.add(occurrence)
    assert len(encode_record(state.progress())) < 1_000


def test_progress_goes_through_checkpoints_of_tasks_that_are_done() -> None:
    # Guards against progress that takes the longer to write the more is done.
    pool = RunningPool(cores=4)
    accepted = job(1, step(12, saves_progress=True))
    pool.harness.submit_job(accepted)
    for _ in range(2):
        pool.end(pool.start(), checkpoint="c")
    (found,) = pool.harness.scheduler._state.jobs_by_id[
        accepted.job_id
    ].steps_by_key.values()
    assert len(found.done) == 8
    assert not found.checkpoints_by_index


def test_a_job_that_is_cancelled_begins_its_next_repetition() -> None:
    # Guards against starts after a cancellation.
    pool = RunningPool(cores=2)
    accepted = repeated_job(1, 50, first_in_ms=-5 * INTERVAL_MS)
    pool.harness.submit_job(accepted)
    pool.run_rounds(2)
    pool.start()
    harness = pool.harness
    harness.scheduler.cancel_job(accepted.job_id, harness.now, harness.unix_ms)
    before = len(pool.started)
    for _ in range(300):
        harness.tick(0.1)
        pool.start()
    assert len(pool.started) == before
    assert not harness.scheduler._state.jobs_with_due_occurrences
