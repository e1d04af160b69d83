"""The HTTP interface: routes, and callers' requests to queues."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from tamarackmount.daemon.http_answers import (
    FinalAnswer,
    Refusal,
    error_answer,
    refusal_answer,
    write_answer,
    write_error,
)
from tamarackmount.daemon.http_request import (
    RequestOptions,
    end_to_end_headers,
    key_hash,
    read_options,
)
from tamarackmount.daemon.request_calls import RequestContent
from tamarackmount.ids import KeyHash, QueueName, RequestId, TeamId
from tamarackmount.internal.bounded_request import (
    MAX_BODY_BYTES,
    BoundedRequest,
    body_of,
)
from tamarackmount.kernel.messages import Outcome, RefusalReason

_TOO_LARGE = Refusal(413, "too_large", f"the body is over {MAX_BODY_BYTES} bytes")
_REQUESTS = "requests"
_EXPECTED_PATH = "/v1/queues/QUEUE/requests expected"


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request to a queue may come in, and for which team."""

    team_id: TeamId
    refusal: RefusalReason | None
    timeout_ms: int


class QueueAccess(Protocol):
    """What the front asks the daemon about requests to queues."""

    def admit(self, queue: QueueName, key: KeyHash | None) -> Admission:
        """Decide by queue and key whether a request may come in."""

    def open_request(
        self, content: RequestContent, timeout_ms: int, sink: "HttpSink"
    ) -> int:
        """Take a request in; its answer goes to the sink. Returns the call id."""

    def caller_left(self, call_id: int) -> None:
        """Note that the caller of a request is gone."""


class HttpSink:
    """Writes the final answer of a request to the caller's connection."""

    def __init__(self, request: BoundedRequest, request_id: RequestId) -> None:
        """Answer ``request``."""
        self._request = request
        self._request_id = request_id
        self._is_over = False

    def caller_left(self) -> None:
        """Note that nobody reads the answer."""
        self._is_over = True

    def finish(self, answer: FinalAnswer) -> None:
        """Write the answer, unless the caller is gone."""
        if self._is_over:
            return
        self._is_over = True
        write_answer(self._request, self._request_id, answer)

    @property
    def is_over(self) -> bool:
        """Whether the answer was written or nobody waits for it."""
        return self._is_over


Route = Callable[[BoundedRequest, list[str]], None]
"""Serves a request, given the parts of its path after the route's own."""


class Front(Resource):
    """Every path of the interface, by the first parts of the path."""

    isLeaf = True  # noqa: N815  (twisted's name)

    def __init__(self, queues: QueueAccess, routes: dict[str, Route]) -> None:
        """Serve queues here and other paths by ``routes``."""
        Resource.__init__(self)
        self._queues = queues
        self._routes = {**routes, "v1/queues": self._queue_request}

    def render(self, request: BoundedRequest) -> int:
        """Serve one request; the answer is written later."""
        path = request.path.decode("utf-8", "replace")
        parts = path.strip("/").split("/")
        route = self._routes.get("/".join(parts[:2])) or self._routes.get(parts[0])
        if route is None:
            write_error(request, 404, "unknown_path", f"no such path: {path}")
            return NOT_DONE_YET
        route(request, parts[2:])
        return NOT_DONE_YET

    def _queue_request(self, request: BoundedRequest, parts: list[str]) -> None:
        if len(parts) < 2 or parts[1] != _REQUESTS:
            write_error(
                request, 404, "unknown_path", "/v1/queues/QUEUE/requests expected"
            )
            return
        options = read_options(request)
        if isinstance(options, Failure):
            refusal = Refusal(400, "bad_request", options.failure())
            _refuse(request, RequestId(""), error_answer(refusal, Outcome.NOT_RUN))
            return
        self._admit(request, QueueName(parts[0]), options.unwrap())

    def _admit(
        self, request: BoundedRequest, queue: QueueName, options: RequestOptions
    ) -> None:
        if request.too_large:
            answer = error_answer(_TOO_LARGE, Outcome.NOT_RUN)
            _refuse(request, options.request_id, answer)
            return
        admission = self._queues.admit(queue, key_hash(request))
        if admission.refusal is not None:
            answer = refusal_answer(admission.refusal, Outcome.NOT_RUN, 0)
            _refuse(request, options.request_id, answer)
            return
        self._open(request, queue, options, admission)

    def _open(
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
        call_id = self._queues.open_request(content, timeout_ms, sink)
        if not sink.is_over:
            request.notifyFinish().addErrback(self._caller_left, call_id, sink)

    def _caller_left(self, _failure: object, call_id: int, sink: HttpSink) -> None:
        sink.caller_left()
        self._queues.caller_left(call_id)


def upstream_path(request: BoundedRequest) -> str:
    """Return the path and query that an upstream sees."""
    uri = request.uri.decode("ascii", "replace")
    path, mark, query = uri.partition("?")
    rest = path.split("/", 5)[5:]  # "", "v1", "queues", QUEUE, "requests", rest
    return "/" + "".join(rest) + mark + query


def _refuse(
    request: BoundedRequest, request_id: RequestId, answer: FinalAnswer
) -> None:
    write_answer(request, request_id, answer)
