"""Process that simulates one upstream instance over HTTP.

Callers may set the work time and the size and coding of the response with the
headers ``Work-Ms``, ``Answer-Bytes`` and ``Answer-Coding: chunked``, or with the
query arguments ``work_ms``, ``answer_bytes`` and ``answer_coding``. The control
port also serves ``GET /executions``, which returns how often each non-idempotent
request was executed.
"""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.server import Site

from tamarackmount.adapters.reactor import Timer
from tamarackmount.ids import Instant, RequestId, UpstreamId
from tamarackmount.standins.control import BreachLog, ControlResource
from tamarackmount.standins.process import ServicePort, make_parser, reactor, run
from tamarackmount.standins.upstream_model import (
    Arrival,
    Execution,
    UpstreamMode,
    UpstreamModel,
)
from tamarackmount.standins.web import (
    HandlerResource,
    WebRequest,
    answer_invalid,
    answer_json,
    close_connection,
    make_site,
    on_connection_lost,
    path_segments,
    query_argument,
    read_body,
    request_header,
)

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest response that a caller may request, in bytes."""

NOT_HTTP = b"\x00\x01 this is no answer\r\n\r\n"
"""Bytes that mode ``garbage`` sends in place of an HTTP response."""


class _RequestOptions(BaseModel):
    """Headers and query arguments that control the execution of a request."""

    model_config = ConfigDict(frozen=True)

    request_id: RequestId = RequestId("")
    idempotent: bool = True
    work_ms: float | None = Field(default=None, ge=0, le=3_600_000)
    deadline_ms: int | None = Field(default=None, ge=0)
    answer_bytes: int = Field(default=0, ge=0, le=MAX_ANSWER_BYTES)
    answer_coding: str = ""


class CountingFactory(WrappingFactory):
    """Reports each opened and closed connection to an upstream's model."""

    noisy = False

    def __init__(self, site: Site, model: UpstreamModel) -> None:
        """Report the connections of ``site`` to ``model``."""
        super().__init__(site)  # type: ignore[no-untyped-call]
        self._model = model

    def registerProtocol(self, protocol: ProtocolWrapper) -> None:  # noqa: N802
        """Report an opened connection."""
        super().registerProtocol(protocol)  # type: ignore[no-untyped-call]
        self._model.connection_opened()

    def close_idle(self, busy: Iterable[object]) -> None:
        """Close all connections except those in ``busy``."""
        for connection in set(self.protocols).difference(busy):
            connection.loseConnection()

    def unregisterProtocol(self, protocol: ProtocolWrapper) -> None:  # noqa: N802
        """Report a closed connection."""
        super().unregisterProtocol(protocol)  # type: ignore[no-untyped-call]
        self._model.connection_closed()


@dataclass(slots=True)
class _Pending:
    """A request in execution, and whether its connection was lost."""

    request: WebRequest
    connection: object
    execution: Execution
    answer: bytes
    chunked: bool
    lost: bool = False

    def mark_lost(self) -> None:
        """Record that the connection was lost."""
        self.lost = True


