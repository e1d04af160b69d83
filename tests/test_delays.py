"""Where late jobs lost their time, from logs."""

import json
from pathlib import Path
from typing import Any

import pytest

from tamarackmount.delays import (
    Cause,
    JobDelay,
    Unexplained,
    count_by_window,
    find_delays,
    is_harmed,
)
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
        ("yes", Cause.UNEXPLAINED),
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


def waits(at_s: float, started: bool, step: str = "0.0", **seconds: float) -> str:
    """Return a line about a wait, with the time in each reason by name."""
    texts = {"capacity": NO_CAPACITY, "advice": NO_ADVICE}
    times = {texts[name]: value for name, value in seconds.items()}
    return line(
        at_s,
        "step waits",
        step=step,
        reason=list(times)[-1],
        seconds_by_reason=times,
        started=started,
        waiting=0 if started else 1,
    )


def test_the_time_in_each_reason_is_taken_from_the_line_when_the_step_starts() -> None:
    found = seconds_by_cause(
        handed_in(1.0, took_s=0.0),
        waits(2.0, started=True, advice=0.25, capacity=0.75),
        *run("0.0.0", 1, 2.0, 3.0, "done"),
        ended(3.0),
    )
    assert found == {Cause.ADVICE: 0.25, Cause.CAPACITY: 0.75, Cause.WORK: 1.0}


def test_lines_of_a_stable_reason_and_of_the_start_are_not_counted_twice() -> None:
    found = seconds_by_cause(
        handed_in(1.0, took_s=0.0),
        waits(1.6, started=False, advice=0.1, capacity=0.5),
        waits(3.0, started=True, capacity=1.4),
        *run("0.0.0", 1, 3.1, 4.0, "done"),
        ended(4.0),
    )
    assert found == {
        Cause.ADVICE: 0.1,
        Cause.CAPACITY: 1.9,
        Cause.ORDERING: 0.1,
        Cause.WORK: 0.9,
    }


def test_a_stable_reason_goes_on_if_the_line_of_the_start_is_missing() -> None:
    found = seconds_by_cause(
        handed_in(1.0, took_s=0.0),
        waits(1.5, started=False, capacity=0.5),
        *run("0.0.0", 1, 3.0, 4.0, "done"),
        ended(4.0),
    )
    assert found == {Cause.CAPACITY: 2.0, Cause.WORK: 1.0}


LATER = line(40.0, "node stopped", job="")


def lost_job(*rows: str) -> JobDelay:
    """Return the delay of a job without an end, in logs that go on for long."""
    (delay,) = find_delays(read_lines(["\n".join((handed_in(1.0), *rows, LATER))]))
    assert is_harmed(delay)
    assert (delay.cause is Cause.UNEXPLAINED) == (delay.unexplained is not None)
    return delay


@pytest.mark.parametrize(
    ("rows", "reason"),
    [
        ([], Unexplained.NO_TRACE),
        (run("0.0.0", 1, 1.0, 2.0, "done"), Unexplained.LAST_RUN_ENDED),
        ([line(1.0, "run starts", task="0.0.0", run=1)], Unexplained.LOGS_END),
        (
            [
                *run("0.0.0", 1, 1.0, 35.0, "done"),
                line(35.0, "run starts", task="0.1.0", run=1),
            ],
            Unexplained.LOGS_END,
        ),
        (
            [
                *run("0.0.0", 1, 1.0, 2.0, "done"),
                line(3.0, "log lines dropped", job="", counts={"job ended": 4}),
            ],
            Unexplained.LINES_DROPPED,
        ),
        (
            [
                *run("0.0.0", 1, 1.0, 2.0, "done"),
                line(3.0, "log lines dropped", job="", counts={"role changed": 4}),
                line(3.0, "log lines summed", job="", counts={"run ended": {"": 4}}),
            ],
            Unexplained.LAST_RUN_ENDED,
        ),
        (
            [
                line(0.5, "log lines dropped", job="", counts={"job ended": 4}),
                *run("0.0.0", 1, 1.0, 2.0, "done"),
            ],
            Unexplained.LAST_RUN_ENDED,
        ),
    ],
)
def test_a_lost_job_that_cannot_be_judged_has_the_reason(
    rows: list[str], reason: Unexplained
) -> None:
    """Guards against jobs without an end that look as if they had a cause."""
    assert lost_job(*rows).unexplained is reason


def test_a_job_at_the_end_of_the_logs_is_not_judged() -> None:
    rows = [handed_in(1.0), waits(2.0, started=False, capacity=0.9)]
    (delay,) = find_delays(read_lines(["\n".join(rows)]))
    assert delay.unexplained is Unexplained.LOGS_END


