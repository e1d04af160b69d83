"""Estimates of the memory that a job takes, from its record in the store."""

import sys
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from tamarackmount.ids import WorkspaceId
from tamarackmount.scheduling.store.journal import WORKSPACE_FIELD

RECORD_BYTES = 2_200
"""Memory that a node takes for the fixed parts of a job, its progress and its part in
the counts of waiting jobs, in bytes."""

STATE_BYTES = 1_000
"""Memory that the scheduler takes for the fixed parts of a job, in bytes."""

STEP_BYTES = 2_400
"""Memory that the scheduler takes for a step in one occurrence, in bytes."""

TASK_BYTES = 400
"""Memory that the scheduler takes for a task, in bytes: more while it runs, and less
while it waits."""

MAX_TASKS = 20_000
"""Number of tasks, or of steps, above which no more are counted: no valid job has more,
and one odd record must not fill the memory by its estimate."""


@dataclass(frozen=True, slots=True)
class JobSize:
    """Memory that a job of ``workspace_id`` takes, in bytes.

    ``record`` is that of its record on each node that follows the store, encoded or
    decoded. ``state`` is that of the scheduler, until the job ends.
    """

    record: int
    state: int
    workspace_id: WorkspaceId = WorkspaceId("")

    @property
    def total(self) -> int:
        """All of the memory at the holder."""
        return self.record + self.state


def job_size(text: bytes) -> JobSize:
    """Return an estimate for a job with this record; none of it raises an error."""
    # A character takes as many bytes as the widest one of its string.
    record = RECORD_BYTES + len(text) + sys.getsizeof(text.decode("utf-8", "replace"))
    try:
        raw = orjson.loads(text)
        state = _state_bytes(raw["spec"])
        workspace_id = WorkspaceId(str(raw[WORKSPACE_FIELD]))
    except (KeyError, TypeError, ValueError, OverflowError):
        # The record has another form, and no scheduler keeps such a job.
        return JobSize(record, 0)
    return JobSize(record, state, workspace_id)


def _state_bytes(spec: Mapping[str, Any]) -> int:
    occurrences = max(1, int(spec["repetitions"]))
    steps = occurrences * len(spec["steps"])
    tasks = occurrences * sum(int(step["count"]) for step in spec["steps"])
    counted_bytes = STEP_BYTES * min(steps, MAX_TASKS)
    return STATE_BYTES + counted_bytes + TASK_BYTES * min(tasks, MAX_TASKS)
