"""Properties that hold for any sequence of submissions, ends and lost workers."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarackmount.ids import WorkspaceId
from tamarackmount.resources import NOTHING, Resources
from tamarackmount.scheduling.domain.fleet_config import Workspace
from tamarackmount.scheduling.domain.worker_reports import RunEnd
from tamarackmount.scheduling.scheduler import SHARES_INTERVAL_S
from tamarackmount.scheduling.scheduler_state import SchedulerState
from tamarackmount.scheduling.workers.pool_loads import pool_load_key
from tests.utils.build_scheduling import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    SchedulerHarness,
    ended_run,
    fleet_config,
    job,
    step,
    worker_entry,
    worker_report,
)
from tests.utils.build_takeover import build_job_index, build_next_holder

CEILING = Resources(10_000, 0, 0)
NAMES = ("a", "b", "c")
WORKER_CORES = 16
MIN_RUN_S = 0.05

SUBMISSIONS = st.tuples(
    st.sampled_from(NAMES),
    st.booleans(),
    st.integers(1, 6),
    st.integers(1, 3),
    st.sampled_from([500, 4_000, 30_000]),
)
"""Workspace, urgency, tasks, cores of each and duration in milliseconds."""

EVENTS = st.lists(
    st.one_of(SUBMISSIONS, st.integers(1, 8), st.sampled_from([0.01, 0.1, 3.0])),
    max_size=40,
)
"""Submissions, numbers of runs that end, and times that pass in seconds."""


class Contention:
    """Three workspaces on one worker, which is driven by events."""

    def __init__(self) -> None:
        """Begin with an idle worker."""
        self.harness = SchedulerHarness()
        workspaces = {
            WorkspaceId(name): Workspace(WorkspaceId(name), 10.0 * n, CEILING)
            for n, name in enumerate(NAMES, 1)
        }
        self.harness.scheduler.set_fleet_config(
            replace(fleet_config(2), workspaces_by_id=workspaces), self.harness.now
        )
        self.harness.register_workers(worker_entry("w1", cores=WORKER_CORES))
        self.refused: set[str] = set()
        self._jobs = 0
        self._ends = 0

    @property
    def state(self) -> SchedulerState:
        """The scheduler's state."""
        return self.harness.scheduler._state  # noqa: SLF001

    def submit(
        self, name: str, is_urgent: bool, count: int, cores: int, ms: int
    ) -> None:
        """Submit a job, unless it is refused."""
        self._jobs += 1
        queue = HIGH_PRIORITY if is_urgent else LOW_PRIORITY
        spec = step(count, cores, estimated_ms=ms, saves_progress=not is_urgent)
        accepted = replace(
            job(self._jobs, spec, in_queue=queue), workspace_id=WorkspaceId(name)
        )
        fits = cores * 1_000 * count <= self._free_millicores()
        has_backlog = bool(self.state.ready_steps_by_key)
        harness = self.harness
        if harness.scheduler.check_admission(accepted, harness.now) is None:
            harness.submit_job(accepted)
        else:
            self.refused.add(accepted.job_id)
            used = self.state.used_by_workspace.get(WorkspaceId(name), NOTHING)
            below = used.millicores + cores * 1_000 * count <= CEILING.millicores
            assert not (fits and below and not has_backlog)

    def end_runs(self, count: int) -> None:
        """Let the runs that began first end, and confirm stops."""
        self.harness.answer_starts()
        self.harness.tick(MIN_RUN_S)
        (worker,) = self.state.workers_by_incarnation.values()
        runs = list(worker.runs_by_task.values())
        stops = {(stop.task, stop.run_number) for stop in self.harness.stops}
        self.harness.stops = []
        rows = []
        for number, run in enumerate(runs):
            is_stopped = (run.task, run.number) in stops
            if number >= count and not is_stopped:
                continue
            self._ends += 1
            outcome = RunEnd.STOPPED if is_stopped else RunEnd.DONE
            rows.append(ended_run(self._ends, run.task, run.number, outcome))
        ended = {(row.task, row.run_number) for row in rows}
        running = tuple(
            (run.task, run.number)
            for run in runs
            if (run.task, run.number) not in ended
        )
        self.harness.answer_poll(worker_report(running, tuple(rows)))
        self.harness.store_pending()

    def check(self) -> None:
        """Check what holds at any moment."""
        state = self.state
        for used in state.used_by_workspace.values():
            assert used.millicores <= CEILING.millicores
        loads = dict.fromkeys(state.load_by_pool, NOTHING)
        for worker in state.workers_by_incarnation.values():
            assert worker.used.fits_in(worker.entry.capacity)
            for run in worker.runs_by_task.values():
                use = pool_load_key(state.jobs_by_id[run.task.job_id])
                loads[use] = loads[use] + run.amount
        assert loads == {use: load.used for use, load in state.load_by_pool.items()}
        assert not self.refused & state.jobs_by_id.keys()

    def _free_millicores(self) -> int:
        (worker,) = self.state.workers_by_incarnation.values()
        return worker.free.millicores


@settings(max_examples=60, deadline=None)
@given(EVENTS)
def test_ceilings_and_counted_loads_hold_and_everything_accepted_ends(
    events: list[object],
) -> None:
    contention = Contention()
    for event in events:
        if isinstance(event, tuple):
            contention.submit(*event)
        elif isinstance(event, int):
            contention.end_runs(event)
        else:
            contention.harness.tick(float(str(event)))
        contention.check()
    # Nobody starves: once nothing arrives, all that was accepted ends.
    for _ in range(60):
        contention.end_runs(8)
        contention.harness.tick(0.5)
        contention.check()
    assert not contention.state.ready_steps_by_key
    assert not contention.state.load_by_pool


def test_the_use_of_pools_is_counted_from_adopted_runs() -> None:
    # Without it, a new holder would take a workspace that fills a pool for an idle one.
    before = SchedulerHarness()
    before.register_workers(worker_entry("w1"))
    before.submit_job(job(1, step(3)))
    starts = before.answer_starts()
    index = build_job_index([job(1, step(3))], before.store_pending())
    harness = build_next_holder(before, index)
    harness.scheduler.set_registered_workers([worker_entry("w1")], harness.now)
    running = tuple((start.order.task, start.order.run_number) for start in starts)
    harness.answer_poll(worker_report(running=running))
    harness.tick(SHARES_INTERVAL_S)
    (row,) = harness.scheduler.share_rows()
    assert row.used == pytest.approx(3 / 8)
