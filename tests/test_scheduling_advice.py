"""Tests of which advice is requested, and when, under the loads that it is made for."""

from tamarackmount.ids import RackId
from tamarackmount.scheduling.advice.advice_choice import (
    ApprovalRates,
    workers_to_ask_about,
)
from tamarackmount.scheduling.domain.fleet_config import AdvicePolicy
from tamarackmount.scheduling.domain.model import WorkerIncarnation
from tamarackmount.scheduling.jobs.runs import (
    Run,
    RunPhase,
    StepState,
    WaitReason,
    make_job,
)
from tamarackmount.scheduling.workers.workers import WorkerState
from tests.utils.advice_replay import AdviceReplay
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    START,
    incarnation,
    job,
    step,
    worker_entry,
)

FAST_POLICY = AdvicePolicy(21.0, 0.3, 2_000.0)
SLOW_POLICY = AdvicePolicy(490.0, 7.0, 2_000.0)


def workers(count: int, cores: int = 32, rack: str = "r1") -> list[WorkerState]:
    return [
        WorkerState(
            worker_entry(
                f"{rack}w{number}",
                cores,
                incarnation=incarnation(f"{rack}w{number}"),
                rack=RackId(rack),
            )
        )
        for number in range(count)
    ]


def step_state(count: int, cores: int = 8, **changes: object) -> StepState:
    accepted = job(1, step(count, cores, **changes))
    (state,) = make_job(accepted, None, START).steps_by_key.values()
    return state


def test_urgent_jobs_do_not_wait_for_slow_decisions_that_keep_the_entry_vms_busy() -> (
    None
):
    replay = AdviceReplay(
        {HIGH_PRIORITY: FAST_POLICY, LOW_PRIORITY: SLOW_POLICY},
        workers=80,
        entry_vms=12,
    )
    slow = [(0.05 * n, job(100 + n, step(4, 2))) for n in range(40)]
    urgent = [
        (0.5 + 0.05 * n, job(500 + n, step(4, 1), in_queue=HIGH_PRIORITY))
        for n in range(30)
    ]
    replay.run([*slow, *urgent], 4.0)
    waits = [replay.wait_s_by_job.get(row.job_id, 4.0) for _, row in urgent]
    assert max(waits) <= 0.25


def test_a_small_step_is_mostly_decided_with_one_request_for_few_workers() -> None:
    replay = AdviceReplay({HIGH_PRIORITY: FAST_POLICY}, workers=195, entry_vms=97)
    arrivals = [
        (0.02 * n, job(500 + n, step(4, 2), in_queue=HIGH_PRIORITY)) for n in range(50)
    ]
    replay.run(arrivals, 2.0)
    assert len(replay.wait_s_by_job) == len(arrivals)
    assert len(replay.requests) <= 1.2 * len(arrivals)
    assert max(len(request.workers) for request in replay.requests) <= 30


def test_a_wide_step_names_more_workers_than_a_small_one() -> None:
    pool = workers(195)
    small = workers_to_ask_about(step_state(3), pool, [], 0.3)
    wide = workers_to_ask_about(step_state(40, 16), pool, [], 0.3)
    assert len(small) < len(wide) <= 60


def test_steps_are_spread_over_the_workers() -> None:
    pool = workers(195)
    named: set[WorkerIncarnation] = set()
    for number in range(1, 61):
        accepted = job(number, step(3, 8))
        (state,) = make_job(accepted, None, START).steps_by_key.values()
        named.update(
            worker.incarnation for worker in workers_to_ask_about(state, pool, [], 0.7)
        )
    assert len(named) >= 150


def test_workers_in_the_rack_of_the_data_are_named_first() -> None:
    pool = [*workers(60, rack="r1"), *workers(12, rack="r2")]
    named = workers_to_ask_about(step_state(4, rack=RackId("r2")), pool, [], 0.5)
    assert {worker.entry.rack for worker in named[:8]} == {RackId("r2")}


def test_a_gang_for_one_rack_names_workers_of_one_rack_with_capacity() -> None:
    pool = [*workers(12, rack="r1"), *workers(12, rack="r2")]
    for worker in pool[:10]:
        worker.used = worker.entry.capacity
    state = step_state(4, gang=True, same_rack=True)
    named = workers_to_ask_about(state, pool, [], 0.5)
    assert {worker.entry.rack for worker in named[:8]} == {RackId("r2")}


def test_no_request_is_made_while_allowed_workers_have_capacity_for_all_tasks() -> None:
    pool = workers(30)
    assert workers_to_ask_about(step_state(8), pool[2:], pool[:2], 0.5) == []
    assert workers_to_ask_about(step_state(9), pool[2:], pool[:2], 0.5)


def test_a_full_pool_is_not_asked_about_once_enough_workers_are_allowed() -> None:
    pool = workers(40)
    for worker in pool:
        worker.used = worker.entry.capacity
    assert workers_to_ask_about(step_state(4), pool[8:], pool[:8], 0.5) == []
    assert workers_to_ask_about(step_state(4), pool[8:], pool[:2], 0.5)


def test_undecided_workers_with_capacity_are_named_first() -> None:
    pool = workers(60)
    for worker in pool[:55]:
        worker.used = worker.entry.capacity
    named = workers_to_ask_about(step_state(4), pool[10:], pool[:10], 0.5)
    assert {id(worker) for worker in named[:5]} == {id(worker) for worker in pool[55:]}


def test_a_small_pool_is_decided_with_one_request_a_step() -> None:
    # Busy workers are named too: asking about them later would take another decision.
    pool = workers(24)
    for worker in pool[:20]:
        worker.used = worker.entry.capacity
    assert len(workers_to_ask_about(step_state(4), pool, [], 0.3)) == 24


def test_the_approval_fraction_of_a_queue_follows_its_answers() -> None:
    rates = ApprovalRates()
    for _ in range(60):
        rates.record_answer(LOW_PRIORITY, asked=20, allowed=4)
    assert 0.18 <= rates.fraction(LOW_PRIORITY) <= 0.25
    assert rates.fraction(HIGH_PRIORITY) == 0.5


def test_allowed_workers_at_the_limit_of_the_step_have_no_capacity_for_it() -> None:
    pool = workers(30)
    state = step_state(4, max_per_worker=1)
    for index, worker in enumerate(pool[:3]):
        state.pending.discard(index)
        run = Run(
            state.task(index),
            1,
            worker.incarnation,
            state.reserved_amount,
            state.reserved_amount,
            state.job.accepted.workspace_id,
            RunPhase.RUNNING,
            START,
        )
        state.runs_by_index[index] = run
        worker.reserve_capacity(run)
    assert workers_to_ask_about(state, pool[3:], pool[:3], 0.5)


def test_others_are_asked_about_if_placement_found_no_capacity() -> None:
    pool = workers(30)
    state = step_state(4)
    state.wait_reason = WaitReason.NO_CAPACITY
    assert workers_to_ask_about(state, pool[8:], pool[:8], 0.5)


def test_a_gang_of_whole_workers_asks_about_more_of_a_full_pool_than_small_tasks() -> (
    None
):
    pool = workers(76)
    for worker in pool:
        worker.used = worker.entry.capacity
    small, whole = step_state(4, 4), step_state(4, 32, gang=True)
    allowed, undecided = pool[:9], pool[9:]
    assert workers_to_ask_about(small, undecided, allowed, 0.3) == []
    assert len(workers_to_ask_about(whole, undecided, allowed, 0.3)) >= 30
    assert workers_to_ask_about(whole, pool[16:], pool[:16], 0.3) == []
