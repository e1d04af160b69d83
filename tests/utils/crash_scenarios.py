"""Drawn pools of gangs and tasks, with crashes of all kinds."""

from dataclasses import dataclass
from random import Random

from hypothesis import strategies as st

from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.model import JobPhase, StepSpec
from tests.utils.build_scheduling import HIGH_PRIORITY, job, step
from tests.utils.crashing_pool import CrashingPool, tasks_of

EVENT_INTERVAL_S = 3.0


@dataclass(frozen=True)
class JobPlan:
    """A job: its step, how many of its tasks crash their workers, and when.

    Runs of these tasks crash their workers between ``min_age_s`` and ``max_age_s``
    after their starts; nothing else ends them before.
    """

    spec: StepSpec
    deadly_count: int
    min_age_s: float
    max_age_s: float


@dataclass(frozen=True)
class CrashScenario:
    """A pool, its jobs, and the events between their submissions.

    ``chance_crashes`` is the number of workers that crash by themselves in each event,
    one after the other; in events of which the number is in ``takeovers``, the holder
    is replaced. ``seed`` draws the rest.
    """

    worker_count: int
    downtime_s: float
    keeps_id: bool
    plans: list[JobPlan]
    chance_crashes: list[int]
    takeovers: set[int]
    seed: int


def _shape(worker_count: int) -> st.SearchStrategy[StepSpec]:
    """Draw a gang, as wide as the pool or several members a worker, or single tasks."""
    saves = {"saves_progress": True}
    return st.sampled_from(
        [
            step(worker_count, gang=True, max_per_worker=1, **saves),
            step(worker_count - 1, gang=True, max_per_worker=1),
            step(2 * worker_count, gang=True, max_per_worker=2, **saves),
            step(3, gang=True),
            step(4),
            step(worker_count, max_per_worker=1),
            step(2, speculative=True),
        ]
    )


@st.composite
def _plans(draw: st.DrawFn, worker_count: int) -> JobPlan:
    spec = draw(_shape(worker_count))
    estimated_ms = draw(st.sampled_from([2_000, 12_000]))
    min_age_s = draw(st.sampled_from([0.0, 0.6, 1.5]))
    return JobPlan(
        spec=step(
            spec.count,
            estimated_ms=estimated_ms,
            gang=spec.gang,
            max_per_worker=spec.max_per_worker,
            saves_progress=spec.saves_progress,
            speculative=spec.speculative,
        ),
        deadly_count=draw(st.integers(0, min(3, spec.count))),
        min_age_s=min_age_s,
        max_age_s=min_age_s + draw(st.sampled_from([0.0, 4.0])),
    )


@st.composite
def crash_scenarios(draw: st.DrawFn) -> CrashScenario:
    """Draw a scenario."""
    worker_count = draw(st.integers(3, 8))
    return CrashScenario(
        worker_count=worker_count,
        downtime_s=draw(st.sampled_from([0.3, 1.5, 3.2])),
        keeps_id=draw(st.booleans()),
        plans=draw(st.lists(_plans(worker_count), min_size=1, max_size=4)),
        chance_crashes=draw(st.lists(st.integers(0, 3), min_size=1, max_size=8)),
        takeovers=draw(st.sets(st.integers(0, 7), max_size=1)),
        seed=draw(st.integers(0, 1_000)),
    )


def play(scenario: CrashScenario) -> tuple[CrashingPool, list[AcceptedJob]]:
    """Play a scenario for a minute after its last event."""
    rng = Random(scenario.seed)
    pool = CrashingPool(
        scenario.worker_count,
        downtime_s=scenario.downtime_s,
        keeps_id=scenario.keeps_id,
        cores=16,
    )
    jobs = []
    for number, plan in enumerate(scenario.plans, 1):
        accepted = job(number, plan.spec, in_queue=HIGH_PRIORITY)
        for task in rng.sample(tasks_of(accepted), plan.deadly_count):
            pool.deadly.add(task)
            pool.crash_ages[task] = lambda plan=plan: rng.uniform(  # type: ignore[misc]
                plan.min_age_s, plan.max_age_s
            )
        jobs.append(accepted)
    waiting = list(jobs)
    for number, crash_count in enumerate(scenario.chance_crashes):
        if waiting:
            pool.submit(waiting.pop(0))
        for _ in range(crash_count):
            pool.run(rng.uniform(0.3, EVENT_INTERVAL_S / 3))
            if pool.workers:
                pool.crash(rng.choice(list(pool.workers)))
        pool.run(rng.uniform(0.0, EVENT_INTERVAL_S))
        if number in scenario.takeovers:
            pool.kill_holder(rng.uniform(0.5, 2.0))
    pool.submit(*waiting)
    pool.run(60.0, until=lambda: _have_ended(pool, jobs))
    return pool, jobs


def _have_ended(pool: CrashingPool, jobs: list[AcceptedJob]) -> bool:
    phases = (JobPhase.COMPLETED, JobPhase.FAILED)
    return round(pool.now * 50) % 50 == 0 and all(
        pool.phase(one) in phases for one in jobs
    )
