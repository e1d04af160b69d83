"""Limits of what the callers' jobs may take of a node's memory and time."""

import logging
import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tamarackmount.ids import JobId, WorkspaceId
from tamarackmount.internal.buffer_budget import BufferBudget
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.paced_queue import PacedQueue
from tamarackmount.scheduling.admission.admission import add_jitter
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.scheduling.store.job_sizes import job_size
from tamarackmount.scheduling.store.journal import CancelRecord, decode_record
from tamarackmount.scheduling.store.unmatched_cancels import (
    CANCEL_BYTES,
    MEMORY_FRACTION,
)

WAITING_FRACTION = 1 / 16
"""Part of a process's memory that large jobs may take while they wait for their turn,
without unit."""

PENDING_FRACTION = 1 / 16
"""Part of a process's memory that jobs may take while they wait for the store, without
unit."""

KEPT_FRACTION = 1 / 3
"""Part of a process's memory that accepted jobs may take until they are removed,
without unit."""

WORKSPACE_SHARE = 2.0
"""Multiple of the memory that is left for accepted jobs, without unit, which the jobs
of one workspace may take: alone it gets two thirds, and the others find room."""

KEPT_RETRY_S = 30.0
"""Retry time of a job that finds no memory to be kept in, in seconds: others have to
end and to be removed first."""

STATE_BYTES_PER_WORK_BYTE = 10
"""Bytes of the scheduler's state that count as much as one byte of a record when the
holder gives turns, without unit."""

CANCEL_RETRY_S = 10.0
"""Retry time of the cancellation of an unknown job that finds no room, in seconds; each
is kept for longer, but some end all the time."""

PENDING_RETRY_S = 2
"""Retry time of a job that finds too many waiting for the store, in seconds; the
shortest outage of the store is a second."""

_log = logging.getLogger(__name__)


class JobLimit(Enum):
    """A limit that a job may exceed.

    ``LARGE_JOBS``: large jobs that wait for their turn to be decoded.
    ``PENDING_JOBS``: jobs that wait for the store.
    ``KEPT_JOBS``: accepted jobs, until they are removed some time after their end.
    ``CANCELS``: cancellations of jobs that are not known.
    """

    LARGE_JOBS = "large_jobs"
    PENDING_JOBS = "pending_jobs"
    KEPT_JOBS = "kept_jobs"
    CANCELS = "cancels"


@dataclass(frozen=True, slots=True)
class JobLimitSizes:
    """The limits in bytes; ``cancels`` is a number of cancellations of unknown jobs.

    ``waiting`` is that of large jobs that wait for their turn, ``pending`` that of jobs
    that wait for the store, and ``kept`` that of accepted jobs and those that wait.
    """

    waiting: int
    pending: int
    kept: int
    cancels: int

    @classmethod
    def of_memory(cls, memory_bytes: int) -> "JobLimitSizes":
        """Return the limits of a process that may use ``memory_bytes``."""
        return cls(
            waiting=int(memory_bytes * WAITING_FRACTION),
            pending=int(memory_bytes * PENDING_FRACTION),
            kept=int(memory_bytes * KEPT_FRACTION),
            cancels=int(memory_bytes * MEMORY_FRACTION / CANCEL_BYTES),
        )


@dataclass(frozen=True, slots=True)
class JobReservation:
    """The memory of one job that waits for the store, in bytes.

    ``work_bytes`` stands for the work that the holder has with it; small work needs no
    turn, see ``PacedQueue``.
    """

    job_id: JobId
    pending_bytes: int
    work_bytes: int


@dataclass(slots=True)
class _WaitingJob:
    """A job that waits for the store, submitted ``copies`` times at the moment."""

    workspace_id: WorkspaceId
    kept_bytes: int = 0
    copies: int = 0