class UpstreamFront:
    """HTTP front end of a simulated upstream."""

    def __init__(self, model: UpstreamModel, timer: Timer) -> None:
        """Serve ``model``; the caller sets :attr:`port` once it listens."""
        self.model = model
        self.port: ServicePort | None = None
        self.factory = CountingFactory(make_site(HandlerResource(self._answer)), model)
        self._timer = timer
        self._previous: _Pending | None = None
        self._busy: set[object] = set()

    @property
    def breach_log(self) -> BreachLog:
        """Breaches that the upstream detected."""
        return self.model.breach_log

    def state(self) -> dict[str, Any]:
        """Return the current state of the upstream."""
        return self.model.state()

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raise pydantic's ``ValidationError`` if invalid.

        Mode ``refuse_connections`` also closes the service port and the idle
        connections; every other mode opens the port again.
        """
        self.model.set_faults_json(body)
        if self.port is None:
            return
        if self.model.faults.mode is UpstreamMode.REFUSE_CONNECTIONS:
            self.port.close()
            self.factory.close_idle(self._busy)
            return
        self.port.open()

    def control(self) -> ControlResource:
        """Return the resource that the control port serves."""
        return ControlResource(self, self._control)

    def _control(self, request: WebRequest) -> bytes | None:
        if (request.method, path_segments(request)) != (b"GET", ["executions"]):
            return None
        return answer_json(request, 200, self.model.non_idempotent_executions())

    def _answer(self, request: WebRequest) -> bytes | None:
        try:
            options = _read_options(request)
        except ValidationError as error:
            return answer_invalid(request, error)
        now = Instant(self._timer.seconds())
        execution = self.model.begin(now, _arrival(request, options))
        answer = _answer_body(self.model.upstream_id, request, options)
        chunked = options.answer_coding == "chunked"
        connection = request.channel.transport
        pending = _Pending(request, connection, execution, answer, chunked)
        on_connection_lost(request, pending.mark_lost)
        self._busy.add(connection)
        self._timer.callLater(max(0.0, execution.ends_at - now), self._end, pending)
        return None

    def _end(self, pending: _Pending) -> None:
        self.model.end(pending.execution)
        self._busy.discard(pending.connection)
        if pending.lost:
            return
        if not pending.execution.in_time:
            close_connection(pending.request)
            return
        self._send(pending)

    def _send(self, pending: _Pending) -> None:
        request = pending.request
        mode = self.model.faults.mode
        source = pending
        if mode is UpstreamMode.CROSS_ANSWERS and self._previous is not None:
            source = self._previous
        self._previous = pending
        request.setHeader(b"upstream", self.model.upstream_id.encode())
        request.setHeader(b"request-id", source.execution.request_id.encode())
        request.setHeader(b"content-type", b"application/json")
        if mode is UpstreamMode.CUT_AFTER_REQUEST:
            close_connection(request)
            return
        if mode is UpstreamMode.GARBAGE:
            request.channel.write(NOT_HTTP)
            close_connection(request)
            return
        if mode is UpstreamMode.FAIL_500:
            request.setResponseCode(500)
        truncated = mode is UpstreamMode.CUT_IN_ANSWER
        _send_answer(request, source.answer, pending.chunked, truncated)


def _send_answer(
    request: WebRequest, answer: bytes, chunked: bool, truncated: bool
) -> None:
    half = len(answer) // 2
    if not chunked:
        request.setHeader(b"content-length", str(len(answer)).encode())
    request.write(answer[:half])
    if truncated:
        close_connection(request)
        return
    request.write(answer[half:])
    request.finish()


def _read_options(request: WebRequest) -> _RequestOptions:
    values_by_name = {
        "request_id": request_header(request, b"request-id"),
        "idempotent": request_header(request, b"idempotent"),
        "deadline_ms": request_header(request, b"deadline-ms"),
        "work_ms": request_header(request, b"work-ms")
        or query_argument(request, b"work_ms"),
        "answer_bytes": request_header(request, b"answer-bytes")
        or query_argument(request, b"answer_bytes"),
        "answer_coding": request_header(request, b"answer-coding")
        or query_argument(request, b"answer_coding"),
    }
    given = {name: value for name, value in values_by_name.items() if value is not None}
    return _RequestOptions.model_validate(given)


def _arrival(request: WebRequest, options: _RequestOptions) -> Arrival:
    return Arrival(
        request_id=options.request_id,
        idempotent=options.idempotent,
        work_ms=options.work_ms,
        deadline_ms=options.deadline_ms,
        has_key=request_header(request, b"authorization") is not None,
    )


def _answer_body(
    upstream_id: UpstreamId, request: WebRequest, options: _RequestOptions
) -> bytes:
    headers_by_name = {
        name.decode("latin-1").lower(): values[0].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
    answer = {
        "upstream": upstream_id,
        "request_id": options.request_id,
        "method": request.method.decode("ascii", "replace"),
        "path": request.uri.decode("latin-1"),
        "body_sha256": hashlib.sha256(read_body(request)).hexdigest(),
        "headers": headers_by_name,
    }
    text = json.dumps(answer).encode()
    return text + b" " * (options.answer_bytes - len(text))


def main() -> None:
    """Run the stand-in until a signal ends the process."""
    parser = make_parser("Stand-in for one upstream instance.")
    parser.add_argument("--id", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--service-ms", type=float, default=5.0)
    arguments = parser.parse_args()
    model = UpstreamModel(
        UpstreamId(arguments.id),
        arguments.slots,
        arguments.connections,
        arguments.service_ms / 1_000,
    )
    front = UpstreamFront(model, reactor)
    site = make_site(front.control())
    host = arguments.host
    front.port = ServicePort(reactor, host, arguments.port, front.factory)
    run(front.port, ServicePort(reactor, host, arguments.control_port, site))


if __name__ == "__main__":
    main()
