"""Logic of the stand-in for one upstream instance, without I/O."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pydantic import Field

from tamarackmount.ids import Instant, RequestId, UpstreamId
from tamarackmount.standins.control import BreachLog, FaultBody

MAX_IDEMPOTENT_IDS = 100_000
"""Number of most recent idempotent request ids whose executions are counted."""

HANG_S = 3_600.0
"""Work time of a request that is never answered, in seconds."""


class UpstreamMode(Enum):
    """How an upstream handles requests.

    ``cross_answers`` answers each request with the response to the previous one.
    """

    UP = "up"
    FAIL_500 = "fail_500"
    CUT_AFTER_REQUEST = "cut_after_request"
    CUT_IN_ANSWER = "cut_in_answer"
    GARBAGE = "garbage"
    CROSS_ANSWERS = "cross_answers"
    HANG = "hang"
    REFUSE_CONNECTIONS = "refuse_connections"


class UpstreamFaults(FaultBody):
    """Faults of an upstream; work times are multiplied by ``slow_factor``."""

    mode: UpstreamMode = UpstreamMode.UP
    slow_factor: float = Field(default=1.0, gt=0, le=100_000)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A completely received request.

    A ``work_ms`` of ``None`` stands for the upstream's default work time, and a
    ``deadline_ms`` of ``None`` for a request without a deadline. ``has_key`` tells
    whether the request carried the caller's key.
    """

    request_id: RequestId
    idempotent: bool
    work_ms: float | None = None
    deadline_ms: int | None = None
    has_key: bool = False


@dataclass(frozen=True, slots=True)
class Execution:
    """A request that occupies a slot until ``ends_at``.

    ``in_time`` is false if the deadline precedes the end of the work; the request
    then ends without a response.
    """

    request_id: RequestId
    ends_at: Instant
    in_time: bool


class UpstreamModel:
    """Slots, connections and executions of one upstream instance."""

    def __init__(
        self,
        upstream_id: UpstreamId,
        slots: int = 8,
        connections: int = 64,
        service_s: float = 0.005,
    ) -> None:
        """Create an idle upstream; ``service_s`` is the default work time."""
        self.upstream_id = upstream_id
        self.breach_log = BreachLog()
        self.faults = UpstreamFaults()
        self._slots = slots
        self._max_connections = connections
        self._service_s = service_s
        self._running = 0
        self._peak_running = 0
        self._open_connections = 0
        self._peak_open_connections = 0
        self._executions = 0
        self._past_deadline = 0
        self._idempotent_counts_by_id: OrderedDict[RequestId, int] = OrderedDict()
        self._non_idempotent_counts_by_id: dict[RequestId, int] = {}

    def set_faults_json(self, body: bytes) -> None:
        """Replace the faults; raise pydantic's ``ValidationError`` if invalid."""
        self.faults = UpstreamFaults.model_validate_json(body)

    def connection_opened(self) -> None:
        """Count an opened connection; more than allowed are a breach."""
        self._open_connections += 1
        self._peak_open_connections = max(
            self._peak_open_connections, self._open_connections
        )
        if self._open_connections > self._max_connections:
            detail = f"{self._open_connections} open of {self._max_connections}"
            self.breach_log.add("too_many_connections", detail)

    def connection_closed(self) -> None:
        """Stop counting a closed connection."""
        self._open_connections -= 1

    def begin(self, now: Instant, arrival: Arrival) -> Execution:
        """Occupy a slot and execute a request; :meth:`end` must follow."""
        self._running += 1
        self._peak_running = max(self._peak_running, self._running)
        if self._running > self._slots:
            detail = f"{arrival.request_id}: {self._running} run of {self._slots}"
            self.breach_log.add("too_many_requests", detail)
        if arrival.has_key:
            self.breach_log.add("key_forwarded", arrival.request_id)
        self._count_execution(arrival)
        return self._plan(now, arrival)

    def end(self, execution: Execution) -> None:
        """Free the slot of an execution."""
        self._running -= 1
        if not execution.in_time:
            self._past_deadline += 1

    def repeated_non_idempotent_ids(self) -> list[RequestId]:
        """Return the ids of the non-idempotent requests executed more than once."""
        counts = self._non_idempotent_counts_by_id.items()
        return [request_id for request_id, count in counts if count > 1]

    def non_idempotent_executions(self) -> dict[str, Any]:
        """Return how often each non-idempotent request was executed."""
        counts = self._non_idempotent_counts_by_id.items()
        executions = [{"request_id": key, "count": count} for key, count in counts]
        return {"executions": executions}

    def state(self) -> dict[str, Any]:
        """Return counters, repeated executions and the current faults."""
        repeated = [
            {"request_id": request_id, "count": count}
            for counts_by_id in (
                self._non_idempotent_counts_by_id,
                self._idempotent_counts_by_id,
            )
            for request_id, count in counts_by_id.items()
            if count > 1
        ]
        return {
            "upstream": self.upstream_id,
            "running": self._running,
            "peak_running": self._peak_running,
            "connections": self._open_connections,
            "peak_connections": self._peak_open_connections,
            "executions": self._executions,
            "past_deadline": self._past_deadline,
            "executed_more_than_once": repeated,
            "doubled": self.repeated_non_idempotent_ids(),
            "faults": self.faults.model_dump(mode="json"),
        }

    def _plan(self, now: Instant, arrival: Arrival) -> Execution:
        work_ends_at = Instant(now + self._work_s(arrival))
        if arrival.deadline_ms is None:
            return Execution(arrival.request_id, work_ends_at, in_time=True)
        deadline = Instant(now + arrival.deadline_ms / 1_000)
        ends_at = min(work_ends_at, deadline)
        return Execution(arrival.request_id, ends_at, work_ends_at <= deadline)

    def _work_s(self, arrival: Arrival) -> float:
        if self.faults.mode is UpstreamMode.HANG:
            return HANG_S
        work_s = self._service_s
        if arrival.work_ms is not None:
            work_s = arrival.work_ms / 1_000
        return work_s * self.faults.slow_factor

    def _count_execution(self, arrival: Arrival) -> None:
        self._executions += 1
        request_id = arrival.request_id
        if not arrival.idempotent:
            count = self._non_idempotent_counts_by_id.get(request_id, 0)
            self._non_idempotent_counts_by_id[request_id] = count + 1
            return
        counts_by_id = self._idempotent_counts_by_id
        counts_by_id[request_id] = counts_by_id.get(request_id, 0) + 1
        if len(counts_by_id) > MAX_IDEMPOTENT_IDS:
            counts_by_id.popitem(last=False)
