"""Where late jobs lost their time, from logs."""

import json
from pathlib import Path
from typing import Any

import pytest

from tamarackmount.delays import Cause, count_by_window, find_delays, is_harmed
from tamarackmount.explain import read_lines
from tamarackmount.status import ExitStatus
from tests.utils.environment import command_line

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"
NO_CAPACITY = "no allowed worker has room"
NO_ADVICE = "no worker is known to be allowed for it, or the permission ended"


def line(at_s: float, message: str, job: str = JOB, **fields: object) -> str:
    seconds, ms = divmod(round(at_s * 1_000), 1_000)
    head = {
        "time": f"2026-01-09T15:10:{seconds:02d}.{ms:03d}Z",
        "message": message,
        "job": job,
    }
    return f"  12.5 front-a-1 {json.dumps(head | fields)}"


def handed_in(at_s: float, took_s: float = 0.1, **fields: object) -> str:
    values: dict[str, Any] = {"queue": "stock", "stored": "yes", "took_s": took_s}
    values |= fields
    return line(at_s, "job handed in", **values)


def run(task: str, number: int, starts: float, ends: float, how: str) -> list[str]:
    values: dict[str, Any] = {"task": task, "run": number}
    return [
        line(starts, "run starts", **values),
        line(ends, "run ended", how=how, ran_s=ends - starts, **values),
    ]


def ended(at_s: float, late: bool = True) -> str:
    return line(at_s, "job ended", phase="completed", queue="stock", late=late)


def seconds_by_cause(*rows: str) -> dict[Cause, float]:
    (delay,) = find_delays(read_lines(["\n".join(rows)]))
    assert sum(delay.seconds_by_cause.values()) == pytest.approx(delay.took_s)
    return {
        cause: round(seconds, 3)
        for cause, seconds in delay.seconds_by_cause.items()
        if seconds > 0.0005
    }


def test_waits_and_runs_of_one_task_add_up() -> None:
    found = seconds_by_cause(
        handed_in(1.1),
        line(1.1, "step waits", step="0.0", reason=NO_ADVICE),
        line(1.3, "step waits", step="0.0", reason=NO_CAPACITY),
        *run("0.0.0", 1, 2.3, 3.0, "done"),
        ended(3.0),
    )
    assert found == {
        Cause.ACCEPTING: 0.1,
        Cause.ADVICE: 0.2,
        Cause.CAPACITY: 1.0,
        Cause.WORK: 0.7,
    }


@pytest.mark.parametrize(
    ("how", "cause"),
    [
        ("failed", Cause.FAILED_RUN),
        ("stopped", Cause.STOPPED_RUN),
        ("lapsed", Cause.LOST_RUN),
    ],
)
def test_an_earlier_run_of_the_last_task_is_on_the_path(how: str, cause: Cause) -> None:
    found = seconds_by_cause(
        handed_in(1.1),
        *run("0.0.1", 1, 1.1, 1.5, "done"),
        *run("0.0.0", 1, 1.1, 2.1, how),
        *run("0.0.0", 2, 2.1, 2.8, "done"),
        ended(2.8),
    )
    assert found == {Cause.ACCEPTING: 0.1, cause: 1.0, Cause.WORK: 0.7}


def test_a_run_that_never_ended_is_lost() -> None:
    found = seconds_by_cause(
        handed_in(1.1),
        line(1.1, "run starts", task="0.0.0", run=1),
        *run("0.0.0", 2, 2.1, 2.8, "done"),
        ended(2.8),
    )
    assert found == {Cause.ACCEPTING: 0.1, Cause.LOST_RUN: 1.0, Cause.WORK: 0.7}


def test_the_step_before_is_on_the_path() -> None:
    found = seconds_by_cause(
        handed_in(1.0, took_s=0.0),
        *run("0.0.0", 1, 1.0, 2.0, "done"),
        line(2.0, "step waits", step="0.1", reason=NO_CAPACITY),
        *run("0.1.0", 1, 2.5, 3.0, "done"),
        ended(3.0),
    )
    assert found == {Cause.CAPACITY: 0.5, Cause.WORK: 1.5}


def test_the_time_between_two_holders_is_told_apart() -> None:
    found = seconds_by_cause(
        handed_in(1.0, took_s=0.0),
        line(1.0, "step waits", step="0.0", reason=NO_ADVICE),
        line(2.0, "scheduling held", job="", epoch=9),
        *run("0.0.0", 1, 2.1, 2.8, "done"),
        ended(2.8),
    )
    assert found == {Cause.NO_HOLDER: 1.0, Cause.ADVICE: 0.1, Cause.WORK: 0.7}


def test_a_run_far_longer_than_others_of_its_step_is_slow() -> None:
    quick = [row for n in range(3) for row in run(f"0.0.{n}", 1, 1.0, 1.5, "done")]
    found = seconds_by_cause(
        handed_in(1.0, took_s=0.0),
        *quick,
        *run("0.0.3", 1, 1.0, 4.0, "done"),
        ended(4.0),
    )
    assert found == {Cause.SLOW_RUN: 3.0}


@pytest.mark.parametrize(
    ("stored", "cause"),
    [
        ("refused", Cause.REFUSED),
        ("no", Cause.STORE_AWAY),
        ("unknown", Cause.STORE_AWAY),
        ("yes", Cause.NOT_ENDED),
    ],
)
def test_a_job_without_an_end_has_the_cause_of_its_last_answer(
    stored: str, cause: Cause
) -> None:
    (delay,) = find_delays(read_lines([handed_in(1.0, stored=stored)]))
    assert delay.cause is cause
    assert is_harmed(delay)


def test_jobs_are_counted_by_the_window_in_which_they_were_handed_in() -> None:
    rows = [
        handed_in(1.0, took_s=0.0),
        ended(9.0),
        line(3.5, "job handed in", OTHER_JOB, queue="stock", stored="no", took_s=0.0),
    ]
    counts = count_by_window(find_delays(read_lines(["\n".join(rows)])))
    assert sorted(counts) == [("stock", 0), ("stock", 1)]
    assert counts["stock", 0].late == 1
    assert counts["stock", 1].not_done == 1


def test_the_command_prints_causes_and_tolerates_cut_lines(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    rows = [handed_in(1.1), *run("0.0.0", 1, 1.2, 3.0, "done"), ended(3.0)]
    log.write_text("\n".join([*rows, rows[0][:60]]), encoding="utf-8")
    run_command, _ = command_line()
    shown = run_command("delays", str(log))
    assert shown.status is ExitStatus.OK
    assert shown.stdout.startswith("1 jobs, 1 late, 0 not served, 0 unexplained")
    report = json.loads(run_command("delays", "--json", str(log)).stdout)
    assert report["late"] == 1
    assert report["by_cause"][0]["queue"] == "stock"


def test_logs_without_jobs_are_an_error(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    log.write_text("nothing\n", encoding="utf-8")
    run_command, _ = command_line()
    shown = run_command("delays", str(log))
    assert shown.status is ExitStatus.ERROR
    assert "no log line" in shown.stderr
