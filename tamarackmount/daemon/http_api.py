"""The HTTP interface: routing, and callers' requests to queues."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from tamarackmount.daemon.http_request import (
    RequestOptions,
    end_to_end_headers,
    key_hash,
    read_options,
)
from tamarackmount.daemon.http_responses import (
    FinalResponse,
    Refusal,
    error_response,
    refusal_response,
    write_error,
    write_response,
)
from tamarackmount.daemon.request_calls import RequestContent
from tamarackmount.ids import KeyHash, QueueName, RequestId, WorkspaceId
from tamarackmount.internal.bounded_request import (
    MAX_BODY_BYTES,
    BoundedRequest,
    body_of,
)
from tamarackmount.kernel.messages import Outcome, RefusalReason

_TOO_LARGE = Refusal(
    413, "too_large", f"the request body is larger than {MAX_BODY_BYTES} bytes"
)
_REQUESTS = "requests"
_EXPECTED_PATH = "expected a path under /v1/queues/QUEUE/requests"


@dataclass(frozen=True, slots=True)
class Admission:
    """Result of admission control: the team, or the reason for a refusal.

    ``timeout_ms`` is the timeout of the queue.
    """

    team_id: WorkspaceId
    refusal: RefusalReason | None
    timeout_ms: int


class QueueAccess(Protocol):
    """Operations of the daemon that requests to queues need."""

    def admit(self, queue: QueueName, key: KeyHash | None) -> Admission:
        """Check whether a request with this key is admitted to the queue."""

    def submit_request(
        self, content: RequestContent, timeout_ms: int, sink: "HttpSink"
    ) -> int:
        """Submit a request whose response goes to ``sink``; return its call id."""

    def caller_disconnected(self, call_id: int) -> None:
        """Cancel a request whose caller has disconnected."""


class HttpSink:
    """Writes the final response to the caller's connection."""

    def __init__(self, request: BoundedRequest, request_id: RequestId) -> None:
        """Respond to ``request``."""
        self._request = request
        self._request_id = request_id
        self._is_closed = False

    def caller_disconnected(self) -> None:
        """Discard the response from now on."""
        self._is_closed = True

    def finish(self, response: FinalResponse) -> None:
        """Write the response, unless the caller has disconnected."""
        if self._is_closed:
            return
        self._is_closed = True
        write_response(self._request, self._request_id, response)

    @property
    def is_closed(self) -> bool:
        """Whether the response was written or the caller has disconnected."""
        return self._is_closed


Route = Callable[[BoundedRequest, list[str]], None]
"""Handler of a request, called with the path segments after the first two."""


class ApiResource(Resource):
    """The root resource; selects a route by the first path segments."""

    isLeaf = True  # noqa: N815  (twisted's name)

    def __init__(self, queues: QueueAccess, routes: dict[str, Route]) -> None:
        """Serve the paths of ``routes`` besides requests to queues."""
        Resource.__init__(self)
        self._queues = queues
        self._routes = {**routes, "v1/queues": self._queue_request}

    def render(self, request: BoundedRequest) -> int:
        """Dispatch a request to its route, which writes the response later."""
        path = request.path.decode("utf-8", "replace")
        parts = path.strip("/").split("/")
        route = self._routes.get("/".join(parts[:2])) or self._routes.get(parts[0])
        if route is None:
            write_error(request, 404, "unknown_path", f"path not found: {path}")
            return NOT_DONE_YET
        route(request, parts[2:])
        return NOT_DONE_YET

    def _queue_request(self, request: BoundedRequest, parts: list[str]) -> None:
        if len(parts) < 2 or parts[1] != _REQUESTS:
            write_error(
                request,
                404,
                "unknown_path",
                "expected a path under /v1/queues/QUEUE/requests",
            )
            return
        options = read_options(request)
        if isinstance(options, Failure):
            refusal = Refusal(400, "bad_request", options.failure())
            _refuse(request, RequestId(""), error_response(refusal, Outcome.NOT_RUN))
            return
        self._admit(request, QueueName(parts[0]), options.unwrap())

    def _admit(
        self, request: BoundedRequest, queue: QueueName, options: RequestOptions
    ) -> None:
        if request.too_large:
            response = error_response(_TOO_LARGE, Outcome.NOT_RUN)
            _refuse(request, options.request_id, response)
            return
        admission = self._queues.admit(queue, key_hash(request))
        if admission.refusal is not None:
            response = refusal_response(admission.refusal, Outcome.NOT_RUN, 0)
            _refuse(request, options.request_id, response)
            return
        self._submit(request, queue, options, admission)

    def _submit(
        self,
        request: BoundedRequest,
        queue: QueueName,
        options: RequestOptions,
        admission: Admission,
    ) -> None:
        content = RequestContent(
            request_id=options.request_id,
            team_id=admission.team_id,
            queue=queue,
            idempotent=options.idempotent,
            method=request.method.decode("ascii", "replace"),
            path=upstream_path(request),
            headers=end_to_end_headers(request),
            body=body_of(request),
            traceparent=options.traceparent,
        )
        sink = HttpSink(request, options.request_id)
        timeout_ms = options.timeout_ms or admission.timeout_ms
        call_id = self._queues.submit_request(content, timeout_ms, sink)
        if not sink.is_closed:
            request.notifyFinish().addErrback(self._caller_disconnected, call_id, sink)

    def _caller_disconnected(
        self, _failure: object, call_id: int, sink: HttpSink
    ) -> None:
        sink.caller_disconnected()
        self._queues.caller_disconnected(call_id)


def upstream_path(request: BoundedRequest) -> str:
    """Return the path and query of the request to the upstream."""
    uri = request.uri.decode("ascii", "replace")
    path, separator, query = uri.partition("?")
    remainder = path.split("/", 5)[5:]  # after "/v1/queues/QUEUE/requests/"
    return "/" + "".join(remainder) + separator + query


def _refuse(
    request: BoundedRequest, request_id: RequestId, response: FinalResponse
) -> None:
    write_response(request, request_id, response)
