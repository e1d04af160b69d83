"""Keeps records within the length that the store takes.

A longer one would be refused for good, and nothing could be stored behind it.
"""

import logging
from dataclasses import replace
from typing import Any

from tamarackmount.ids import JobId
from tamarackmount.resources import NOTHING
from tamarackmount.scheduling.domain.model import StepSpec
from tamarackmount.scheduling.store.journal import JobProgress, encode_record

DEFAULT_MAX_RECORD_BYTES = 256 * 1024
"""Longest record that the store takes, in bytes, until the settings tell it."""

KEY_BYTES = 256
"""Bytes of a record that its key takes at most, with the key's length."""

WORKER_FIELD_BYTES = 2_048
"""Bytes of a worker's record that its fields other than the runs take at most."""

RUN_BYTES = 64
"""Bytes that a run takes at most in its worker's record."""

SHORTEST_STEP = StepSpec(
    count=1,
    amount=NOTHING,
    gang=True,
    same_rack=True,
    saves_progress=True,
    speculative=True,
    perpetual=True,
    fills=True,
)
"""A step whose record is as short as one can be."""

MIN_STEP_BYTES = len(encode_record(SHORTEST_STEP))
"""Bytes of a job's record that each of its steps takes at least."""

SHORTENED_FIELDS = ("checkpoints_by_task", "crashes_by_task", "failed_runs_by_task")
"""Fields of a progress record that it can do without, those first that are missed
least: a task without its checkpoint begins anew, one without evidence may crash more
workers, and a failed run without its number may count twice."""

_log = logging.getLogger(__name__)


def max_runs_per_worker(max_record_bytes: int) -> int:
    """Return how many runs of one worker fit into its record."""
    return max(1, (max_record_bytes - KEY_BYTES - WORKER_FIELD_BYTES) // RUN_BYTES)


def max_steps_per_job(max_record_bytes: int) -> int:
    """Return a number of steps above which no job fits into its record."""
    return max_record_bytes // MIN_STEP_BYTES


def encode_progress(
    job_id: JobId, progress: JobProgress, max_record_bytes: int
) -> bytes:
    """Return a progress record, without some optional entries if it is too long."""
    limit = max_record_bytes - KEY_BYTES
    text = encode_record(progress)
    if len(text) <= limit:
        return text
    whole_bytes = len(text)
    dropped: dict[str, int] = {}
    for name in SHORTENED_FIELDS:
        if len(text) <= limit:
            break
        entries = getattr(progress, name)
        kept = _without_bytes(entries, len(text) - limit)
        dropped[name] = len(entries) - len(kept)
        changes: dict[str, Any] = {name: kept}
        progress = replace(progress, **changes)
        text = encode_record(progress)
    extra = {"job": job_id, "bytes": whole_bytes, "limit": limit, "dropped": dropped}
    _log.warning("stored progress shortened", extra=extra)
    return text


def _without_bytes(entries: dict[str, Any], excess: int) -> dict[str, Any]:
    """Return the first entries, so that the others have ``excess`` bytes or more."""
    kept = dict(entries)
    for name in reversed(entries):
        if excess <= 0:
            break
        # The two braces around the entry, and the comma beside it.
        excess -= len(encode_record({name: kept.pop(name)})) - 2 + 1
    return kept
