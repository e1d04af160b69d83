"""Builds the JSON texts that callers get about jobs."""

import json
from typing import Any

from tamarackmount.kernel.jobs import Job, TaskState, task_id

EXPLAIN_LIMIT = 1_000
"""Maximum number of tasks in an explanation; ``more`` counts the others."""


def job_view(job: Job) -> dict[str, Any]:
    """Return the JSON object of a job."""
    return {
        "id": job.id,
        "team": job.team_id,
        "kind": job.spec.kind.value,
        "state": job.state().value,
        "durability": "log" if job.logged else "peers",
        "reason": job.reason,
        "tasks": {state.value: count for state, count in _ordered_counts(job)},
    }


def job_text(job: Job) -> str:
    """Return the JSON text of a job."""
    return json.dumps(job_view(job))


def jobs_text(jobs: list[Job]) -> str:
    """Return the JSON text of a list of jobs."""
    return json.dumps({"jobs": [job_view(job) for job in jobs]})


def error_text(error: str, message: str, retry_after_ms: int = 0) -> str:
    """Return the JSON text of a refusal, with the outcome that nothing ran."""
    return json.dumps(
        {
            "error": error,
            "message": message,
            "outcome": "not-run",
            "retry_after_ms": retry_after_ms,
        }
    )


def explanation_text(job: Job) -> str:
    """Return the JSON text that gives the reason for the state of each task."""
    shown = min(job.spec.tasks, EXPLAIN_LIMIT)
    tasks = [_explain(job, index) for index in range(shown)]
    return json.dumps(
        {"id": job.id, "tasks": tasks, "more": job.spec.tasks - len(tasks)}
    )


def _explain(job: Job, index: int) -> dict[str, str]:
    state = job.state_of(index)
    attempt = job.attempts_by_index.get(index)
    worker_id = attempt.worker_id if attempt is not None else ""
    why = attempt.why if attempt is not None else _why_without_attempt(job, index)
    return {
        "task": task_id(job.id, index),
        "state": state.value,
        "worker": worker_id,
        "why": why,
    }


def _why_without_attempt(job: Job, index: int) -> str:
    if job.state_of(index) is not TaskState.WAITING:
        return job.reason
    if job.is_infeasible:
        return job.reason
    if index in job.backoff_until_by_index:
        return "waits for the retry backoff after its last attempt"
    return job.why_waiting or "waits in the queue"


def _ordered_counts(job: Job) -> list[tuple[TaskState, int]]:
    counts = job.counts()
    return [(state, counts[state]) for state in TaskState]
