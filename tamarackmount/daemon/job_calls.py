"""The calls of the HTTP interface about jobs."""

from collections.abc import Callable, Collection
from typing import Protocol

from returns.result import Failure

from tamarackmount.daemon.http_request import key_hash
from tamarackmount.daemon.http_responses import (
    REFUSALS,
    set_retry_after,
    write_error,
    write_json_text,
)
from tamarackmount.ids import DataCentreId, JobId, KeyHash, WorkspaceId
from tamarackmount.internal.bounded_request import BoundedRequest, body_of
from tamarackmount.job_spec import describe_errors, parse_job_spec
from tamarackmount.kernel.messages import (
    JobAction,
    JobAnswer,
    JobCall,
    RefusalReason,
)

EXPLAIN = "explain"

_ACTIONS = {
    (b"POST", 0): JobAction.SUBMIT,
    (b"GET", 0): JobAction.LIST,
    (b"GET", 1): JobAction.VIEW,
    (b"DELETE", 1): JobAction.CANCEL,
    (b"GET", 2): JobAction.EXPLAIN,
}
"""Actions by method and number of path segments after ``/v1/jobs``."""


class JobAccess(Protocol):
    """Operations of the daemon that calls about jobs need."""

    def team_of_key(self, key: KeyHash | None) -> WorkspaceId | RefusalReason:
        """Return the team of a key, or the reason to refuse the call."""

    def data_centres(self) -> Collection[DataCentreId]:
        """Return every data centre of the fleet."""

    def call_jobs(self, call: JobCall) -> None:
        """Start a call; the response carries the same call id."""


class JobCalls:
    """Serves ``/v1/jobs``."""

    def __init__(self, access: JobAccess, next_call_id: Callable[[], int]) -> None:
        """Create a handler that takes call ids from ``next_call_id``."""
        self._access = access
        self._next_call_id = next_call_id
        self._requests_by_call: dict[int, BoundedRequest] = {}

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._requests_by_call)

    def serve(self, request: BoundedRequest, parts: list[str]) -> None:
        """Check a call and start it, or respond with an error."""
        action = _ACTIONS.get((request.method, len(parts)))
        if action is None or (action is JobAction.EXPLAIN and parts[1] != EXPLAIN):
            write_error(
                request, 404, "unknown_path", "no job call has this method and path"
            )
            return
        team = self._access.team_of_key(key_hash(request))
        if isinstance(team, RefusalReason):
            refusal = REFUSALS[team]
            write_error(request, refusal.status, refusal.error, refusal.message)
            return
        if action is JobAction.SUBMIT:
            self._submit(request, team)
            return
        job_id = JobId(parts[0]) if parts else JobId("")
        self._start(request, action, team, job_id, "")

    def finish(self, response: JobAnswer) -> None:
        """Write the response to a call, unless its caller has disconnected."""
        request = self._requests_by_call.pop(response.call_id, None)
        if request is None:
            return
        set_retry_after(request, response.retry_after_ms)
        write_json_text(request, response.status, response.body)

    def _submit(self, request: BoundedRequest, team: WorkspaceId) -> None:
        if request.too_large:
            write_error(request, 413, "too_large", "the job specification is too large")
            return
        text = body_of(request).decode("utf-8", "replace")
        spec = parse_job_spec(text)
        if isinstance(spec, Failure):
            write_error(request, 400, "bad_request", describe_errors(spec.failure()))
            return
        data_centre = spec.unwrap().data_centre
        if data_centre and data_centre not in self._access.data_centres():
            message = f"data_centre: unknown data centre {data_centre}"
            write_error(request, 400, "bad_request", message)
            return
        # A job id starts with the data centre; the owner there adds the rest.
        job_id = JobId(f"{data_centre}:" if data_centre else "")
        self._start(request, JobAction.SUBMIT, team, job_id, text)

    def _start(
        self,
        request: BoundedRequest,
        action: JobAction,
        team: WorkspaceId,
        job_id: JobId,
        spec: str,
    ) -> None:
        call_id = self._next_call_id()
        self._requests_by_call[call_id] = request
        request.notifyFinish().addErrback(self._caller_disconnected, call_id)
        self._access.call_jobs(JobCall(call_id, action, team, job_id, spec))

    def _caller_disconnected(self, _failure: object, call_id: int) -> None:
        self._requests_by_call.pop(call_id, None)