class JobLimits:
    """Tells whether a node takes another job."""

    def __init__(
        self,
        reactor: Any,
        sizes: JobLimitSizes,
        job_index: JobIndex,
        metrics: NodeMetrics,
    ) -> None:
        """Apply the limits ``sizes``, and count refusals in ``metrics``.

        ``job_index`` has the accepted jobs, if this node follows the store.
        """
        self._sizes = sizes
        self._job_index = job_index
        self._metrics = metrics
        self._rng = random.Random()
        self._waiting_by_id: dict[JobId, _WaitingJob] = {}
        self._waiting_bytes_by_workspace: Counter[WorkspaceId] = Counter()
        self.turns = PacedQueue(reactor, sizes.waiting)
        self.pending = BufferBudget(sizes.pending)

    def try_reserve(self, job_id: JobId, text: bytes) -> JobReservation | JobLimit:
        """Reserve memory for a job with this record, which waits for the store.

        Return the limit instead that the job would exceed.
        """
        size = job_size(text)
        waiting = self._waiting_by_id.get(job_id) or _WaitingJob(size.workspace_id)
        extra_bytes = max(0, size.total - waiting.kept_bytes)
        if not self._can_keep(job_id, waiting.workspace_id, extra_bytes):
            return JobLimit.KEPT_JOBS
        # It waits as its record, and decoded beside that.
        pending_bytes = len(text) + size.record
        if not self.pending.try_reserve(pending_bytes):
            return JobLimit.PENDING_JOBS
        waiting.copies += 1
        waiting.kept_bytes += extra_bytes
        self._waiting_bytes_by_workspace[waiting.workspace_id] += extra_bytes
        self._waiting_by_id[job_id] = waiting
        work_bytes = len(text) + size.state // STATE_BYTES_PER_WORK_BYTE
        return JobReservation(job_id, pending_bytes, work_bytes)

    def can_keep_cancel(self, job_id: JobId, text: bytes) -> bool:
        """Tell whether a cancellation may be stored: that of a known job always may."""
        known = self._job_index.jobs_by_id.get(job_id)
        if known is not None and known.accepted is not None:
            return True
        record = decode_record(text, CancelRecord).value_or(CancelRecord(0))
        return self._job_index.unmatched_cancels.has_room(
            record.last_workspace, self._sizes.cancels
        )

    def has_other_copy(self, job_id: JobId, own_copies: int) -> bool:
        """Tell whether a job waits for the store in copies other than ``own_copies``.

        A refusal of one copy would tell the caller that the job never runs.
        """
        waiting = self._waiting_by_id.get(job_id)
        return waiting is not None and waiting.copies > own_copies

    def release(self, reservation: JobReservation) -> None:
        """Return the memory of a job that no longer waits; the index counts it then."""
        self.pending.release(reservation.pending_bytes)
        waiting = self._waiting_by_id[reservation.job_id]
        waiting.copies -= 1
        if not waiting.copies:
            self._waiting_bytes_by_workspace.subtract(
                {waiting.workspace_id: waiting.kept_bytes}
            )
            del self._waiting_by_id[reservation.job_id]

    def _can_keep(
        self, job_id: JobId, workspace_id: WorkspaceId, extra_bytes: int
    ) -> bool:
        """Tell whether a job may be accepted; one that is stored already may."""
        index, waiting = self._job_index, self._waiting_bytes_by_workspace
        if index.is_counted(job_id):
            return True
        kept_bytes = index.kept_bytes + waiting.total() + extra_bytes
        left_bytes = self._sizes.kept - kept_bytes
        own_bytes = index.kept_bytes_by_workspace[workspace_id] + waiting[workspace_id]
        return own_bytes + extra_bytes <= left_bytes * WORKSPACE_SHARE

    def refuse(self, job_id: JobId, limit: JobLimit) -> int:
        """Count a job that exceeds a limit; return after how many seconds to retry."""
        self._metrics.record_job_limit_refusal(limit.value)
        retry_s_by_limit = {
            JobLimit.LARGE_JOBS: self.turns.retry_s,
            JobLimit.PENDING_JOBS: PENDING_RETRY_S,
            JobLimit.KEPT_JOBS: add_jitter(KEPT_RETRY_S, self._rng),
            JobLimit.CANCELS: add_jitter(CANCEL_RETRY_S, self._rng),
        }
        retry_after_s = retry_s_by_limit[limit]
        extra = {"job": job_id, "limit": limit.value, "retry_after_s": retry_after_s}
        _log.info("job exceeds a limit", extra=extra)
        return retry_after_s
