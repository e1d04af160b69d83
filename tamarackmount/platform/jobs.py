"""Jobs as clients hand them in, and answers to clients."""

from collections.abc import Mapping
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import RackId
from tamarackmount.platform.resource_amounts import decode_resources
from tamarackmount.scheduling.model import JobPhase, JobSpec, StepSpec

MAX_SPEC_BYTES = 4_000
"""Longest ``spec`` of a job, in bytes; the platform's bound."""


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Return the job in a request's body, or why there is none."""
    try:
        raw = orjson.loads(body)
        return _checked(_decode(raw))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def encode_job_state(phase: JobPhase) -> bytes:
    """Return the answer to a question for a job's state."""
    return orjson.dumps({"state": phase.value})


def encode_waiting_count(count: int) -> bytes:
    """Return the answer to a question for a queue."""
    return orjson.dumps({"waiting": count})


def _decode(raw: Mapping[str, Any]) -> JobSpec:
    return JobSpec(
        text=str(raw.get("spec", "")),
        steps=tuple(_step(row) for row in raw["steps"]),
        first_run_unix_ms=int(raw.get("firstRunMs", 0)),
        interval_ms=int(raw.get("intervalMs", 0)),
        repetitions=int(raw.get("repetitions", 0)),
    )


def _step(row: Mapping[str, Any]) -> StepSpec:
    return StepSpec(
        count=int(row["count"]),
        amount=decode_resources(row),
        estimated_ms=int(row.get("estimatedMs", 0)),
        after=tuple(int(number) for number in row.get("after", ())),
        gang=bool(row.get("gang", False)),
        same_rack=bool(row.get("sameRack", False)),
        label=str(row.get("requirements", "") or ""),
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


def _checked(job: JobSpec) -> Result[JobSpec, str]:
    if not job.steps:
        return Failure("steps: at least one expected")
    if len(job.text.encode()) > MAX_SPEC_BYTES:
        return Failure(f"spec: over {MAX_SPEC_BYTES} bytes")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return Failure(f"steps[{number}].count: 1 or more expected")
        if any(not 0 <= before < number for before in step.after):
            return Failure(f"steps[{number}].after: earlier steps expected")
    return Success(job)
