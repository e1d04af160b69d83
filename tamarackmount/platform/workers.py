"""Workers: their registrations in the store, and calls to them."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from tamarackmount.ids import DataCentreId, Epoch, Instant, JobId, RackId, WorkerId
from tamarackmount.platform.http import (
    Address,
    CallError,
    CallErrorKind,
    CallResult,
    HttpClient,
    Reply,
)
from tamarackmount.platform.resource_amounts import decode_resources
from tamarackmount.platform.store import JSON_HEADER
from tamarackmount.scheduling.model import ServiceName, TaskKey, WorkerIncarnation
from tamarackmount.scheduling.worker_reports import (
    EndedRun,
    OrderResult,
    PollFailure,
    RunEnd,
    RunningRun,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)

_READY = "ready"
_DRAINING = "draining"


def decode_worker(worker_id: str, text: bytes) -> Result[WorkerEntry, str]:
    """Return a worker's registration, or why it names no worker to use."""
    try:
        return _decode_entry(WorkerId(worker_id), orjson.loads(text))
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _decode_entry(
    worker_id: WorkerId, raw: Mapping[str, Any]
) -> Result[WorkerEntry, str]:
    state = raw["state"]
    if state not in (_READY, _DRAINING):
        return Failure(f"state: {state!r}")
    for name, expected in _ENTRY_TYPES.items():
        if not isinstance(raw[name], expected) or isinstance(raw[name], bool):
            return Failure(f"{name}: {raw[name]!r}")
    address = Address(raw["address"])
    labels = tuple(str(label) for label in raw["labels"])
    return Success(
        WorkerEntry(
            incarnation=WorkerIncarnation(worker_id, raw["born"]),
            service=ServiceName(raw["service"]),
            address=f"{address.host}:{address.port}",
            data_centre=DataCentreId(raw["zone"]),
            labels=frozenset(labels),
            # The last label of a worker names its rack.
            rack=RackId(labels[-1]) if labels else RackId(""),
            capacity=decode_resources(raw["capacity"]),
            is_draining=state == _DRAINING,
            drain_left_ms=int(raw.get("drainRemainingMs", 0)),
        )
    )


_ENTRY_TYPES: Mapping[str, type] = {
    "service": str,
    "address": str,
    "zone": str,
    "labels": list,
    "capacity": dict,
    "born": int,
}


class _Refusal(Enum):
    """Reasons that a worker gives with status 409."""

    FENCE = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"


_RESULT_BY_REFUSAL = {
    _Refusal.FENCE: OrderResult.FENCED,
    _Refusal.OLD: OrderResult.STALE_RUN,
    _Refusal.LATE: OrderResult.LATE,
    _Refusal.ROOM: OrderResult.NO_CAPACITY,
    _Refusal.TICKET: OrderResult.BAD_TICKET,
}

_RESULT_BY_STATUS = {
    200: OrderResult.DONE,
    400: OrderResult.MALFORMED,
    421: OrderResult.OTHER_INCARNATION,
    429: OrderResult.UNHEALTHY,
    503: OrderResult.UNHEALTHY,
}


@dataclass(frozen=True, slots=True)
class PollRequest:
    """Renewal of a worker's lease, and a look at its runs.

    ``lease_end_clock_ms`` is on the worker's clock and ``None`` renews nothing. Ends
    up to ``ack_cursor`` are forgotten. The reply waits up to ``wait_ms`` for an end.
    """

    fencing_token: Epoch
    ack_cursor: int
    lease_end_clock_ms: int | None
    wait_ms: int


