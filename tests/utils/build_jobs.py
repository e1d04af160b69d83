"""Builds jobs, workers and calls for tests."""

import json
from typing import Any

from tamarackmount.ids import JobId, RackId, WorkerId, WorkspaceId
from tamarackmount.kernel.job_effects import ListedWorker
from tamarackmount.kernel.messages import JobAction, JobCall
from tamarackmount.resources import Resources

TEAM = WorkspaceId("retail")
OTHER_TEAM = WorkspaceId("print")


def spec_text(name: str = "job", **changes: Any) -> str:
    """Return the JSON text of a specification: one batch task of one core."""
    spec = {
        "id": name,
        "kind": "batch",
        "tasks": 1,
        "cores": 1,
        "memory_gib": 1,
        "run_ms": 1_000,
    }
    spec.update(changes)
    if spec["kind"] == "service":
        del spec["run_ms"]
    return json.dumps(spec)


def submit(
    name: str = "job", team: WorkspaceId = TEAM, call_id: int = 1, **changes: Any
) -> JobCall:
    """Return a call that submits a job."""
    text = spec_text(name, **changes)
    return JobCall(call_id, JobAction.SUBMIT, team, JobId(""), text)


def call_on(
    action: JobAction, name: str = "job", team: WorkspaceId = TEAM, call_id: int = 2
) -> JobCall:
    """Return a call that lists, views, explains or cancels a job."""
    return JobCall(call_id, action, team, JobId(name), "")


def worker(
    name: str = "w1",
    cores: int = 4,
    memory_gib: int = 16,
    accelerators: int = 0,
    rack: str = "r1",
    leaving: bool = False,
) -> ListedWorker:
    """Return a listed worker."""
    capacity = Resources(cores * 1_000, memory_gib * 1_024, accelerators)
    return ListedWorker(
        WorkerId(name), "127.0.0.1", 7000, RackId(rack), capacity, leaving
    )


def size(cores: int, memory_gib: int = 1, accelerators: int = 0) -> Resources:
    """Return an amount in whole cores and GiB."""
    return Resources(cores * 1_000, memory_gib * 1_024, accelerators)
