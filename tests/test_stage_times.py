"""How long each stage of a job's path takes, from logs."""

import json
from pathlib import Path

import pytest

from tamarackmount.explain import read_lines
from tools.stage_times import Stage, main, percentile, seconds_by_stage

JOB = "00000000000000aa"


def line(at_ms: int, message: str, job: str = JOB, **fields: object) -> str:
    """Return a line of a log; ``at_ms`` counts from the first second."""
    head = {
        "time": f"2026-01-09T15:10:{at_ms // 1_000:02d}.{at_ms % 1_000:03d}Z",
        "message": message,
        "job": job,
        "queue": "stock",
    }
    return json.dumps(head | fields)


def log_of_job(job: str = JOB) -> str:
    """Return the lines of a job whose stages take 20, 50, 900 and 5 ms."""
    rows = [
        line(1_020, "job handed in", job, stored="yes", took_s=0.02),
        line(1_070, "run starts", job, task="0.0.0", run=1),
        line(1_970, "run ended", job, task="0.0.0", run=1, how="done"),
        line(1_975, "job ended", job, phase="completed"),
    ]
    return "\n".join(rows)


def test_the_stages_of_a_job_add_up_to_its_path() -> None:
    rows = seconds_by_stage(read_lines([log_of_job()]))
    assert list(rows) == [("stock", stage) for stage in Stage]
    seconds = [values[0] for values in rows.values()]
    assert seconds == pytest.approx([0.02, 0.05, 0.9, 0.005], abs=1e-4)


def test_a_job_without_an_end_is_left_out() -> None:
    text = log_of_job().rsplit("\n", 1)[0]
    assert not seconds_by_stage(read_lines([text]))


@pytest.mark.parametrize(("percent", "expected"), [(50, 2.0), (95, 4.0), (1, 1.0)])
def test_percentiles_are_values_of_the_sample(percent: int, expected: float) -> None:
    assert percentile([1.0, 2.0, 3.0, 4.0], percent) == expected


def test_the_table_has_a_row_for_each_stage(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "all.log"
    path.write_text(log_of_job() + "\n" + log_of_job("00000000000000bb"))
    assert main([str(path)]) == 0
    table = capsys.readouterr().out.splitlines()
    assert len(table) == 1 + len(Stage)
    assert "0.900s" in table[3]


def test_logs_without_jobs_are_an_error(tmp_path: Path) -> None:
    path = tmp_path / "empty.log"
    path.write_text("")
    assert main([str(path)]) == 1
