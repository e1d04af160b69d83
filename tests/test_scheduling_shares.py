"""Shares of a scarce pool: what workspaces are entitled to, and what callers get."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackmount.ids import WorkspaceId
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.fleet_config import Workspace
from tamarackmount.scheduling.scheduler import SHARES_INTERVAL_S
from tamarackmount.scheduling.shares.shares import (
    Amounts,
    CapacityShares,
    WorkspaceDemand,
    max_min_shares,
    share_pool,
)
from tests.utils.build_scheduling import (
    SERVICE,
    SchedulerHarness,
    fleet_config,
    job,
    step,
    worker_entry,
)
from tests.utils.contention_replay import (
    LONG_STEP,
    URGENT_STEP,
    Arrival,
    ContentionReplay,
    Outcome,
    poisson_arrivals,
)

CAPACITY = Resources(100_000, 100_000, 10)
SMALL = ("small-a", "small-b", "small-c")
WEIGHTS = {"large": 40.0, **dict.fromkeys(SMALL, 20.0)}


def demand(
    weight: float, waiting: Amounts, used: Amounts = (0.0, 0.0, 0.0)
) -> WorkspaceDemand:
    return WorkspaceDemand(weight, used, (0.0, 0.0, 0.0), waiting)


def shares_of(*demands: WorkspaceDemand) -> list[float]:
    by_name = {WorkspaceId(str(n)): row for n, row in enumerate(demands)}
    shares = max_min_shares(by_name)
    return [round(shares[name], 6) for name in by_name]


def test_scarce_capacity_is_divided_by_weight() -> None:
    rows = [demand(weight, (2.0, 0.0, 0.0)) for weight in (1.0, 1.0, 2.0)]
    assert shares_of(*rows) == [0.25, 0.25, 0.5]


def test_what_a_workspace_leaves_idle_goes_to_those_that_ask_for_more() -> None:
    rows = [demand(1.0, (part, 0.0, 0.0)) for part in (0.1, 0.3, 2.0)]
    assert shares_of(*rows) == [0.1, 0.3, 0.6]


def test_shares_are_those_of_the_dominant_resource() -> None:
    # The example of dominant resource fairness: 9 cores and 18 GB; tasks of 1 core and
    # 4 GB get 3 of them, tasks of 3 cores and 1 GB get 2.
    rows = [
        demand(1.0, (100 / 9, 400 / 18, 0.0)),
        demand(1.0, (300 / 9, 100 / 18, 0.0)),
    ]
    assert shares_of(*rows) == [round(2 / 3, 6), round(2 / 3, 6)]


def test_a_workspace_that_needs_no_scarce_resource_is_not_limited_by_it() -> None:
    rows = [demand(1.0, (0.1, 0.0, 3.0)), demand(1.0, (0.8, 0.0, 0.0))]
    assert shares_of(*rows) == [1.0, 0.8]


def test_no_shares_are_in_force_while_the_demand_fits() -> None:
    rows = {WorkspaceId("a"): demand(1.0, (0.1, 0.0, 0.0), used=(0.9, 0.0, 0.0))}
    shares = CapacityShares({SERVICE: share_pool(CAPACITY, rows)})
    assert not shares.is_over_share(WorkspaceId("a"), SERVICE)


def test_lent_and_borrowed_parts_are_shown() -> None:
    rows = {
        WorkspaceId("a"): demand(1.0, (0.9, 0.0, 0.0), used=(0.8, 0.0, 0.0)),
        WorkspaceId("b"): demand(1.0, (0.0, 0.0, 0.0), used=(0.2, 0.0, 0.0)),
    }
    shares = CapacityShares({SERVICE: share_pool(CAPACITY, rows)})
    borrower, lender = shares.rows()
    assert (borrower.entitled, borrower.used) == pytest.approx((0.8, 0.8))
    assert borrower.borrowed == pytest.approx(0.3)
    assert lender.lent == pytest.approx(0.3)
    assert shares.is_over_share(WorkspaceId("a"), SERVICE)


@given(
    st.lists(
        st.tuples(st.floats(0.1, 10.0), *(st.floats(0.0, 3.0) for _ in range(3))),
        min_size=1,
        max_size=6,
    )
)
def test_shares_fit_the_pool_and_nobody_starves(
    rows: list[tuple[float, float, float, float]],
) -> None:
    demands = {
        WorkspaceId(str(n)): demand(weight, (a, b, c))
        for n, (weight, a, b, c) in enumerate(rows)
    }
    shares = max_min_shares(demands)
    used = [0.0, 0.0, 0.0]
    total_weight = sum(row.weight for row in demands.values())
    for name, row in demands.items():
        dominant = max(row.total)
        assert shares[name] <= dominant + 1e-6
        # A workspace gets its weighted part, or else all that it asks for.
        assert shares[name] >= min(dominant, row.weight / total_weight) - 1e-6
        if dominant > 1e-6:
            for index, part in enumerate(row.total):
                used[index] += part / dominant * shares[name]
    assert max(used) <= 1.0 + 1e-6


def test_a_step_beyond_the_share_goes_behind_the_others_of_its_tier() -> None:
    harness = SchedulerHarness()
    base = fleet_config(2)
    large, small = WorkspaceId("large"), WorkspaceId("small")
    workspaces = {
        name: replace(workspace, workspace_id=name, ceiling=Resources())
        for name in (large, small)
        for workspace in base.workspaces_by_id.values()
    }
    harness.scheduler.set_fleet_config(
        replace(base, workspaces_by_id=workspaces), harness.now
    )
    harness.register_workers(worker_entry("w1", cores=8))
    first = [replace(job(n, step(4)), workspace_id=large) for n in range(1, 5)]
    for accepted in first:
        harness.submit_job(accepted)
    assert len(harness.answer_starts()) == 8
    # Its deadline is later than those of the jobs that wait.
    late_comer = replace(job(9, step(1, estimated_ms=2_000)), workspace_id=small)
    harness.submit_job(late_comer)
    harness.tick(SHARES_INTERVAL_S)
    state = harness.scheduler._state  # noqa: SLF001
    marked = {
        row.key.job_id: row.exceeds_pool_share
        for row in state.ready_steps_by_key.values()
    }
    assert marked[late_comer.job_id] is False
    assert [marked[row.job_id] for row in first[2:]] == [True, True]
    assert state.shares.is_over_share(large, SERVICE)
    assert not state.shares.is_over_share(small, SERVICE)


def two_workspaces() -> SchedulerHarness:
    """Return a pool of eight cores and two workspaces with the same weight."""
    harness = SchedulerHarness()
    base = fleet_config(2)
    workspaces = {
        WorkspaceId(name): Workspace(WorkspaceId(name), 10.0, Resources())
        for name in ("borrower", "lender")
    }
    harness.scheduler.set_fleet_config(
        replace(base, workspaces_by_id=workspaces), harness.now
    )
    harness.register_workers(worker_entry("w1", cores=8))
    return harness


def test_refused_jobs_are_counted_by_workspace_and_pool() -> None:
    harness = two_workspaces()
    accepted = replace(job(1, step(1, 99)), workspace_id=WorkspaceId("lender"))
    assert harness.scheduler.check_admission(accepted, harness.now) is not None
    fitting = replace(job(2), workspace_id=WorkspaceId("lender"))
    harness.submit_job(fitting)
    harness.tick(SHARES_INTERVAL_S)
    (row,) = harness.scheduler.share_rows()
    assert (row.workspace, row.service, row.refused) == ("lender", SERVICE, 1)
    assert row.used == pytest.approx(1 / 8)


def test_the_counted_use_of_pools_returns_to_nothing() -> None:
    replay = ContentionReplay([worker_entry(f"w{n}") for n in range(2)], {"a": 1.0})
    replay.run(poisson_arrivals("a", 2.0, (0.0, 3.0), step(4), 1, False), 20.0)
    assert replay.outcome("a").jobs >= 3
    state = replay.harness.scheduler._state  # noqa: SLF001
    assert not state.load_by_pool


def play_one_workspace_at_six_times_its_usual() -> list[Outcome]:
    """Return the outcome of the long jobs of each of the others, on a full pool."""
    arrivals: list[Arrival] = []
    for number, name in enumerate(WEIGHTS):
        factor = 6.0 if name == "large" else 1.0
        first, times = 10_000 * number, (0.0, 15.0)
        arrivals += poisson_arrivals(
            name, 0.35 * factor, times, LONG_STEP, first + 1, False
        )
        arrivals += poisson_arrivals(
            name, 0.4 * factor, times, URGENT_STEP, first + 5_001, True
        )
    workers = [
        worker_entry(f"w{n}", cores=64, capacity=Resources(64_000, 256_000, 0))
        for n in range(4)
    ]
    replay = ContentionReplay(workers, WEIGHTS, uses_admission=False)
    replay.run(arrivals, 32.0)
    return [replay.outcome(name, "books") for name in SMALL]


def on_time_fraction(outcomes: list[Outcome]) -> float:
    return sum(row.on_time for row in outcomes) / sum(row.jobs for row in outcomes)


def test_others_are_on_time_while_one_workspace_sends_six_times_its_usual() -> None:
    assert on_time_fraction(play_one_workspace_at_six_times_its_usual()) >= 0.75
