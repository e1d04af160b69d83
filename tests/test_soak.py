"""A short run of the soak, and what its ledger takes for a broken promise."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tamarackmount.resources import Resources
from tests.soak.ledger import CANCEL_S, Ledger, SoakJob, SoakRun, SoakStep

ROOT = Path(__file__).parents[1]
TEXT = "text"
ONE = Resources(1_000, 0, 0)


def ledger_with(job: SoakJob) -> Ledger:
    """Return a ledger that knows a job whose team may use two cores."""
    ledger = Ledger({"retail": Resources(2_000, 0, 0)})
    ledger.jobs_by_id[job.job_id] = job
    return ledger


def job(*steps: SoakStep) -> SoakJob:
    """Return a job; without steps it has one of two tasks."""
    return SoakJob("j", "retail", TEXT, list(steps or (SoakStep(2, ONE),)), 2)


def run(step: int = 0, index: int = 0, number: int = 1, worker: str = "w") -> SoakRun:
    """Return a run of the job's."""
    return SoakRun(("j", step, index), number, worker)


def rules(ledger: Ledger) -> list[str]:
    """Return the names of the broken rules."""
    return [text.partition(":")[0] for text in ledger.breaches]


def test_two_runs_of_one_task_are_a_breach_unless_it_may_have_copies() -> None:
    for is_speculative, expected in ((False, ["TWICE"]), (True, [])):
        ledger = ledger_with(job(SoakStep(1, ONE, (), is_speculative)))
        ledger.started(run(number=1), TEXT, 0.0)
        ledger.started(run(number=2, worker="v"), TEXT, 0.0)
        assert rules(ledger) == expected


def test_a_start_after_an_acknowledged_good_end_is_a_breach() -> None:
    ledger = ledger_with(job())
    ledger.started(run(), TEXT, 0.0)
    ledger.ended(run())
    ledger.noted(run(), "done")
    ledger.started(run(number=2), TEXT, 1.0)
    assert rules(ledger) == ["TWICE"]


def test_more_failures_than_attempts_are_a_breach() -> None:
    ledger = ledger_with(job())
    for number in (1, 2, 3):
        ledger.started(run(number=number), TEXT, 0.0)
        ledger.ended(run(number=number))
        ledger.noted(run(number=number), "failed")
    assert rules(ledger) == ["BUDGET"]


def test_a_step_before_its_time_is_a_breach() -> None:
    ledger = ledger_with(job(SoakStep(1, ONE), SoakStep(1, ONE, (0,))))
    ledger.started(run(step=1), TEXT, 0.0)
    assert rules(ledger) == ["ORDER"]


def test_a_start_that_nobody_asked_for_is_a_breach() -> None:
    ledger = ledger_with(job())
    ledger.started(run(), "other text", 0.0)
    ledger.jobs_by_id["j"].cancelled_at = 0.0
    ledger.started(run(), TEXT, CANCEL_S + 0.1)
    assert rules(ledger) == ["UNASKED", "UNASKED"]


def test_more_than_a_team_may_use_is_a_breach() -> None:
    ledger = ledger_with(job(SoakStep(4, ONE)))
    for index in range(4):
        ledger.started(run(index=index), TEXT, 0.0)
    assert rules(ledger) == ["QUOTA"]


@pytest.mark.parametrize(
    ("state", "rule"), [("completed", "MIXED"), ("failed", "LOST")]
)
def test_a_state_without_its_cause_is_a_breach(state: str, rule: str) -> None:
    ledger = ledger_with(job())
    ledger.shown("j", state)
    assert rules(ledger) == [rule]


def test_a_refused_job_that_ran_and_a_lost_one_are_breaches() -> None:
    refused, lost = job(), job()
    refused.is_refused = True
    ledger = ledger_with(refused)
    ledger.started(run(), TEXT, 0.0)
    ledger.check_end()
    assert rules(ledger) == ["REFUSED"]
    lost.is_accepted = True
    ledger = ledger_with(lost)
    ledger.check_end()
    assert rules(ledger) == ["LOST"]


def test_a_short_soak_finds_nothing() -> None:
    options = ["--seed", "2", "--minutes", "0.2", "--nodes", "3", "--workers", "4"]
    done = subprocess.run(
        [sys.executable, "-m", "tests.soak", *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    found = json.loads(done.stdout)
    assert found["breaches"] == []
    assert found["own_ends"] == 0
    assert found["accepted"] == found["ended"] > 0
