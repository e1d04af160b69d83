"""Retry times of refused jobs, in the order of their refusal, and what they promise.

Load pattern: many callers of one workspace are refused within a moment. With one retry
time they return together, and newcomers that arrive just before them are served first.
Here each gets a time one job's work after the one before it, and newcomers count the
work of those who were told to return.

Promises are in the holder's memory only. After a change of holder callers start anew,
which costs them at most one more refusal.
"""

from dataclasses import dataclass
from typing import NamedTuple

from tamarackmount.ids import Instant, JobId, WorkspaceId
from tamarackmount.scheduling.domain.model import ServiceName

MIN_RETRY_S = 1.0
"""Minimum retry time, in seconds; the answer to a caller has whole seconds."""

GRACE_S = 3.0
"""Time after its due time for which a promise holds, in seconds: the retry time is
rounded up to a second, and a caller may be slow to return."""

MAX_RETRY_S = 60.0
"""Maximum retry time, in seconds: forecasts do not reach further, and callers that
never return would push all later ones out."""

MAX_WORK_S = 10.0
"""Limit of the work that one caller is given time for, in seconds: a wrong estimate
would keep all callers after it away."""

MAX_PROMISES = 5_000
"""Limit of promises, without unit. Further callers get a retry time only."""


class ReturnPool(NamedTuple):
    """Callers of one workspace and pool, who get retry times in order.

    Those of urgent jobs are apart: urgent jobs don't wait for other work.
    """

    service: ServiceName
    workspace: WorkspaceId
    is_urgent: bool


@dataclass(slots=True)
class _Promise:
    """When a caller should return, and how long its job takes of the pool."""

    due_at: Instant
    work_s: float


class Returns:
    """The promises to callers whose jobs were refused."""

    def __init__(self) -> None:
        """Begin without promises."""
        self._promises_by_pool: dict[ReturnPool, dict[JobId, _Promise]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of promises."""
        return self._count

    def work_ahead_s(self, pool: ReturnPool, job_id: JobId, now: Instant) -> float:
        """Return the work, in seconds, of callers who were refused before this job.

        All of them are ahead of a job that was not refused yet.
        """
        self._remove_expired(pool, now)
        ahead_s = 0.0
        for name, promise in self._promises_by_pool.get(pool, {}).items():
            if name == job_id:
                break
            ahead_s += promise.work_s
        return ahead_s

    def refuse(
        self,
        pool: ReturnPool,
        job_id: JobId,
        retry_s: float,
        work_s: float,
        now: Instant,
    ) -> float:
        """Return after how many seconds the caller of a refused job should return.

        That is no sooner than ``retry_s``, and ``work_s`` after the last caller who was
        refused before. A caller who is refused again keeps its place, and its time if
        that has not come yet.
        """
        self._remove_expired(pool, now)
        if self._count >= MAX_PROMISES:
            for other in list(self._promises_by_pool):
                self._remove_expired(other, now)
        work_s = min(work_s, MAX_WORK_S)
        earliest_at = now + min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
        promises = self._promises_by_pool.get(pool, {})
        known = promises.get(job_id)
        if known is not None:
            if now >= known.due_at:
                known.due_at = Instant(earliest_at)
            return max(MIN_RETRY_S, known.due_at - now)
        last = next(reversed(promises.values()), None)
        if last is not None:
            in_turn_at = min(last.due_at + last.work_s, now + MAX_RETRY_S)
            earliest_at = max(earliest_at, in_turn_at)
        if self._count < MAX_PROMISES:
            due_at = Instant(earliest_at)
            self._promises_by_pool.setdefault(pool, {})[job_id] = _Promise(
                due_at, work_s
            )
            self._count += 1
        return earliest_at - now

    def fulfil(self, pool: ReturnPool, job_id: JobId) -> None:
        """Remove the promise for a job that is accepted now, if there is one."""
        promises = self._promises_by_pool.get(pool)
        if promises is not None and promises.pop(job_id, None) is not None:
            self._count -= 1
            if not promises:
                del self._promises_by_pool[pool]

    def _remove_expired(self, pool: ReturnPool, now: Instant) -> None:
        promises = self._promises_by_pool.get(pool, {})
        expired = [
            job_id
            for job_id, promise in promises.items()
            if now > promise.due_at + GRACE_S
        ]
        for job_id in expired:
            self.fulfil(pool, job_id)
