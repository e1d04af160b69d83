"""Tests of workers that take longer than others, and of what is learned of them."""

import random

import pytest

from tamarackmount.ids import Instant
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import StepKey
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.jobs.index_ranges import IndexRanges
from tamarackmount.scheduling.jobs.runs import JobState, StepState
from tamarackmount.scheduling.placement.speed_choice import speed_ranks
from tamarackmount.scheduling.workers.worker_speeds import (
    MAX_WORKERS,
    LearnedWorkerSpeeds,
)
from tamarackmount.scheduling.workers.workers import WorkerState
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    START,
    SchedulerHarness,
    ended_run,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.pool_simulation import PoolSimulation

SLOW_FACTOR = 2.0
TASK_S = 1.5
WORKERS = [worker_entry(f"w{number}", cores=8) for number in range(8)]
SLOW_NAMES = ("w0", "w4")
URGENT_LIMIT_S = 1.5 * 0.6 + 0.25
"""Time in which an urgent job of 0.6 s has to be done: its queue's stretch times its
duration and the queue's target."""


def make_worker(name: str, cores: int = 8) -> WorkerState:
    return WorkerState(worker_entry(name, cores=cores))


def warm_up() -> list[tuple[float, AcceptedJob]]:
    """Return jobs from which the workers' speeds can be learned, done by 30 s."""
    return [
        (1.5 * number, job(100 + number, step(48, estimated_ms=600)))
        for number in range(14)
    ]


def quarter_of_workers_at_half_speed(spread: float = 1.2) -> PoolSimulation:
    harness = SchedulerHarness(ceiling=Resources())
    simulation = PoolSimulation(
        harness, WORKERS, dict.fromkeys(SLOW_NAMES, SLOW_FACTOR), spread=spread
    )
    simulation.run_until(warm_up(), 30.0)
    return simulation


def test_without_samples_every_worker_is_usual() -> None:
    assert LearnedWorkerSpeeds().duration_factor(make_worker("w1")) == 1.0


def test_a_single_sample_says_little() -> None:
    speeds = LearnedWorkerSpeeds()
    speeds.add_sample(make_worker("w1"), 3.0)
    assert speeds.duration_factor(make_worker("w1")) < 1.3


def test_the_ratio_of_factors_follows_many_samples() -> None:
    speeds = LearnedWorkerSpeeds()
    workers = [make_worker(f"w{number}") for number in range(8)]
    for _ in range(60):
        for worker in workers:
            is_slow = worker.incarnation.worker_id in SLOW_NAMES
            speeds.add_sample(worker, SLOW_FACTOR if is_slow else 1.0)
    slow, fast = (speeds.duration_factor(workers[number]) for number in (0, 1))
    assert slow / fast == pytest.approx(SLOW_FACTOR, rel=0.15)


def test_an_unknown_worker_has_the_factor_of_its_kind() -> None:
    speeds = LearnedWorkerSpeeds()
    for _ in range(60):
        speeds.add_sample(make_worker("w1", cores=8), SLOW_FACTOR)
        speeds.add_sample(make_worker("w2", cores=16), 1.0)
    unknown = speeds.duration_factor(make_worker("w3", cores=8))
    other_kind = speeds.duration_factor(make_worker("w4", cores=16))
    assert unknown / other_kind > 1.3


def test_factors_do_not_drift_if_durations_have_a_long_tail() -> None:
    """Guards against factors that are fed back into their own samples."""
    speeds = LearnedWorkerSpeeds()
    rng = random.Random(5)
    workers = [make_worker(f"w{number}") for number in range(8)]
    for _ in range(2_000):
        took = [rng.choice((0.9, 1.0, 1.0, 3.0)) for _ in workers]
        usual = sorted(
            took_s / speeds.duration_factor(worker)
            for worker, took_s in zip(workers, took, strict=True)
        )
        for worker, took_s in zip(workers, took, strict=True):
            speeds.add_sample(worker, took_s / ((usual[3] + usual[4]) / 2))
    factors = [speeds.duration_factor(worker) for worker in workers]
    assert min(factors) > 0.6
    assert max(factors) < 1.6


