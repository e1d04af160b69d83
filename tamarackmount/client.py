"""HTTP client for the API of entry VMs, used by the command and other callers.

Every method returns a ``Deferred`` of a ``Result``. Calls are never retried; the
error says whether the call may have had an effect.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import TypeVar
from urllib.parse import quote

from pydantic import BaseModel, JsonValue, ValidationError
from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from tamarackmount.client_views import (
    CallError,
    CallOutcome,
    ChangeView,
    ConfigView,
    DocumentView,
    DrainView,
    ErrorView,
    ExplanationView,
    HistoryView,
    JobListView,
    JobView,
    StatusView,
    UpstreamResponse,
)
from tamarackmount.http_calls import (
    Header,
    HttpFailure,
    HttpOpener,
    HttpRequest,
    HttpResponse,
)
from tamarackmount.ids import ConfigPath, DataCentreId, Offset, QueueName

CALL_TIMEOUT_S = 15.0
"""Timeout of calls that have no timeout of their own, in seconds."""

RESPONSE_GRACE_S = 2.0
"""Extra wait for the response after a request's own timeout, in seconds.

An entry VM reports that a request timed out only once that timeout has passed.
"""

SAFE_IN_PATH = "/?&=%:@!$'()*+,;~"
"""Characters of a caller's path and query that are not percent-encoded."""

_NOT_RUN_ERRORS = frozenset({"draining", "log_down", "no_owner", "not_durable"})
"""Error codes of job and operator calls that mean that nothing was changed."""

View = TypeVar("View", bound=BaseModel)
Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class QueueRequest:
    """A request to a queue; a field that is ``None`` takes the queue's default.

    The client generates ``request_id`` if it is empty.
    """

    queue: QueueName
    method: str = "GET"
    path: str = ""
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    request_id: str = ""
    idempotent: bool | None = None
    timeout_ms: int | None = None


class Client:
    """Client of one entry VM, or of the load balancer in front of all of them.

    ``make_token`` returns a new random string of ``A-Za-z0-9._-``. If ``home`` is set,
    it becomes a prefix of the generated request ids, which makes that data centre the
    home of non-idempotent requests.
    """

    def __init__(
        self,
        url: str,
        opener: HttpOpener,
        make_token: Callable[[], str],
        *,
        key: str = "",
        home: DataCentreId | None = None,
    ) -> None:
        """Use the API at ``url`` (``http://HOST:PORT``); don't connect yet."""
        self._url = url.rstrip("/")
        self._opener = opener
        self._make_token = make_token
        self._key = key
        self._home = home

    def make_request_id(self) -> str:
        """Return a new request id."""
        token = self._make_token()
        return f"{self._home}:{token}" if self._home else token

    def send_request(
        self, request: QueueRequest
    ) -> Deferred[Result[UpstreamResponse, CallError]]:
        """Send a request to an upstream of its queue."""
        request_id = request.request_id or self.make_request_id()
        url = f"/v1/queues/{quote(request.queue, safe='')}/requests"
        sent = self._send(
            request.method,
            url + quote(request.path, safe=SAFE_IN_PATH),
            headers=(*request.headers, *_request_headers(request, request_id)),
            body=request.body,
            timeout_s=_request_timeout_s(request),
        )
        return sent.addCallback(_to_upstream_response, request_id)

    def submit_job(
        self, spec: Mapping[str, JsonValue]
    ) -> Deferred[Result[JobView, CallError]]:
        """Submit a job; submitting the same specification again changes nothing."""
        body = json.dumps(spec).encode()
        return self._call(JobView, "POST", "/v1/jobs", body=body)

    def list_jobs(self) -> Deferred[Result[JobListView, CallError]]:
        """List the jobs of the team that the key belongs to."""
        return self._call(JobListView, "GET", "/v1/jobs")

    def view_job(self, job_id: str) -> Deferred[Result[JobView, CallError]]:
        """Read one job."""
        return self._call(JobView, "GET", _job_path(job_id))

    def explain_job(self, job_id: str) -> Deferred[Result[ExplanationView, CallError]]:
        """Read the reason for the state of each task of a job."""
        return self._call(ExplanationView, "GET", f"{_job_path(job_id)}/explain")

    def cancel_job(self, job_id: str) -> Deferred[Result[JobView, CallError]]:
        """Cancel a job; cancelling it again changes nothing."""
        return self._call(JobView, "DELETE", _job_path(job_id))

    def list_config(self) -> Deferred[Result[ConfigView, CallError]]:
        """Read every configuration document."""
        return self._call(ConfigView, "GET", "/v1/config")

    def read_config(
        self, path: ConfigPath
    ) -> Deferred[Result[DocumentView, CallError]]:
        """Read one configuration document."""
        return self._call(DocumentView, "GET", _config_path(path))

    def write_config(
        self, path: ConfigPath, text: str, version: Offset
    ) -> Deferred[Result[ChangeView, CallError]]:
        """Write a document if its version is still ``version``, 0 if it is new."""
        return self._call(
            ChangeView,
            "PUT",
            _config_path(path),
            headers=(Header("If-Match", str(version)),),
            body=text.encode(),
        )

    def delete_config(
        self, path: ConfigPath, version: Offset
    ) -> Deferred[Result[ChangeView, CallError]]:
        """Delete a document if its version is still ``version``."""
        return self._call(
            ChangeView,
            "DELETE",
            _config_path(path),
            headers=(Header("If-Match", str(version)),),
        )

    def read_history(
        self, path: ConfigPath
    ) -> Deferred[Result[HistoryView, CallError]]:
        """Read the versions of a document that the member has seen."""
        return self._call(HistoryView, "GET", f"/v1/history/{quote(path)}")

    def read_status(self) -> Deferred[Result[StatusView, CallError]]:
        """Read the state of the fleet as seen by the member."""
        return self._call(StatusView, "GET", "/v1/status")

    def drain(self) -> Deferred[Result[DrainView, CallError]]:
        """Stop the member gracefully."""
        return self._call(DrainView, "POST", "/v1/drain")

    def _call(
        self,
        view: type[View],
        method: str,
        path: str,
        *,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
    ) -> Deferred[Result[View, CallError]]:
        sent = self._send(method, path, headers=headers, body=body)
        return sent.addCallback(_to_view, view, method)

    def _send(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[Header, ...],
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Deferred[Result[HttpResponse, HttpFailure]]:
        if self._key:
            headers = (*headers, Header("Authorization", f"Bearer {self._key}"))
        url = self._url + path
        return self._opener.send(HttpRequest(method, url, headers, body, timeout_s))


def _request_headers(request: QueueRequest, request_id: str) -> tuple[Header, ...]:
    headers = [Header("Request-Id", request_id)]
    if request.idempotent is not None:
        headers.append(Header("Idempotent", str(request.idempotent).lower()))
    if request.timeout_ms is not None:
        headers.append(Header("Timeout-Ms", str(request.timeout_ms)))
    return tuple(headers)


def _request_timeout_s(request: QueueRequest) -> float:
    """Return the time to wait; a queue's default timeout is at most 600 seconds."""
    timeout_ms = 600_000 if request.timeout_ms is None else request.timeout_ms
    return timeout_ms / 1_000 + RESPONSE_GRACE_S


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe=':')}"


