"""Decode the jobs that clients submit and encode the replies to clients."""

from collections.abc import Mapping
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import RackId
from tamarackmount.platform.resource_amounts import decode_resources
from tamarackmount.scheduling.model import JobPhase, JobSpec, StepSpec

MAX_SPEC_BYTES = 4_000
"""Longest ``spec`` of a job (``JobSpec.text``) in bytes, set by the platform."""


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Return the job in a request body, or an error message if it is not valid."""
    try:
        raw = orjson.loads(body)
        return _validate(_decode(raw))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def encode_job_state(phase: JobPhase) -> bytes:
    """Return the reply body for a request for a job's state."""
    return orjson.dumps({"state": phase.value})


def encode_waiting_count(count: int) -> bytes:
    """Return the reply body for a request for a queue's number of waiting jobs."""
    return orjson.dumps({"waiting": count})


def _decode(raw: Mapping[str, Any]) -> JobSpec:
    return JobSpec(
        text=str(raw.get("spec", "")),
        steps=tuple(_decode_step(row) for row in raw["steps"]),
        first_run_unix_ms=int(raw.get("firstRunMs", 0)),
        interval_ms=int(raw.get("intervalMs", 0)),
        repetitions=int(raw.get("repetitions", 0)),
    )


def _decode_step(row: Mapping[str, Any]) -> StepSpec:
    return StepSpec(
        count=int(row["count"]),
        amount=decode_resources(row),
        estimated_ms=int(row.get("estimatedMs", 0)),
        after=tuple(int(number) for number in row.get("after", ())),
        gang=bool(row.get("gang", False)),
        same_rack=bool(row.get("sameRack", False)),
        label=str(row.get("requirements", "") or ""),
        # The rack with the data of the step's tasks.
        rack=RackId(row.get("affinity", "") or ""),
        max_per_worker=int(row.get("antiAffinity", 0)),
        saves_progress=bool(row.get("savesProgress", False)),
        speculative=bool(row.get("speculative", False)),
        perpetual=bool(row.get("perpetual", False)),
        image=str(row.get("image", "") or ""),
        target_ms=int(row.get("targetMs", 0)),
        fills=bool(row.get("fills", False)),
        may_miss=int(row.get("mayMiss", 0)),
    )


def _validate(job: JobSpec) -> Result[JobSpec, str]:
    if not job.steps:
        return Failure("steps: must contain at least one step")
    if len(job.text.encode()) > MAX_SPEC_BYTES:
        return Failure(f"spec: must be at most {MAX_SPEC_BYTES} bytes long")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return Failure(f"steps[{number}].count: must be at least 1")
        if any(not 0 <= dependency < number for dependency in step.after):
            return Failure(f"steps[{number}].after: must list only earlier steps")
    return Success(job)
