"""Decode the registrations of workers, and send orders and polls to workers."""

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address
from typing import Any, TypeVar

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import DataCentreId, Epoch, Instant, JobId, RackId, WorkerId
from tamarackmount.platform.decoding import DECODING_ERRORS
from tamarackmount.platform.http import (
    Address,
    CallError,
    CallErrorKind,
    CallResult,
    HttpClient,
    PeerQuestion,
    Reply,
)
from tamarackmount.platform.incarnations import POLL_TARGET, incarnation_question
from tamarackmount.platform.resource_amounts import decode_resources
from tamarackmount.platform.store import JSON_HEADER
from tamarackmount.resources import Resources
from tamarackmount.scheduling.domain.model import (
    ServiceName,
    TaskKey,
    WorkerIncarnation,
)
from tamarackmount.scheduling.domain.worker_reports import (
    EndedRun,
    OrderReply,
    OrderResult,
    PollFailure,
    RunEnd,
    RunningRun,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)

T = TypeVar("T")

_READY = "ready"
_DRAINING = "draining"


def decode_worker(worker_id: str, text: bytes) -> Result[WorkerEntry, str]:
    """Return a worker's registration, or an error message if it is not valid.

    Other writers may have left anything in its place, so no error gets through.
    """
    try:
        return Success(_decode_entry(_worker_id(worker_id), orjson.loads(text)))
    except Exception as error:  # noqa: BLE001  (the entry may be of any shape)
        return Failure(f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS])


def _decode_entry(worker_id: WorkerId, raw: Mapping[str, Any]) -> WorkerEntry:
    state = _field(raw, "state", str)
    if state not in (_READY, _DRAINING):
        raise ValueError(f"state: expected 'ready' or 'draining', got {state!r}")
    labels = _field(raw, "labels", list)
    if not all(isinstance(label, str) for label in labels):
        raise TypeError("labels: expected texts only")
    for name, expected in _UNUSED_FIELD_TYPES.items():
        if name in raw:
            _field(raw, name, expected)
    return WorkerEntry(
        incarnation=WorkerIncarnation(worker_id, _count(_field(raw, "born", int))),
        service=ServiceName(_field(raw, "service", str)),
        address=_address(_field(raw, "address", str)),
        data_centre=DataCentreId(_field(raw, "zone", str)),
        labels=frozenset(labels),
        # The last label of a worker is the name of its rack.
        rack=RackId(labels[-1]) if labels else RackId(""),
        capacity=_capacity(_field(raw, "capacity", dict)),
        is_draining=state == _DRAINING,
        drain_left_ms=min(MAX_COUNT, max(0, int(raw.get("drainRemainingMs", 0)))),
        cold_remaining_ms=min(MAX_COUNT, max(0, int(raw.get("coldRemainingMs") or 0))),
    )


_UNUSED_FIELD_TYPES: Mapping[str, type] = {
    "version": str,
    "slots": int,
    "sequence": int,
}
"""Types of fields that are not used; another type shows that no worker wrote it."""


def _worker_id(text: str) -> WorkerId:
    """Return a worker's id, which goes into headers and into keys of the store."""
    if not text or len(text) > MAX_ID_CHARS:
        raise ValueError(
            f"id: expected 1 to {MAX_ID_CHARS} characters, got {len(text)}"
        )
    if not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError("id: expected printable ASCII characters without spaces")
    return WorkerId(text)


def _field(raw: Mapping[str, Any], name: str, expected: type[T]) -> T:
    """Return a field of a registration; raise ``TypeError`` if its type is wrong.

    The error has no value, which may be of any size or depth.
    """
    value = raw[name]
    if not isinstance(value, expected) or isinstance(value, bool):
        found = type(value).__name__
        raise TypeError(f"{name}: expected {expected.__name__}, got {found}")
    return value


def _address(text: str) -> str:
    """Return an address as ``IP:PORT``; raise ``ValueError`` for any other text."""
    address = Address(text)
    host, port = IPv4Address(address.host), address.port
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"address: expected a port from 1 to {MAX_PORT}, got {port}")
    return f"{host}:{port}"


def _capacity(raw: Mapping[str, Any]) -> Resources:
    capacity = decode_resources(raw)
    for amount in (capacity.millicores, capacity.memory_mib, capacity.accelerators):
        _count(amount)
    return capacity


MAX_COUNT = 2**53
"""Largest number accepted from a worker; all larger ones are errors, and orders and
records that were computed from them could not be encoded."""

MAX_ID_CHARS = 200
"""Largest length of a worker's id; the key of its record has 255 bytes at most."""

