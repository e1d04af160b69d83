"""Cancellations of jobs of which the store has no record yet."""

from collections import Counter
from itertools import islice

from tamarackmount.ids import JobId, WorkspaceId
from tamarackmount.scheduling.store.journal import CancelRecord

CANCEL_BYTES = 1_000
"""Memory that a node takes for the cancellation of an unknown job, in bytes."""

MEMORY_FRACTION = 1 / 32
"""Part of a process's memory that such cancellations may take, without unit."""

LEFT_SHARE = 1.0
"""Multiple of what is left that one workspace may use, without unit: alone it gets half
of it all, and the others find room."""


class UnmatchedCancels:
    """The cancellations of unknown jobs, counted for the workspace that sent the last.

    They are kept for as long as a job's record may still follow.
    """

    __slots__ = ("_count_by_workspace", "_rows_by_id")

    def __init__(self) -> None:
        """Begin empty."""
        self._rows_by_id: dict[JobId, tuple[int, WorkspaceId]] = {}
        self._count_by_workspace: Counter[WorkspaceId] = Counter()

    def __len__(self) -> int:
        """Return their number."""
        return len(self._rows_by_id)

    def __contains__(self, job_id: JobId) -> bool:
        """Tell whether an unknown job was cancelled."""
        return job_id in self._rows_by_id

    def add(self, job_id: JobId, record: CancelRecord) -> None:
        """Add the newest cancellation of an unknown job."""
        self.remove(job_id)
        workspace = record.last_workspace
        self._rows_by_id[job_id] = record.cancelled_unix_ms, workspace
        self._count_by_workspace[workspace] += 1

    def remove(self, job_id: JobId) -> None:
        """Remove the cancellation of a job that is known now, or if it has expired."""
        row = self._rows_by_id.pop(job_id, None)
        if row is not None:
            self._count_by_workspace[row[1]] -= 1

    def clear(self) -> None:
        """Forget all."""
        self._rows_by_id.clear()
        self._count_by_workspace.clear()

    def has_room(self, workspace: WorkspaceId, limit: int) -> bool:
        """Tell whether a workspace may add one, of ``limit`` in all."""
        left = limit - len(self._rows_by_id)
        return self._count_by_workspace[workspace] < left * LEFT_SHARE

    def expired(self, before_unix_ms: int, limit: int) -> list[JobId]:
        """Return the jobs that were cancelled before a time, at most ``limit``."""
        found = (
            job_id
            for job_id, (cancelled_unix_ms, _) in self._rows_by_id.items()
            if cancelled_unix_ms < before_unix_ms
        )
        return list(islice(found, limit))
