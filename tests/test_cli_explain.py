"""Tests of ``tamarackmount explain``."""

import json
from pathlib import Path

import pytest

from tamarackmount.status import ExitStatus
from tests.utils.environment import command_line

JOB = "00000000000000aa"


def line(message: str, second: int, node: str = "front-a-1", **fields: object) -> str:
    parts = [f'"time":"2026-01-09T15:10:{second:02d}.000Z"', f'"message":"{message}"']
    for name, value in fields.items():
        text = f'"{value}"' if isinstance(value, str) else str(value).lower()
        parts.append(f'"{name}":{text}')
    return f"  12.5 {node} {{{','.join(parts)}}}"


LATE = [
    line("job handed in", 1, job=JOB, stored="yes", took_s=0.02),
    line("step waits", 2, job=JOB, reason="its team is at its ceiling"),
    line("holder changed", 3, node="front-b-1", epoch=9),
    line("run starts", 4, job=JOB, task="0.0.0", run=1, worker="w1"),
    line("job ended", 6, job=JOB, phase="completed", age_s=5.0, late=True),
    line("store lost", 9, topic="keyed.op"),
    "a line that is not JSON",
]
REFUSED = [
    line(
        "job refused", 1, job=JOB, reason="no worker is large enough", retry_after_s=30
    ),
    line("job handed in", 1, job=JOB, stored="refused", took_s=0.0),
]
UNKNOWN = [line("job handed in", 1, job=JOB, stored="unknown", took_s=2.85)]

GIVEN_UP = [
    line("job handed in", 1, job=JOB, stored="yes", took_s=0.02),
    line("run lost", 4, job=JOB, task="0.0.0", run=1, worker="w1", cause="crashed"),
    line("job ended", 6, job=JOB, phase="failed", cause="worker_crashes", age_s=5.0),
]


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        (GIVEN_UP, "workers crashed again and again under a task of it"),
        (GIVEN_UP, "1 runs were lost with their workers"),
        (LATE, "completed after 5.0 s, after its objective"),
        (LATE, "its team is at its ceiling"),
        (REFUSED, "refused at submission: no worker is large enough"),
        (UNKNOWN, "its outcome was unknown"),
    ],
)
def test_the_verdict_names_the_cause(
    lines: list[str], expected: str, tmp_path: Path
) -> None:
    log = tmp_path / "node.log"
    log.write_text("\n".join(lines), encoding="utf-8")
    run_command, _ = command_line()
    run = run_command("explain", JOB, str(log))
    assert run.status is ExitStatus.OK
    assert expected in run.stdout.splitlines()[0]


def test_system_log_lines_are_shown_only_while_the_job_is_unfinished(
    tmp_path: Path,
) -> None:
    log = tmp_path / "node.log"
    log.write_text("\n".join(LATE), encoding="utf-8")
    run_command, _ = command_line()
    run = run_command("explain", JOB, str(log))
    assert "front-b-1 holder changed epoch=9" in run.stdout
    assert "store lost" not in run.stdout


def test_an_unknown_id_is_an_error(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    log.write_text("\n".join(LATE), encoding="utf-8")
    run_command, _ = command_line()
    run = run_command("explain", "ffffffffffffffff", str(log))
    assert run.status is ExitStatus.ERROR
    assert "no log line names job" in run.stderr


def test_the_verdict_has_the_time_in_each_reason(tmp_path: Path) -> None:
    times = {"no allowed worker has room": 1.25, "its team is at its ceiling": 0.5}
    extra = {"job": JOB, "message": "step waits", "seconds_by_reason": times}
    rows = [*LATE[2:], json.dumps({"time": "2026-01-09T15:10:04.000Z", **extra})]
    log = tmp_path / "node.log"
    log.write_text("\n".join(rows), encoding="utf-8")
    run_command, _ = command_line()
    first_row = run_command("explain", JOB, str(log)).stdout.splitlines()[0]
    assert "no allowed worker has room (1.25 s)" in first_row