MAX_PORT = 65_535

MAX_ERROR_CHARS = 200
"""Maximum length of the reason why a registration is not valid."""

MAX_LISTED_ENDS = 500
"""Largest number of ends in one report; a worker lists the others once these are
acknowledged."""

MAX_LOGGED_CHARS = 80
"""Maximum length of a worker's text in a log line."""

_log = logging.getLogger(__name__)


class _ConflictReason(Enum):
    """Reasons why a worker rejects an order with status 409."""

    FENCED = "fence"
    STALE_RUN = "old"
    LATE = "late"
    NO_CAPACITY = "room"
    BAD_TICKET = "ticket"


_RESULT_BY_CONFLICT_REASON = {
    _ConflictReason.FENCED: OrderResult.FENCED,
    _ConflictReason.STALE_RUN: OrderResult.STALE_RUN,
    _ConflictReason.LATE: OrderResult.LATE,
    _ConflictReason.NO_CAPACITY: OrderResult.NO_CAPACITY,
    _ConflictReason.BAD_TICKET: OrderResult.BAD_TICKET,
}

_RESULT_BY_STATUS = {
    200: OrderResult.DONE,
    400: OrderResult.MALFORMED,
    421: OrderResult.OTHER_INCARNATION,
    429: OrderResult.UNHEALTHY,
    503: OrderResult.UNHEALTHY,
}


