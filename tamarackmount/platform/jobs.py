"""Decode the jobs that clients submit and encode the replies to clients."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import RackId
from tamarackmount.platform.resource_amounts import decode_resources
from tamarackmount.scheduling.domain.model import (
    FailureCause,
    JobPhase,
    JobSpec,
    StepSpec,
)

MAX_SPEC_BYTES = 4_000
"""Longest ``spec`` of a job (``JobSpec.text``) in bytes, set by the platform."""


MAX_QUANTITY = 2**53
"""Largest amount or time in a job; sums of larger ones could not be stored."""

MAX_TASKS = 20_000
"""Maximum number of tasks of a job in all of its repetitions: the record of a job's
progress, which lists the tasks that are done, has to fit into one record of the
store."""

MAX_DETAIL_CHARACTERS = 200
"""Maximum length of the message about a job that is not valid, in characters; it may
contain parts of the body."""


@dataclass(frozen=True, slots=True)
class JobError:
    """Why a job is rejected; one that ``is_too_large`` may be valid otherwise."""

    detail: str
    is_too_large: bool = False


def decode_job(body: bytes, max_steps: int = MAX_TASKS) -> Result[JobSpec, JobError]:
    """Return the job in a request body, or why it is rejected.

    A job of more than ``max_steps`` is rejected before its steps are decoded.
    """
    try:
        raw = orjson.loads(body)
        step_count = len(raw["steps"])
        if step_count > max_steps:
            detail = f"steps: must have at most {max_steps} entries, got {step_count}"
            return Failure(JobError(detail, is_too_large=True))
        return _validate(_decode(raw)).alt(_job_error)
    except Exception as error:  # noqa: BLE001  (a client may send anything)
        return Failure(_job_error(f"{type(error).__name__}: {error}"))


def _job_error(detail: str) -> JobError:
    return JobError(detail[:MAX_DETAIL_CHARACTERS])


def encode_job_state(phase: JobPhase, cause: FailureCause | None = None) -> bytes:
    """Return the reply body for a request for a job's state.

    That of a failed job has its ``cause``, a field beyond the platform's, if known.
    """
    body = {"state": phase.value}
    if cause is not None:
        body["cause"] = cause.value
    return orjson.dumps(body)


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
        # Repeated numbers mean nothing, and each would be kept on every node.
        after=tuple(dict.fromkeys(int(number) for number in row.get("after", ()))),
        gang=bool(row.get("gang", False)),
        same_rack=bool(row.get("sameRack", False)),
        label=str(row.get("requirements", "") or ""),
        # The rack with the data of the step's tasks.
        rack=RackId(str(row.get("affinity", "") or "")),
        max_per_worker=int(row.get("antiAffinity", 0)),
        saves_progress=bool(row.get("savesProgress", False)),
        speculative=bool(row.get("speculative", False)),
        perpetual=bool(row.get("perpetual", False)),
        image=str(row.get("image", "") or ""),
        target_ms=int(row.get("targetMs", 0)),
        fills=bool(row.get("fills", False)),
        may_miss=int(row.get("mayMiss", 0)),
    )


def _quantities(step: StepSpec) -> dict[str, int]:
    """Return the amounts and times of a step, by their wire names."""
    return {
        "cpu": step.amount.millicores,
        "requestedMemoryMb": step.amount.memory_mib,
        "gpu": step.amount.accelerators,
        "estimatedMs": step.estimated_ms,
        "antiAffinity": step.max_per_worker,
        "targetMs": step.target_ms,
        "mayMiss": step.may_miss,
    }


def _validate(job: JobSpec) -> Result[JobSpec, str]:
    if not job.steps:
        return Failure("steps: must contain at least one step")
    if len(job.text.encode()) > MAX_SPEC_BYTES:
        return Failure(f"spec: must be at most {MAX_SPEC_BYTES} bytes long")
    schedule_error = _find_schedule_error(job)
    if schedule_error:
        return Failure(schedule_error)
    for number, step in enumerate(job.steps):
        error = _find_step_error(number, step)
        if error:
            return Failure(f"steps[{number}].{error}")
    if job.task_count > MAX_TASKS:
        return Failure(
            f"steps: must have at most {MAX_TASKS} tasks in all repetitions, "
            f"got {job.task_count}"
        )
    return Success(job)


def _find_schedule_error(job: JobSpec) -> str:
    """Return what is wrong with a job's repetitions, or an empty string."""
    if job.repetitions < 0:
        return f"repetitions: must be at least 0, got {job.repetitions}"
    times = {"firstRunMs": job.first_run_unix_ms, "intervalMs": job.interval_ms}
    for name, value in times.items():
        if abs(value) > MAX_QUANTITY:
            return f"{name}: must be at most {MAX_QUANTITY}"
    return ""


def _find_step_error(number: int, step: StepSpec) -> str:
    """Return what is wrong with a step, or an empty string."""
    if step.count < 1:
        return f"count: must be at least 1, got {step.count}"
    for name, value in _quantities(step).items():
        if not 0 <= value <= MAX_QUANTITY:
            return f"{name}: must be from 0 to {MAX_QUANTITY}"
    for dependency in step.after:
        if not 0 <= dependency < number:
            return f"after: must list only earlier steps, got {dependency}"
    return ""
