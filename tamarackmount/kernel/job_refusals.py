"""Answers to calls about jobs that reached no owner."""

from tamarackmount.ids import DataCentreId
from tamarackmount.kernel.job_errors import job_error
from tamarackmount.kernel.job_relays import Relay
from tamarackmount.kernel.messages import JobAnswer, JobCall, Outcome

RETRY_MS = 500
"""Time to come back after a refusal for want of an owner, in milliseconds."""


def no_owner(call: JobCall) -> JobAnswer:
    """Refuse a call while there is no owner to carry it out."""
    message = "the data centre has no owner ready yet; nothing was changed"
    return job_error(call.call_id, 503, "no_owner", message, Outcome.NOT_RUN, RETRY_MS)


def unreachable(call: JobCall, data_centre: DataCentreId) -> JobAnswer:
    """Refuse a call for a data centre that is out of reach."""
    message = f"data centre {data_centre} can't be reached; nothing was changed"
    return job_error(
        call.call_id, 503, "home_unreachable", message, Outcome.NOT_RUN, RETRY_MS
    )


def no_answer(relay: Relay) -> JobAnswer:
    """Answer a call to which the owner gave no answer in time."""
    outcome = Outcome.UNKNOWN if relay.changes else Outcome.NOT_RUN
    message = "the owner did not answer in time; ask for the job to learn its state"
    return job_error(relay.call_id, 504, "deadline", message, outcome, RETRY_MS)