@pytest.mark.parametrize(
    "row",
    [
        waits(2.0, started=False, capacity=0.9),
        line(1.1, "step waits", step="0.0", reason=NO_CAPACITY, waiting=1),
    ],
)
def test_a_job_that_waits_to_the_end_of_the_logs_has_the_cause_of_its_wait(
    row: str,
) -> None:
    delay = lost_job(row)
    assert delay.cause is Cause.CAPACITY
    assert delay.took_s == pytest.approx(39.1)


def test_a_job_that_runs_at_the_end_of_the_logs_has_the_cause_of_its_long_wait() -> (
    None
):
    delay = lost_job(
        waits(38.0, started=True, capacity=36.9),
        line(38.0, "run starts", task="0.0.0", run=1),
    )
    assert delay.cause is Cause.CAPACITY
    assert delay.seconds_by_cause[Cause.UNEXPLAINED] == pytest.approx(2.0)


def test_an_older_line_about_a_wait_ends_with_the_start_of_the_step() -> None:
    delay = lost_job(
        line(1.1, "step waits", step="0.0", reason=NO_CAPACITY, waiting=1),
        *run("0.0.0", 1, 1.2, 2.0, "done"),
    )
    assert delay.unexplained is Unexplained.LAST_RUN_ENDED


def test_perpetual_tasks_that_run_to_the_end_of_the_logs_are_served() -> None:
    rows = [
        handed_in(1.0, steps=["1x100m/1MiB/0acc 1000ms perpetual"]),
        line(1.1, "run starts", task="0.0.0", run=1),
        LATER,
    ]
    (delay,) = find_delays(read_lines(["\n".join(rows)]))
    assert not is_harmed(delay)


def test_unexplained_jobs_are_printed_with_their_reason(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    rows = [handed_in(1.1), *run("0.0.0", 1, 1.2, 3.0, "done"), LATER]
    log.write_text("\n".join(rows), encoding="utf-8")
    run_command, _ = command_line()
    shown = run_command("delays", str(log))
    assert shown.stdout.startswith("1 jobs, 0 late, 1 not served, 1 unexplained")
    assert "1 jobs: no end in the logs although its last run ended" in shown.stdout
    report = json.loads(run_command("delays", "--json", str(log)).stdout)
    assert report["unexplained_by_reason"] == {
        "no end in the logs although its last run ended": 1
    }


BAD_VALUES: list[object] = [
    None,
    True,
    -1,
    1e400,
    "text",
    [],
    {},
    {"a": ["b"]},
    "\u2028",
]


@pytest.mark.parametrize("value", BAD_VALUES)
@pytest.mark.parametrize(
    "name",
    [
        *("time", "message", "job", "queue", "took_s", "stored", "steps", "task"),
        *("run", "how", "ran_s", "step", "reason", "seconds_by_reason", "waiting"),
        *("started", "phase", "late", "counts", "since", "age_s"),
    ],
)
def test_a_field_of_another_type_does_not_end_the_tools(
    name: str, value: object, tmp_path: Path
) -> None:
    """Guards against a report of a day that one damaged line makes impossible."""
    rows = [
        handed_in(1.1, steps=["1x1m"]),
        waits(2.0, started=True, capacity=0.9),
        *run("0.0.0", 1, 2.0, 3.0, "done"),
        line(3.5, "log lines dropped", job="", counts={"a": 1}, since="2026"),
        line(4.0, "job ended", phase="completed", queue="stock", late=True, age_s=3.0),
    ]
    good = "\n".join(rows)
    bad = "\n".join(
        json.dumps({**json.loads(row[row.index("{") :]), name: value}) for row in rows
    )
    log = tmp_path / "node.log"
    log.write_text(f"{bad}\n{good}", encoding="utf-8")
    run_command, _ = command_line()
    assert run_command("delays", str(log)).status is ExitStatus.OK
    assert run_command("explain", JOB, str(log)).status is ExitStatus.OK


def test_a_separator_of_lines_in_a_field_does_not_hide_the_line() -> None:
    """Guards against lines that are lost as the log writes U+2028 unescaped."""
    row = handed_in(1.0, note="a\u2028b").encode().decode("unicode_escape")
    assert len(find_delays(read_lines([row]))) == 1


def test_bytes_that_are_not_text_do_not_hide_the_other_lines(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    log.write_bytes(b'{"message":"job \xff"}\n' + handed_in(1.0).encode())
    run_command, _ = command_line()
    assert run_command("delays", str(log)).status is ExitStatus.OK
    assert run_command("explain", JOB, str(log)).status is ExitStatus.OK
