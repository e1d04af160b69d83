"""When callers should retry while the store takes no jobs.

Load pattern: the store is away for some seconds, and callers give up after a few tries.
If all of them return every second, those whose jobs may take half a minute have used
their tries before the store is back, although their jobs could still end in time. So
the retry time follows from the time that the job may take.
"""

from tamarackmount.ids import Instant
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.forecast import Forecast
from tamarackmount.scheduling.objectives import set_deadlines
from tamarackmount.scheduling.runs import make_job

MIN_STORE_RETRY_S = 1.0
"""Minimum retry time, in seconds; the shortest outage of the store."""

MAX_STORE_RETRY_S = 3.0
"""Maximum retry time, in seconds: a caller should return soon after the store does."""

TRIES = 4
"""Number of tries, without unit, over which a caller's retries are spread within the
time that its job may take."""


def store_retry_s(job: AcceptedJob) -> float:
    """Return after which time to retry a job that the store could not take."""
    state = make_job(job, None, Instant(0.0))
    set_deadlines(state, job.terms, Forecast())
    return min(MAX_STORE_RETRY_S, max(MIN_STORE_RETRY_S, state.target_at / TRIES))
