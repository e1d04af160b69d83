"""Team shares decide the order on full workers; ceilings are never exceeded."""

import pytest

from tamarackmount.ids import WorkspaceId
from tamarackmount.kernel.job_effects import CheckpointTask, StopTask, TeamLimits
from tamarackmount.kernel.policies import PolicyNames
from tests.utils.build_jobs import OTHER_TEAM, TEAM, size, worker
from tests.utils.scheduler_harness import SchedulerHarness


def set_limits(harness: SchedulerHarness, **limits: int) -> None:
    teams = {TEAM: TeamLimits(**limits)}
    harness.apply(harness.scheduler.set_teams(teams, harness.now))


def test_full_workers_are_divided_by_weighted_share() -> None:
    harness = SchedulerHarness([worker("w1", cores=6), worker("w2", cores=6)])
    shares = {TEAM: TeamLimits(share=2.0), OTHER_TEAM: TeamLimits(share=1.0)}
    harness.apply(harness.scheduler.set_teams(shares, harness.now))
    harness.submit("a", TEAM, tasks=200, run_ms=1_000)
    harness.submit("b", OTHER_TEAM, tasks=200, run_ms=1_000)
    harness.run(4)
    assert len(harness.places("a", TEAM)) == 8
    assert len(harness.places("b", OTHER_TEAM)) == 4


def test_share_counts_the_dominant_resource() -> None:
    harness = SchedulerHarness([worker("w1", cores=12, memory_gib=24)])
    harness.submit("wide", TEAM, tasks=50, cores=2, memory_gib=1, run_ms=60_000)
    harness.submit("deep", OTHER_TEAM, tasks=50, cores=1, memory_gib=4, run_ms=60_000)
    harness.run(1)
    usage = harness.scheduler.usage()
    wide = usage[TEAM].amount.millicores / 12_000
    deep = usage[OTHER_TEAM].amount.memory_mib / (24 * 1_024)
    assert abs(wide - deep) <= 1 / 6


def test_fifo_baseline_ignores_shares() -> None:
    policies = PolicyNames(job_order="fifo")
    harness = SchedulerHarness([worker("w1", cores=4)], policies=policies)
    harness.submit("a", TEAM, tasks=8, run_ms=1_000)
    harness.submit("b", OTHER_TEAM, tasks=8, run_ms=1_000)
    harness.run(0.5)
    assert len(harness.places("a", TEAM)) == 4


@pytest.mark.parametrize(
    ("limits", "allowed"),
    [
        ({"running_tasks": 3}, 3),
        ({"millicores": 4_000}, 2),
        ({"memory_mib": 5 * 1_024}, 5),
        ({"accelerators": 1}, 1),
    ],
)
def test_ceiling_is_never_exceeded(limits: dict[str, int], allowed: int) -> None:
    harness = SchedulerHarness([worker("w1", cores=32, accelerators=8)])
    set_limits(harness, **limits)
    harness.submit(tasks=8, cores=2, accelerators=1, run_ms=60_000)
    harness.run(2)
    assert len(harness.places()) == allowed
    assert "ceiling" in harness.explain()[-1]["why"]


def test_tasks_above_a_lowered_ceiling_are_checkpointed_and_stopped() -> None:
    harness = SchedulerHarness([worker("w1", cores=8)])
    harness.submit(tasks=6, run_ms=60_000)
    harness.run(1)
    harness.effects.clear()
    set_limits(harness, running_tasks=2)
    harness.run(1)
    assert len(harness.places()) == 2
    assert harness.counts() == {"running": 2, "waiting": 4}
    kinds = [type(one) for one in harness.effects]
    assert kinds.count(CheckpointTask) == kinds.count(StopTask) == 4


def test_job_above_its_ceiling_is_infeasible_until_the_ceiling_is_raised() -> None:
    harness = SchedulerHarness([worker("w1", cores=8)])
    set_limits(harness, millicores=1_000)
    harness.submit(cores=2)
    assert harness.job()["state"] == "waiting"
    assert "ceiling of cores" in harness.job()["reason"]
    set_limits(harness, millicores=2_000)
    assert harness.job()["reason"] == ""
    harness.run(2)
    assert harness.job()["state"] == "succeeded"


def test_usage_counts_running_and_waiting_tasks() -> None:
    harness = SchedulerHarness([worker("w1", cores=2)])
    harness.submit(tasks=5, run_ms=60_000)
    harness.run(1)
    usage = harness.scheduler.usage()[WorkspaceId("retail")]
    assert (usage.running_tasks, usage.waiting_tasks) == (2, 3)
    assert usage.amount == size(2, 2)
