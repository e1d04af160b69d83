"""Tests of the report: table, JSON line and files of the run's data."""

import dataclasses
import json
from dataclasses import replace
from pathlib import Path

from tamarackmount.demo.checks import Verdict, check_run
from tamarackmount.demo.records import Disturbance, DisturbanceWindow, Revocation
from tamarackmount.demo.report import (
    LABEL_BY_FIELD,
    json_line,
    table,
    write_run_data,
)
from tests.utils.build_run_data import build_run_data


def test_every_field_of_the_verdict_has_a_row() -> None:
    names = [field.name for field in dataclasses.fields(Verdict)]
    assert list(LABEL_BY_FIELD) == names


def test_json_is_one_line_with_the_documented_fields() -> None:
    line = json_line(check_run(build_run_data()))
    fields = json.loads(line)
    assert "\n" not in line
    assert {"answered", "not_run", "unknown", "doubled", "breaches"} <= set(fields)
    assert fields["answered"] == 1


def test_table_names_broken_guarantees() -> None:
    run_data = replace(build_run_data(), revocation=Revocation(None, 0))
    rows = table(check_run(run_data)).splitlines()
    assert len(rows) == len(LABEL_BY_FIELD)
    assert rows[-1].endswith("a revoked key was never refused everywhere")


def test_run_data_is_written_as_json_lines(tmp_path: Path) -> None:
    window = DisturbanceWindow(Disturbance.KILL, "dc1-m1", 1.0, 2.0)
    run_data = replace(build_run_data(windows=[window]), breaches=["slots"])
    write_run_data(run_data, tmp_path)
    [request] = (tmp_path / "requests.jsonl").read_text().splitlines()
    [disturbance] = (tmp_path / "disturbances.jsonl").read_text().splitlines()
    assert json.loads(request)["attempts"][0]["ending"] == "answered"
    assert json.loads(disturbance)["kind"] == "kill"
    assert (tmp_path / "breaches.jsonl").read_text() == '"slots"\n'
