"""Limits on the requests of callers that are served at once.

Load pattern: the store doesn't answer, and clients send small jobs with long deadlines.
The connection of a request that is served is never evicted, so without a limit such
jobs would take all connections of the port, also those of lookups and cancellations.
"""

from collections import Counter
from collections.abc import Mapping
from enum import Enum

from tamarackmount.ids import JobId


class RequestKind(Enum):
    """What a request does while it takes one of the limited places.

    ``REFUSAL`` is a submission above its limit, while other nodes are asked whether
    they know its job.
    """

    SUBMISSION = "submission"
    REFUSAL = "refusal"
    LOOKUP = "lookup"
    CANCELLATION = "cancellation"


class ServedRequests:
    """The requests that are being served, up to a limit for each kind."""

    def __init__(self, limit_by_kind: Mapping[RequestKind, int]) -> None:
        """Serve up to a number of requests at once; a kind may have no limit."""
        self._limit_by_kind = limit_by_kind
        self._count_by_kind: Counter[RequestKind] = Counter()
        self._count_by_job: Counter[tuple[RequestKind, JobId]] = Counter()

    def try_add(self, kind: RequestKind, job_id: JobId) -> bool:
        """Add a request; return False if there is no place for it."""
        limit = self._limit_by_kind.get(kind)
        if limit is not None and self._count_by_kind[kind] >= limit:
            return False
        self._count_by_kind[kind] += 1
        self._count_by_job[kind, job_id] += 1
        return True

    def remove(self, kind: RequestKind, job_id: JobId) -> None:
        """Remove a request that was added."""
        self._count_by_kind[kind] -= 1
        self._count_by_job[kind, job_id] -= 1
        if not self._count_by_job[kind, job_id]:
            del self._count_by_job[kind, job_id]

    def includes(self, kind: RequestKind, job_id: JobId) -> bool:
        """Tell whether a request of a kind is being served for a job."""
        return (kind, job_id) in self._count_by_job