class WorkerCalls:
    """Calls to workers; none is repeated here."""

    def __init__(self, http: HttpClient) -> None:
        """Call workers over ``http``."""
        self._http = http

    async def start(
        self, address: str, order: StartOrder, token: Epoch, deadline: Instant
    ) -> OrderResult:
        """Order a run to start."""
        body: dict[str, Any] = {
            "task": _task_name(order.task),
            "run": order.run,
            "spec": order.text,
            "untilMs": order.lease_end_clock_ms,
            "fencingToken": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(address, "start", order.incarnation, body, deadline)

    async def stop(
        self,
        address: str,
        incarnation: WorkerIncarnation,
        task: TaskKey,
        run: int,
        token: Epoch,
        deadline: Instant,
    ) -> OrderResult:
        """Order a run to stop, or never to start."""
        body = {"task": _task_name(task), "run": run, "fencingToken": token}
        return await self._order(address, "stop", incarnation, body, deadline)

    async def poll(
        self,
        address: str,
        incarnation: WorkerIncarnation,
        order: PollRequest,
        deadline: Instant,
    ) -> WorkerReport | PollFailure:
        """Renew the lease, and return what runs and what has ended."""
        body: dict[str, Any] = {
            "fencingToken": order.fencing_token,
            "ackCursor": order.ack_cursor,
        }
        if order.lease_end_clock_ms is not None:
            body["untilMs"] = order.lease_end_clock_ms
        if order.wait_ms:
            body["waitMs"] = order.wait_ms
        outcome = await self._http.call(
            Address(address),
            "POST",
            "/api/hold",
            deadline,
            orjson.dumps(body),
            _headers(incarnation),
        )
        return _report(outcome)

    async def _order(
        self,
        address: str,
        verb: str,
        incarnation: WorkerIncarnation,
        body: Mapping[str, Any],
        deadline: Instant,
    ) -> OrderResult:
        outcome = await self._http.call(
            Address(address),
            "POST",
            f"/api/run-{verb}",
            deadline,
            orjson.dumps(body),
            _headers(incarnation),
        )
        return _order_result(outcome)


def _headers(incarnation: WorkerIncarnation) -> str:
    return f"{JSON_HEADER}Expect-Instance: {incarnation.worker_id}\r\n"


def _task_name(task: TaskKey) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def _task_key(name: str) -> TaskKey:
    job_id, occurrence, step, index = name.split(".")
    return TaskKey(JobId(job_id), int(occurrence), int(step), int(index))


def _order_result(outcome: CallResult) -> OrderResult:
    if isinstance(outcome, CallError):
        if outcome.kind is CallErrorKind.NOT_SENT:
            return OrderResult.NOT_SENT
        return OrderResult.UNKNOWN
    if outcome.status == 409:
        try:
            reason = _Refusal(orjson.loads(outcome.body)["reason"])
        except (KeyError, TypeError, ValueError):
            return OrderResult.UNKNOWN
        return _RESULT_BY_REFUSAL[reason]
    return _RESULT_BY_STATUS.get(outcome.status, OrderResult.UNKNOWN)


def _report(outcome: CallResult) -> WorkerReport | PollFailure:
    if not isinstance(outcome, Reply):
        return PollFailure.NO_ANSWER
    if outcome.status == 421:
        return PollFailure.OTHER_INCARNATION
    if outcome.status == 409:
        return PollFailure.FENCED
    if outcome.status != 200:
        return PollFailure.UNHEALTHY
    try:
        raw = orjson.loads(outcome.body)
        return WorkerReport(
            born_unix_ms=int(raw["born"]) if "born" in raw else None,
            clock_ms=int(raw["clockMs"]),
            running=_running(raw.get("running", ())),
            ended=_ended(raw.get("ended", ())),
        )
    except (IndexError, KeyError, TypeError, ValueError):
        return PollFailure.UNHEALTHY


def _running(rows: Sequence[Sequence[Any]]) -> tuple[RunningRun, ...]:
    return tuple(
        RunningRun(
            task=_task_key(row[0]),
            run=int(row[1]),
            checkpoint=str(row[2]),
            percent=int(row[3]),
            # One figure serves two readings: the tail of a serving task in
            # milliseconds, or the processor time that any other task uses.
            tail_ms_or_millicores=int(row[4]) if len(row) > 4 else 0,
        )
        for row in rows
    )


def _ended(rows: Sequence[Sequence[Any]]) -> tuple[EndedRun, ...]:
    return tuple(
        EndedRun(
            number=int(row[0]),
            task=_task_key(row[1]),
            run=int(row[2]),
            outcome=RunEnd(row[3]),
            checkpoint=str(row[4]) if len(row) > 4 else "",
        )
        for row in rows
    )