def _config_path(path: ConfigPath) -> str:
    return f"/v1/config/{quote(path)}"


def _to_upstream_response(
    result: Result[HttpResponse, HttpFailure], request_id: str
) -> Result[UpstreamResponse, CallError]:
    if isinstance(result, Failure):
        return Failure(_connection_error(result.failure(), request_id))
    response = result.unwrap()
    if response.header("Outcome") != "answered":
        return Failure(
            _response_error(response, _outcome_of_error(response), request_id)
        )
    return Success(
        UpstreamResponse(
            response.status,
            response.headers,
            response.body,
            request_id,
            response.header("Served-By"),
        )
    )


def _outcome_of_error(response: HttpResponse) -> CallOutcome:
    """Return not-run if the ``Outcome`` header says so, otherwise unknown."""
    if response.header("Outcome") == CallOutcome.NOT_RUN.value:
        return CallOutcome.NOT_RUN
    return CallOutcome.UNKNOWN


def _to_view(
    result: Result[HttpResponse, HttpFailure], view: type[View], method: str
) -> Result[View, CallError]:
    if isinstance(result, Failure):
        error = _connection_error(result.failure(), "")
        return Failure(error)
    response = result.unwrap()
    if response.status >= 300:
        return Failure(_call_error(response, method))
    try:
        return Success(view.model_validate_json(response.body or b"{}"))
    except ValidationError as error:
        return Failure(_invalid_response_error(response, error))


def _call_error(response: HttpResponse, method: str) -> CallError:
    """Return the error of a job or operator call; infer the outcome if not given."""
    if method == "GET" or response.status < 500:
        return _response_error(response, CallOutcome.NOT_RUN, "")
    error = _response_error(response, CallOutcome.UNKNOWN, "")
    if error.error in _NOT_RUN_ERRORS:
        return replace(error, outcome=CallOutcome.NOT_RUN)
    return error


def _connection_error(failure: HttpFailure, request_id: str) -> CallError:
    if failure.sent:
        return CallError(
            0, "connection_lost", failure.message, CallOutcome.UNKNOWN, request_id
        )
    return CallError(0, "unreachable", failure.message, CallOutcome.NOT_RUN, request_id)


def _response_error(
    response: HttpResponse, outcome: CallOutcome, request_id: str
) -> CallError:
    """Return the error in a response; ``outcome`` applies if the body gives none."""
    try:
        view = ErrorView.model_validate_json(response.body)
    except ValidationError:
        message = f"status {response.status} without an error object"
        return CallError(response.status, "bad_answer", message, outcome, request_id)
    return CallError(
        response.status,
        view.error,
        view.message,
        view.outcome or outcome,
        request_id,
        view.retry_after_ms,
        view.version,
        tuple(view.problems),
    )


def _invalid_response_error(
    response: HttpResponse, error: ValidationError
) -> CallError:
    """Return the error of a call that succeeded, but whose response is invalid."""
    details = error.errors(include_url=False)[0]
    location = ".".join(str(part) for part in details["loc"])
    message = f"invalid response: {location}: {details['msg']}"
    return CallError(response.status, "bad_answer", message, CallOutcome.UNKNOWN)
