"""Formats the verdict as a table or as JSON, and writes the data of a run."""

import dataclasses
import json
from enum import Enum
from pathlib import Path

from tamarackmount.demo.checks import RunData, Verdict
from tamarackmount.demo.records import DisturbanceWindow, RequestRecord

LABEL_BY_FIELD = {
    "answered": "requests answered",
    "not_run": "requests not run",
    "unknown": "requests with unknown outcome",
    "doubled": "non-idempotent requests run more than once",
    "not_run_but_executed": "reported as not run, but executed",
    "answered_but_not_executed": "answered, but never executed",
    "wrong_answers": "incomplete responses or responses to other requests",
    "cut_off_by_planned_stop": "requests cut off by the planned stop",
    "waiting_p50_ms": "waiting time, median (ms)",
    "waiting_p99_ms": "waiting time, 99th percentile (ms)",
    "breaches": "rule violations that stand-ins detected",
    "task_attempts": "task attempts that workers ran",
    "task_overlaps": "tasks that ran in two places",
    "work_after_leaving": "requests sent to an upstream that had left",
    "revocation_seconds": "key refused everywhere after (s)",
    "accepted_after_refusal": "revoked key accepted again",
    "job_count_by_state": "jobs by outcome",
    "broken_promises": "broken guarantees",
}
"""Label of each row of the table, by field of the verdict."""


def table(verdict: Verdict) -> str:
    """Return the verdict as a table with one row per line."""
    width = max(len(label) for label in LABEL_BY_FIELD.values())
    return "\n".join(
        f"{label:<{width}}  {_cell_text(getattr(verdict, name))}"
        for name, label in LABEL_BY_FIELD.items()
    )


def json_line(verdict: Verdict) -> str:
    """Return the verdict as one line of JSON."""
    return json.dumps(dataclasses.asdict(verdict))


def write_run_data(run_data: RunData, directory: Path) -> None:
    """Write the requests, disturbances and breaches of a run as JSON lines."""
    for name, items in (
        ("requests.jsonl", run_data.records),
        ("disturbances.jsonl", run_data.windows),
        ("breaches.jsonl", run_data.breaches),
    ):
        lines = (json.dumps(item, default=_to_json) for item in items)
        text = "".join(f"{line}\n" for line in lines)
        (directory / name).write_text(text, encoding="utf-8")


def _to_json(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (RequestRecord, DisturbanceWindow)):
        return dataclasses.asdict(value)
    raise TypeError(type(value))


def _cell_text(value: object) -> str:
    if value is None:
        return "not measured"
    if isinstance(value, dict):
        return ", ".join(f"{name} {count}" for name, count in value.items()) or "none"
    if isinstance(value, list):
        return "; ".join(value) or "none"
    return str(value)