def test_the_number_of_remembered_workers_is_bounded() -> None:
    speeds = LearnedWorkerSpeeds()
    first = make_worker("first", cores=4)
    for _ in range(60):
        speeds.add_sample(first, SLOW_FACTOR)
    assert speeds.duration_factor(first) > 1.3
    for number in range(MAX_WORKERS):
        speeds.add_sample(make_worker(f"w{number}"), 1.0)
    assert speeds.duration_factor(first) < 1.3


def test_restored_means_out_of_range_are_limited() -> None:
    speeds = LearnedWorkerSpeeds()
    speeds.restore({"w1": (99.0, 1e9), "w2": (float("nan"), 3.0), "w3": (0.5, -2.0)})
    factors = [speeds.duration_factor(make_worker(f"w{n}")) for n in range(1, 4)]
    assert all(0.5 < factor < 5.0 for factor in factors)


def test_urgent_steps_avoid_workers_at_half_speed() -> None:
    simulation = quarter_of_workers_at_half_speed()
    urgent = [
        (
            31.0 + number,
            job(
                200 + number,
                step(20, cores=1, estimated_ms=600),
                in_queue=HIGH_PRIORITY,
            ),
        )
        for number in range(10)
    ]
    simulation.run_until(urgent, 45.0)
    for arrives, accepted in urgent:
        assert simulation.done_s[accepted.job_id] - arrives <= URGENT_LIMIT_S + 0.1


def test_urgent_steps_use_slow_workers_if_they_fit_nowhere_else() -> None:
    simulation = quarter_of_workers_at_half_speed()
    wide = job(200, step(64, estimated_ms=600), in_queue=HIGH_PRIORITY)
    simulation.run_until([(31.0, wide)], 31.5)
    used = {
        name for task, name in simulation.worker_by_start if task.job_id == wide.job_id
    }
    assert used == {worker.incarnation.worker_id for worker in WORKERS}


def test_long_work_goes_to_slow_workers_while_it_is_on_time_there() -> None:
    simulation = quarter_of_workers_at_half_speed()
    calm = job(200, step(16, estimated_ms=600))
    simulation.run_until([(31.0, calm)], 31.5)
    used = {
        name for task, name in simulation.worker_by_start if task.job_id == calm.job_id
    }
    assert used == set(SLOW_NAMES)


@pytest.mark.parametrize(
    ("slack_s", "prefers_slow"), [(-1.0, False), (1.0, False), (5.0, True)]
)
def test_long_work_prefers_slow_workers_only_with_twice_the_extra_time(
    slack_s: float, prefers_slow: bool
) -> None:
    """Guards against work that is late because it was sent to a slow worker."""
    speeds = LearnedWorkerSpeeds()
    slow, fast = make_worker("w0"), make_worker("w1")
    for _ in range(60):
        speeds.add_sample(slow, SLOW_FACTOR)
        speeds.add_sample(fast, 1.0)
    accepted = job(1, step(1))
    waiting = StepState(
        StepKey(accepted.job_id, 0, 0),
        step(1),
        JobState(accepted, priority=2),
        IndexRanges.below(1),
    )
    waiting.job.latest_start = Instant(START + slack_s)
    ranks = speed_ranks(speeds, waiting, [slow, fast], TASK_S, START)
    assert (ranks[slow.incarnation] < ranks[fast.incarnation]) is prefers_slow


def test_a_gang_does_not_mix_fast_and_slow_workers() -> None:
    simulation = quarter_of_workers_at_half_speed()
    gang = job(200, step(3, cores=8, estimated_ms=600, gang=True))
    simulation.run_until([(31.0, gang)], 31.5)
    used = {
        name for task, name in simulation.worker_by_start if task.job_id == gang.job_id
    }
    assert len(used) == 3
    assert not used & set(SLOW_NAMES)


def test_ends_without_a_duration_are_no_samples() -> None:
    """Guards against a division by zero when ends arrive with the starts' answers."""
    harness = SchedulerHarness(ceiling=Resources())
    harness.register_workers(worker_entry("w1", cores=8))
    harness.submit_job(job(1, step(6)))
    starts = harness.answer_starts()
    rows = tuple(
        ended_run(number, start.order.task, start.order.run_number, RunEnd.DONE)
        for number, start in enumerate(starts, 1)
    )
    harness.answer_poll(worker_report(ended=rows))
    harness.tick(0.1)
