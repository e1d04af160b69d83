"""Drawn histories compare the index of suspects to a search through all runs."""

import random
from collections.abc import Callable, Sequence

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tamarackmount.ids import Instant
from tamarackmount.scheduling.domain.model import JobPhase, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.evidence import suspect_isolation
from tamarackmount.scheduling.evidence.crash_evidence import (
    clear_task,
    explain_crashes,
    record_crash,
)
from tamarackmount.scheduling.evidence.suspect_isolation import GangWorkers
from tamarackmount.scheduling.execution import run_ends
from tamarackmount.scheduling.execution.run_reconciliation import record_listed
from tamarackmount.scheduling.jobs.runs import Run, RunPhase, StepState, make_job
from tamarackmount.scheduling.placement import gang_choice, placement
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.store.journal import CrashRecord
from tamarackmount.scheduling.workers.workers import WorkerState
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    SchedulerHarness,
    incarnation,
    job,
    step,
    worker_entry,
)
from tests.utils.crashing_pool import CrashingPool, tasks_of
from tests.utils.plain_evidence import compared_culprits, unknown_suspects, was_shared
from tests.utils.plain_isolation import (
    has_interference,
    plain_gang_workers,
    plain_isolated_workers,
    workers_of_new_suspects,
)

JOBS = [
    job(1, step(2)),
    job(2, step(3, gang=True)),
    job(3, step(2, speculative=True)),
]
UNKNOWN_JOB = job(99)
TASKS = [task for accepted in JOBS for task in tasks_of(accepted)]


def assert_index_agrees(state: SchedulerState) -> None:
    """Compare the index with a search, for each worker and job."""
    job_ids = {*state.jobs_by_id, *(one.job_id for one in (*JOBS, UNKNOWN_JOB))}
    for job_id in job_ids:
        avoided = workers_of_new_suspects(state, job_id)
        for worker in state.workers_by_incarnation.values():
            where = worker.incarnation
            found = state.isolation.has_new_suspects(where, job_id)
            assert found == (where in avoided)
            found = state.isolation.has_interfering_runs(where, job_id)
            assert found == has_interference(state, worker, job_id)
    for crash in state.crash_suspects.crashes:
        for task in state.crash_suspects.tasks_of(crash):
            found = state.crash_suspects.is_shared(task, crash)
            assert found == was_shared(state, task, crash)


class ComparedDecisions:
    """Takes each decision by the index and by a search, and compares them."""

    def __init__(self) -> None:
        """Begin with no decisions."""
        self.among_suspects = 0
        self.kept_apart = 0
        self.gangs_kept_apart = 0

    def isolated_workers(
        self,
        state: SchedulerState,
        step_state: StepState,
        index: int,
        workers: Sequence[WorkerState],
        now: Instant,
    ) -> Sequence[WorkerState]:
        """Return the workers on which a task can start apart from suspects."""
        decision = (state, step_state, index, workers, now)
        found = suspect_isolation.isolated_workers(*decision)
        assert list(found) == list(plain_isolated_workers(*decision))
        self.among_suspects += bool(state.suspected_tasks)
        self.kept_apart += len(found) < len(workers)
        return found

    def gang_workers(
        self,
        state: SchedulerState,
        step_state: StepState,
        workers: Sequence[WorkerState],
        now: Instant,
    ) -> list[GangWorkers]:
        """Return the workers on which a gang can start apart from suspects."""
        found = suspect_isolation.gang_workers(state, step_state, workers, now)
        assert [
            (
                {worker.incarnation for worker in choice.workers},
                {index: set(row) for index, row in choice.workers_by_suspect.items()},
            )
            for choice in found
        ] == plain_gang_workers(state, step_state, workers, now)
        self.gangs_kept_apart += bool(found[0].workers_by_suspect)
        return found