_RESULT_BY_CALL_ERROR = {
    CallErrorKind.NOT_SENT: OrderResult.NOT_SENT,
    CallErrorKind.UNIDENTIFIED: OrderResult.UNIDENTIFIED,
    CallErrorKind.NO_REPLY: OrderResult.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A long poll for a worker's report, which also renews the worker's lease.

    ``lease_end_clock_ms`` is a time of the worker's clock; ``None`` does not renew the
    lease. The worker forgets the ended runs up to ``ack_cursor``, and delays its reply
    until a run ends, but for no longer than ``wait_ms``.
    """

    fencing_token: Epoch
    ack_cursor: int
    lease_end_clock_ms: int | None
    wait_ms: int


class WorkerCalls:
    """Client of the workers; it retries nothing."""

    def __init__(self, http: HttpClient) -> None:
        """Send requests through ``http``."""
        self._http = http

    async def start(
        self,
        address: str,
        order: StartOrder,
        fencing_token: Epoch,
        deadline: Instant,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderReply:
        """Order a run to start, if ``may_send`` still says so once connected.

        Only the incarnation that the order names gets it.
        """
        body: dict[str, Any] = {
            "task": _encode_task(order.task),
            "run": order.run_number,
            "spec": order.text,
            "untilMs": order.lease_end_clock_ms,
            "fencingToken": fencing_token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        question = incarnation_question(order.incarnation, fencing_token)
        return await self._send_order(
            address, "start", order.incarnation, body, deadline, may_send, question
        )

    async def stop(
        self,
        address: str,
        incarnation: WorkerIncarnation,
        task: TaskKey,
        run_number: int,
        fencing_token: Epoch,
        deadline: Instant,
    ) -> OrderResult:
        """Order a run to stop; if it has not started, it never will."""
        body = {
            "task": _encode_task(task),
            "run": run_number,
            "fencingToken": fencing_token,
        }
        reply = await self._send_order(address, "stop", incarnation, body, deadline)
        return reply.result

    async def poll(
        self,
        address: str,
        incarnation: WorkerIncarnation,
        request: PollRequest,
        deadline: Instant,
        may_send: Callable[[], bool] = lambda: True,
    ) -> WorkerReport | PollFailure:
        """Return the worker's running and ended runs.

        Renew its lease if the request has a lease end. Nothing is sent unless
        ``may_send`` still says so once connected. A request that renews or acknowledges
        something is only sent to the incarnation that it names.
        """
        body: dict[str, Any] = {
            "fencingToken": request.fencing_token,
            "ackCursor": request.ack_cursor,
        }
        if request.lease_end_clock_ms is not None:
            body["untilMs"] = request.lease_end_clock_ms
        if request.wait_ms:
            body["waitMs"] = request.wait_ms
        result = await self._http.call(
            Address(address),
            "POST",
            POLL_TARGET,
            deadline,
            orjson.dumps(body),
            _request_headers(incarnation),
            may_send=may_send,
            question=incarnation_question(incarnation, request.fencing_token),
        )
        return _decode_report(result)

    def abort_calls(self, address: str) -> None:
        """Abort the calls to a worker's address that are in progress."""
        self._http.abort_calls(Address(address))

    async def _send_order(
        self,
        address: str,
        verb: str,
        incarnation: WorkerIncarnation,
        body: Mapping[str, Any],
        deadline: Instant,
        may_send: Callable[[], bool] = lambda: True,
        question: PeerQuestion | None = None,
    ) -> OrderReply:
        result = await self._http.call(
            Address(address),
            "POST",
            f"/api/run-{verb}",
            deadline,
            orjson.dumps(body),
            _request_headers(incarnation),
            may_send=may_send,
            question=question,
        )
        return OrderReply(_decode_order_result(result), _decode_reply_clock(result))


def _request_headers(incarnation: WorkerIncarnation) -> str:
    return f"{JSON_HEADER}Expect-Instance: {incarnation.worker_id}\r\n"


def _encode_task(task: TaskKey) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def _decode_task(name: str) -> TaskKey:
    job_id, occurrence, step, index = name.split(".")
    return TaskKey(JobId(job_id), _count(occurrence), _count(step), _count(index))


def _count(value: Any) -> int:
    """Return a number from 0 to ``MAX_COUNT``; raise ``ValueError`` otherwise."""
    number = int(value)
    if not 0 <= number <= MAX_COUNT:
        raise ValueError(f"expected a number from 0 to {MAX_COUNT}, got {number}")
    return number


def _clock_ms(value: Any) -> int:
    """Return a clock reading, which may be negative; raise as :func:`_count`."""
    reading = int(value)
    return reading if reading < 0 and -reading <= MAX_COUNT else _count(reading)


def _run_end(value: Any, task: TaskKey) -> RunEnd:
    """Return how a run ended; an end of an unknown kind counts as a failure.

    The run is over in any case. Without its end, the report could not be used, and the
    worker would count as silent for a value that a later version adds.
    """
    try:
        return RunEnd(value)
    except ValueError:
        extra = {"job": task.job_id, "value": str(value)[:MAX_LOGGED_CHARS]}
        _log.warning("run end of unknown kind; taken as failed", extra=extra)
        return RunEnd.FAILED


def _decode_order_result(result: CallResult) -> OrderResult:
    if isinstance(result, CallError):
        return _RESULT_BY_CALL_ERROR[result.kind]
    if result.status == 409:
        try:
            reason = _ConflictReason(orjson.loads(result.body)["reason"])
        except DECODING_ERRORS:
            return OrderResult.UNKNOWN
        return _RESULT_BY_CONFLICT_REASON[reason]
    return _RESULT_BY_STATUS.get(result.status, OrderResult.UNKNOWN)


def _decode_reply_clock(result: CallResult) -> int | None:
    if not isinstance(result, Reply) or not result.body:
        return None
    try:
        return _clock_ms(orjson.loads(result.body)["clockMs"])
    except DECODING_ERRORS:
        return None


def _decode_report(result: CallResult) -> WorkerReport | PollFailure:
    if not isinstance(result, Reply):
        return PollFailure.NO_ANSWER
    if result.status == 421:
        return PollFailure.OTHER_INCARNATION
    if result.status == 409:
        return PollFailure.FENCED
    if result.status != 200:
        return PollFailure.UNHEALTHY
    try:
        raw = orjson.loads(result.body)
        ended = _decode_ended(raw.get("ended", ()))
        return WorkerReport(
            born_unix_ms=_count(raw["born"]) if "born" in raw else None,
            clock_ms=_clock_ms(raw["clockMs"]),
            running=_decode_running(raw.get("running", ())),
            ended=ended,
            lists_all_ends=len(ended) < MAX_LISTED_ENDS,
        )
    except DECODING_ERRORS:
        return PollFailure.UNHEALTHY


def _decode_running(rows: Sequence[Sequence[Any]]) -> tuple[RunningRun, ...]:
    return tuple(
        RunningRun(
            task=_decode_task(row[0]),
            run_number=_count(row[1]),
            checkpoint=str(row[2]),
            progress_percent=_count(row[3]),
            # The tail latency of a serving task in milliseconds; for any other
            # task, the processor time that it uses in thousandths of a core.
            tail_ms_or_millicores=_count(row[4]) if len(row) > 4 else 0,
        )
        for row in rows
    )


def _decode_ended(rows: Sequence[Sequence[Any]]) -> tuple[EndedRun, ...]:
    return tuple(
        EndedRun(
            end_number=_count(row[0]),
            task=_decode_task(row[1]),
            run_number=_count(row[2]),
            outcome=_run_end(row[3], _decode_task(row[1])),
            checkpoint=str(row[4]) if len(row) > 4 else "",
        )
        for row in rows
    )
