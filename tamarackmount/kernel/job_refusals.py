"""Builds answers to job calls that the owner did not answer."""

from tamarackmount.ids import DataCentreId
from tamarackmount.kernel.job_errors import job_error
from tamarackmount.kernel.job_relays import Relay
from tamarackmount.kernel.messages import JobAnswer, JobCall, Outcome

RETRY_AFTER_MS = 500
"""Retry-after time of every answer that this module builds, in milliseconds.

It is for calls without an owner, calls without a reachable member of the data centre,
and calls that the owner did not answer in time.
"""


def no_owner(call: JobCall) -> JobAnswer:
    """Refuse a call while no owner is ready to carry it out."""
    message = "no owner of the data centre is ready; nothing was changed"
    return job_error(
        call.call_id, 503, "no_owner", message, Outcome.NOT_RUN, RETRY_AFTER_MS
    )


def unreachable(call: JobCall, data_centre: DataCentreId) -> JobAnswer:
    """Refuse a call for a data centre without a reachable member."""
    message = (
        f"no member of data centre {data_centre} is reachable; nothing was changed"
    )
    return job_error(
        call.call_id, 503, "home_unreachable", message, Outcome.NOT_RUN, RETRY_AFTER_MS
    )


def no_answer(relay: Relay) -> JobAnswer:
    """Answer a call that the owner did not answer before the deadline."""
    outcome = Outcome.UNKNOWN if relay.is_mutating else Outcome.NOT_RUN
    message = "the owner did not answer before the deadline; view the job for its state"
    return job_error(relay.call_id, 504, "deadline", message, outcome, RETRY_AFTER_MS)