@pytest.mark.parametrize("seed", range(12))
def test_a_decision_about_suspects_differed_from_a_search_through_all_runs(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Workers crash and are cut off, tasks crash them, and holders are replaced."""
    decisions = ComparedDecisions()
    monkeypatch.setattr(placement, "isolated_workers", decisions.isolated_workers)
    monkeypatch.setattr(gang_choice, "gang_workers", decisions.gang_workers)
    monkeypatch.setattr(run_ends, "find_culprits", compared_culprits)
    rng = random.Random(seed)
    pool = CrashingPool(
        worker_count=rng.choice((3, 8)),
        crash_after_s=rng.choice((0.0, 0.3, 2.0)),
        downtime_s=rng.choice((0.3, 3.2)),
        keeps_id=rng.random() < 0.5,
        cores=16,
    )
    for number in range(1, 25):
        spec = step(
            rng.randint(1, 6),
            estimated_ms=rng.choice((500, 4_000, 20_000)),
            **rng.choice(({}, {}, {"gang": True}, {"speculative": True})),
        )
        accepted = job(number, spec, in_queue=HIGH_PRIORITY)
        if rng.random() < 0.15:
            pool.deadly.add(tasks_of(accepted)[0])
        if rng.random() < 0.1:
            pool.held_back.update(tasks_of(accepted))
        pool.submit(accepted)
        _let_something_happen(pool, rng)
        end = pool.now + rng.uniform(0.0, 1.5)
        while pool.now < end:
            pool.run(pool.STEP_S)
            assert_index_agrees(pool.harness.scheduler._state)
        pool.held_back.clear()
    assert decisions.among_suspects
    assert decisions.kept_apart
    assert decisions.gangs_kept_apart


def _let_something_happen(pool: CrashingPool, rng: random.Random) -> None:
    if not pool.workers:
        return
    where, event = rng.choice(list(pool.workers)), rng.random()
    if event < 0.4:
        pool.crash(where)
    elif event < 0.6:
        pool.cut(where, not pool.workers[where].is_cut)
    elif event < 0.65:
        pool.fail_runs(where)
    elif event < 0.75:
        pool.kill_holder(rng.uniform(0.1, 2.0))


class Table:
    """A scheduler's state that is changed in any order, without its decisions."""

    def __init__(self) -> None:
        """Begin with three workers and two of the jobs."""
        self.harness = SchedulerHarness()
        entries = [worker_entry(f"w{number}", cores=1_000) for number in range(3)]
        self.harness.register_workers(*entries)
        self.state = self.harness.scheduler._state
        self.workers = list(self.state.workers_by_incarnation.values())
        self.runs: list[Run] = []
        for task in (TASKS[0], TASKS[-1]):
            self.add_job(task, self.workers[0])

    def add_job(self, task: TaskKey, _worker: WorkerState) -> None:
        """Add the job of a task, unless it is known."""
        if task.job_id not in self.state.jobs_by_id:
            (accepted,) = (one for one in JOBS if one.job_id == task.job_id)
            self.state.add_job(make_job(accepted, None, self.harness.now))

    def remove_job(self, task: TaskKey, _worker: WorkerState) -> None:
        """Remove the job of a task if it has no runs other than orphaned ones."""
        job_state = self.state.jobs_by_id.get(task.job_id)
        if job_state is None:
            return
        self.state.changed_jobs.discard(task.job_id)
        self.state.stored_final_phase_by_job[task.job_id] = JobPhase.COMPLETED
        self.state.remove_if_finished(job_state)
        del self.state.stored_final_phase_by_job[task.job_id]

    def start(self, task: TaskKey, worker: WorkerState) -> None:
        """Start a task that has no run."""
        found = self.state.step_of(task)
        if found is None or task.index in found.runs_by_index:
            return
        if task not in worker.runs_by_task:
            run = self._run(task, worker)
            self.state.add_run(worker, found, run)
            self.runs.append(run)

    def adopt_orphan(self, task: TaskKey, worker: WorkerState) -> None:
        """Add a run that no task needs."""
        if task not in worker.runs_by_task:
            run = self._run(task, worker)
            self.state.add_orphaned_run(worker, run, self.harness.now)
            self.runs.append(run)

    def list_early(self, task: TaskKey, worker: WorkerState) -> None:
        """Let a report on a poll list a run that started after it was sent."""
        self._list(task, worker, -1.0)

    def list_late(self, task: TaskKey, worker: WorkerState) -> None:
        """Let a report on a poll that was sent after its start list a run."""
        self._list(task, worker, 1.0)

    def drop(self, task: TaskKey, worker: WorkerState) -> None:
        """End a run."""
        run = worker.runs_by_task.get(task)
        if run is not None:
            self.state.drop_run(run, self.harness.now)

    def copy(self, task: TaskKey, worker: WorkerState) -> None:
        """Let a task start again beside its run."""
        run = worker.runs_by_task.get(task)
        if run is not None and not run.is_orphaned:
            self.state.request_speculative_copy(run)

    def suspect(self, task: TaskKey, worker: WorkerState) -> None:
        """Record a crash under a task."""
        self._record_crash(task, worker, is_early=False)

    def suspect_early(self, task: TaskKey, worker: WorkerState) -> None:
        """Record a crash under a task that had just started."""
        self._record_crash(task, worker, is_early=True)

    def weigh(self, _task: TaskKey, worker: WorkerState) -> None:
        """Give up the culprits of the crashes of a worker."""
        crashes = self._crashes_of(worker)
        for step_state, culprit in compared_culprits(self.state, crashes):
            explain_crashes(self.state, step_state, culprit)
            step_state.job.phase = JobPhase.FAILED

    def clear(self, task: TaskKey, _worker: WorkerState) -> None:
        """Withdraw the evidence against a task."""
        found = self.state.step_of(task)
        if found is not None:
            clear_task(self.state, found, task.index)

    def _list(self, task: TaskKey, worker: WorkerState, after_s: float) -> None:
        run = worker.runs_by_task.get(task)
        if run is not None:
            record_listed(self.state, run, Instant(run.began_at + after_s))

    def _record_crash(
        self, task: TaskKey, worker: WorkerState, *, is_early: bool
    ) -> None:
        """Record one of three crashes at an address; a task has each of them once."""
        found = self.state.step_of(task)
        if found is None:
            return
        known = found.crashes_by_index.get(task.index, ())
        fresh = [
            crash
            for crash in self._crashes_of(worker)
            if all(one.worker != crash for one in known)
        ]
        if not fresh:
            return
        address = worker.entry.address
        crash = CrashRecord(fresh[0], address, 20, is_early=is_early, is_confirmed=True)
        record_crash(self.state, found, task.index, crash, self.harness.now)
        assert not unknown_suspects(self.state)

    def _crashes_of(self, worker: WorkerState) -> list[WorkerIncarnation]:
        name = worker.incarnation.worker_id
        return [incarnation(name, born=born) for born in (2, 3, 4)]

    def _run(self, task: TaskKey, worker: WorkerState) -> Run:
        spec = step()
        return Run(
            task,
            len(self.runs) + 1,
            worker.incarnation,
            spec.amount,
            spec.amount,
            None,
            RunPhase.RUNNING,
            self.harness.now,
        )


Event = Callable[[Table, TaskKey, WorkerState], None]

EVENTS: list[Event] = [
    Table.add_job,
    Table.remove_job,
    Table.start,
    Table.adopt_orphan,
    Table.list_early,
    Table.list_late,
    Table.drop,
    Table.copy,
    Table.suspect,
    Table.suspect_early,
    Table.weigh,
    Table.clear,
]


# Rare in drawn events: a run is known before the gang that it is a member of.
@example(
    [
        (Table.adopt_orphan, tasks_of(JOBS[1])[1], 0),
        (Table.add_job, tasks_of(JOBS[1])[1], 0),
        (Table.list_late, tasks_of(JOBS[1])[1], 0),
        (Table.suspect, tasks_of(JOBS[1])[2], 0),
    ]
)
@settings(max_examples=400, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(EVENTS), st.sampled_from(TASKS), st.integers(0, 2)),
        min_size=40,
        max_size=60,
    )
)
def test_the_index_of_suspects_differed_after_changes_in_any_order(
    events: list[tuple[Event, TaskKey, int]],
) -> None:
    table = Table()
    for event, task, worker_number in events:
        event(table, task, table.workers[worker_number])
        assert_index_agrees(table.state)
