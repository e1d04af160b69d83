"""Process that takes the place of one upstream instance.

Callers may set the work time and the size and coding of the answer by the
headers ``Work-Ms``, ``Answer-Bytes`` and ``Answer-Coding: chunked``, or by the
query arguments ``work_ms``, ``answer_bytes`` and ``answer_coding``. The control
port also has ``GET /executions``: how often each non-idempotent request ran.
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
    argument,
    cut,
    header,
    make_site,
    on_lost,
    read_body,
    segments,
)

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest answer that a caller may ask for, in bytes."""

NOT_HTTP = b"\x00\x01 this is no answer\r\n\r\n"
"""What mode ``garbage`` sends in place of an answer."""


class _Wishes(BaseModel):
    """What a request says about itself and its answer."""

    model_config = ConfigDict(frozen=True)

    request_id: RequestId = RequestId("")
    idempotent: bool = True
    work_ms: float | None = Field(default=None, ge=0, le=3_600_000)
    deadline_ms: int | None = Field(default=None, ge=0)
    answer_bytes: int = Field(default=0, ge=0, le=MAX_ANSWER_BYTES)
    answer_coding: str = ""


class CountingFactory(WrappingFactory):
    """Tells an upstream's model of each connection opened and closed."""

    noisy = False

    def __init__(self, site: Site, model: UpstreamModel) -> None:
        """Count the connections of ``site``."""
        super().__init__(site)  # type: ignore[no-untyped-call]
        self._model = model

    def registerProtocol(self, protocol: ProtocolWrapper) -> None:  # noqa: N802
        """Count a connection that opened."""
        super().registerProtocol(protocol)  # type: ignore[no-untyped-call]
        self._model.connection_opened()

    def close_idle(self, busy: Iterable[object]) -> None:
        """Close all connections but the busy ones."""
        for connection in set(self.protocols).difference(busy):
            connection.loseConnection()

    def unregisterProtocol(self, protocol: ProtocolWrapper) -> None:  # noqa: N802
        """Count a connection that closed."""
        super().unregisterProtocol(protocol)  # type: ignore[no-untyped-call]
        self._model.connection_closed()


@dataclass(slots=True)
class _Pending:
    """A request in execution, and whether its connection still stands."""

    request: WebRequest
    connection: object
    execution: Execution
    answer: bytes
    chunked: bool
    lost: bool = False

    def mark_lost(self) -> None:
        """Note that nobody waits for the answer any more."""
        self.lost = True


class UpstreamFront:
    """HTTP front of an upstream."""

    def __init__(self, model: UpstreamModel, timer: Timer) -> None:
        """Serve ``model``; :attr:`port` is set once it listens."""
        self.model = model
        self.port: ServicePort | None = None
        self.factory = CountingFactory(make_site(HandlerResource(self._answer)), model)
        self._timer = timer
        self._last: _Pending | None = None
        self._busy: set[object] = set()

    @property
    def breach_log(self) -> BreachLog:
        """The upstream's breaches."""
        return self.model.breach_log

    def state(self) -> dict[str, Any]:
        """Return the upstream's state at this moment."""
        return self.model.state()

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raises pydantic's ``ValidationError``."""
        self.model.set_faults_json(body)
        if self.port is None:
            return
        if self.model.faults.mode is UpstreamMode.REFUSE_CONNECTIONS:
            self.port.close()
            self.factory.close_idle(self._busy)
            return
        self.port.open()

    def control(self) -> ControlResource:
        """Return the resource of the control port."""
        return ControlResource(self, self._control)

    def _control(self, request: WebRequest) -> bytes | None:
        if (request.method, segments(request)) != (b"GET", ["executions"]):
            return None
        return answer_json(request, 200, self.model.strict_executions())

    def _answer(self, request: WebRequest) -> bytes | None:
        try:
            wishes = _read_wishes(request)
        except ValidationError as error:
            return answer_invalid(request, error)
        now = Instant(self._timer.seconds())
        execution = self.model.begin(now, _arrival(request, wishes))
        answer = _answer_text(self.model.upstream_id, request, wishes)
        chunked = wishes.answer_coding == "chunked"
        connection = request.channel.transport
        pending = _Pending(request, connection, execution, answer, chunked)
        on_lost(request, pending.mark_lost)
        self._busy.add(connection)
        self._timer.callLater(max(0.0, execution.ends_at - now), self._end, pending)
        return None

    def _end(self, pending: _Pending) -> None:
        self.model.end(pending.execution)
        self._busy.discard(pending.connection)
        if pending.lost:
            return
        if not pending.execution.in_time:
            cut(pending.request)
            return
        self._send(pending)

    def _send(self, pending: _Pending) -> None:
        request = pending.request
        mode = self.model.faults.mode
        shown = pending
        if mode is UpstreamMode.CROSS_ANSWERS and self._last is not None:
            shown = self._last
        self._last = pending
        request.setHeader(b"upstream", self.model.upstream_id.encode())
        request.setHeader(b"request-id", shown.execution.request_id.encode())
        request.setHeader(b"content-type", b"application/json")
        if mode is UpstreamMode.CUT_AFTER_REQUEST:
            cut(request)
            return
        if mode is UpstreamMode.GARBAGE:
            request.channel.write(NOT_HTTP)
            cut(request)
            return
        if mode is UpstreamMode.FAIL_500:
            request.setResponseCode(500)
        in_part = mode is UpstreamMode.CUT_IN_ANSWER
        _send_answer(request, shown.answer, pending.chunked, in_part)


def _send_answer(
    request: WebRequest, answer: bytes, chunked: bool, in_part: bool
) -> None:
    half = len(answer) // 2
    if not chunked:
        request.setHeader(b"content-length", str(len(answer)).encode())
    request.write(answer[:half])
    if in_part:
        cut(request)
        return
    request.write(answer[half:])
    request.finish()


def _read_wishes(request: WebRequest) -> _Wishes:
    values_by_name = {
        "request_id": header(request, b"request-id"),
        "idempotent": header(request, b"idempotent"),
        "deadline_ms": header(request, b"deadline-ms"),
        "work_ms": header(request, b"work-ms") or argument(request, b"work_ms"),
        "answer_bytes": header(request, b"answer-bytes")
        or argument(request, b"answer_bytes"),
        "answer_coding": header(request, b"answer-coding")
        or argument(request, b"answer_coding"),
    }
    given = {name: value for name, value in values_by_name.items() if value is not None}
    return _Wishes.model_validate(given)


def _arrival(request: WebRequest, wishes: _Wishes) -> Arrival:
    return Arrival(
        request_id=wishes.request_id,
        idempotent=wishes.idempotent,
        work_ms=wishes.work_ms,
        deadline_ms=wishes.deadline_ms,
        has_key=header(request, b"authorization") is not None,
    )


def _answer_text(
    upstream_id: UpstreamId, request: WebRequest, wishes: _Wishes
) -> bytes:
    headers_by_name = {
        name.decode("latin-1").lower(): values[0].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
    answer = {
        "upstream": upstream_id,
        "request_id": wishes.request_id,
        "method": request.method.decode("ascii", "replace"),
        "path": request.uri.decode("latin-1"),
        "body_sha256": hashlib.sha256(read_body(request)).hexdigest(),
        "headers": headers_by_name,
    }
    text = json.dumps(answer).encode()
    return text + b" " * (wishes.answer_bytes - len(text))


def main() -> None:
    """Run the stand-in."""
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
