"""A short run of the soak, and the violations that its checker detects."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tamarackmount.resources import Resources
from tests.soak.invariants import (
    CANCEL_GRACE_S,
    InvariantChecker,
    SoakJob,
    SoakRun,
    SoakStep,
)
from tests.soak.node_process import loopback_address

ROOT = Path(__file__).parents[1]
SPEC = "text"
ONE = Resources(1_000, 0, 0)


def checker_with(job: SoakJob) -> InvariantChecker:
    """Return a checker that knows a job whose team has a ceiling of two cores."""
    checker = InvariantChecker({"retail": Resources(2_000, 0, 0)})
    checker.jobs_by_id[job.job_id] = job
    return checker


def job(*steps: SoakStep) -> SoakJob:
    """Return a job; by default it has one step of two tasks."""
    return SoakJob("j", "retail", SPEC, list(steps or (SoakStep(2, ONE),)), 2)


def run(step: int = 0, index: int = 0, number: int = 1, worker: str = "w") -> SoakRun:
    """Return a run of a task of the job."""
    return SoakRun(("j", step, index), number, worker)


def violated_rules(checker: InvariantChecker) -> list[str]:
    """Return the names of the violated rules."""
    return [text.partition(":")[0] for text in checker.violations]


def test_two_runs_of_one_task_are_a_violation_unless_it_is_speculative() -> None:
    for is_speculative, expected in ((False, ["TWICE"]), (True, [])):
        checker = checker_with(job(SoakStep(1, ONE, (), is_speculative)))
        checker.run_started(run(number=1), SPEC, 0.0)
        checker.run_started(run(number=2, worker="v"), SPEC, 0.0)
        assert violated_rules(checker) == expected


def test_a_start_after_an_acknowledged_success_is_a_violation() -> None:
    checker = checker_with(job())
    checker.run_started(run(), SPEC, 0.0)
    checker.run_ended(run())
    checker.end_acknowledged(run(), "done")
    checker.run_started(run(number=2), SPEC, 1.0)
    assert violated_rules(checker) == ["TWICE"]


def test_a_start_after_the_last_attempt_failed_is_a_violation() -> None:
    checker = checker_with(job())
    for number in (1, 2, 3):
        checker.run_started(run(number=number), SPEC, 0.0)
        checker.run_ended(run(number=number))
        checker.end_acknowledged(run(number=number), "failed")
    assert violated_rules(checker) == ["BUDGET"]


def test_a_start_before_the_preceding_step_is_done_is_a_violation() -> None:
    checker = checker_with(job(SoakStep(1, ONE), SoakStep(1, ONE, (0,))))
    checker.run_started(run(step=1), SPEC, 0.0)
    assert violated_rules(checker) == ["ORDER"]


def test_a_start_of_an_unknown_or_cancelled_job_is_a_violation() -> None:
    checker = checker_with(job())
    checker.run_started(run(), "other text", 0.0)
    checker.jobs_by_id["j"].cancelled_at = 0.0
    checker.run_started(run(), SPEC, CANCEL_GRACE_S + 0.1)
    assert violated_rules(checker) == ["UNASKED", "UNASKED"]


def test_usage_above_the_ceiling_of_a_team_is_a_violation() -> None:
    checker = checker_with(job(SoakStep(4, ONE)))
    for index in range(4):
        checker.run_started(run(index=index), SPEC, 0.0)
    assert violated_rules(checker) == ["QUOTA"]


@pytest.mark.parametrize(
    ("state", "rule"), [("completed", "MIXED"), ("failed", "LOST")]
)
def test_a_reported_state_without_its_cause_is_a_violation(
    state: str, rule: str
) -> None:
    checker = checker_with(job())
    checker.state_reported("j", state)
    assert violated_rules(checker) == [rule]


def test_a_refused_job_that_ran_and_a_lost_job_are_violations() -> None:
    refused, lost = job(), job()
    refused.is_refused = True
    checker = checker_with(refused)
    checker.run_started(run(), SPEC, 0.0)
    checker.check_end()
    assert violated_rules(checker) == ["REFUSED"]
    lost.is_accepted = True
    checker = checker_with(lost)
    checker.check_end()
    assert violated_rules(checker) == ["LOST"]


def test_two_soaks_on_one_machine_have_no_address_in_common() -> None:
    addresses = [
        loopback_address(process_id, number)
        for process_id in (4_200, 4_201, 4_450, 62_499)
        for number in range(24)
    ]
    assert len(set(addresses)) == len(addresses)


@pytest.mark.parametrize("leavers", [[], ["--leavers-per-s", "3"]])
def test_a_short_soak_finds_no_violations(leavers: list[str]) -> None:
    options = ["--seed", "2", "--minutes", "0.2", "--nodes", "3", "--workers", "4"]
    options += leavers
    completed = subprocess.run(
        [sys.executable, "-m", "tests.soak", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    found = json.loads(completed.stdout)
    assert found["breaches"] == []
    assert found["own_ends"] == 0
    assert found["accepted"] == found["ended"] > 0
