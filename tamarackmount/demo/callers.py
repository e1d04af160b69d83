"""Simulated callers, which send requests to queues, retry them and check responses."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from returns.result import Result, Success
from twisted.internet.defer import Deferred, gatherResults

from tamarackmount.client import QueueRequest
from tamarackmount.client_views import CallError, CallOutcome, UpstreamResponse
from tamarackmount.demo.balancer import Balancer
from tamarackmount.demo.http import HttpCaller
from tamarackmount.demo.records import REPEAT_ERROR, Attempt, Ending, RequestRecord
from tamarackmount.demo.topology import DaemonPlan
from tamarackmount.ids import MemberId, QueueName, RequestId, WorkspaceId

MAX_ATTEMPTS = 8
"""Number of attempts after which a caller gives up a request."""

REQUEST_TIMEOUT_MS = 10_000
"""Time limit of a request, in milliseconds."""

MAX_PAUSE_S = 1.0
"""Longest pause before a refused request is retried, in seconds."""

WORK_MS = 50
"""Work time of a request that callers ask of upstreams, in milliseconds."""

MAX_BODY_BYTES = 4_096
"""Largest request body, in bytes."""

REPEAT_SHARE = 0.5
"""Fraction of the requests with an unknown outcome that callers repeat."""

SAME_ID_SHARE = 0.5
"""Fraction of the refused requests that are retried with the same id."""

HOME_PREFIX_SHARE = 0.25
"""Fraction of the requests whose id names their home data centre."""


class _NextAction(Enum):
    DONE = "done"
    REPEAT = "repeat"
    RETRY = "retry"


NEXT_ACTION_BY_ENDING = {
    Ending.ANSWERED: _NextAction.DONE,
    Ending.NOT_RUN: _NextAction.RETRY,
    Ending.NOT_CONNECTED: _NextAction.RETRY,
    Ending.UNKNOWN: _NextAction.REPEAT,
    Ending.LOST: _NextAction.REPEAT,
}
"""What a caller does after an attempt, unless it gives up.

A repeat keeps the request id; a retry may use a new one.
"""

ENDING_BY_OUTCOME = {
    CallOutcome.NOT_RUN: Ending.NOT_RUN,
    CallOutcome.UNKNOWN: Ending.UNKNOWN,
}
"""Endings of attempts that got an error response."""

ENDING_WITHOUT_RESPONSE = {
    CallOutcome.NOT_RUN: Ending.NOT_CONNECTED,
    CallOutcome.UNKNOWN: Ending.LOST,
}
"""Endings of attempts without a complete response."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request: its method and whether it is idempotent."""

    method: str
    idempotent: bool


KINDS = (
    RequestKind("GET", True),
    RequestKind("POST", True),
    RequestKind("POST", False),
)
"""Kinds of requests, which callers send with equal probability."""


RequestResult = Result[UpstreamResponse, CallError]

ResponseCheck = Callable[[UpstreamResponse, RequestId, bytes], bool]
"""Tells whether a response is complete and belongs to the request with this body."""


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of one caller, sent at uniformly random times within ``seconds``."""

    name: str
    team_id: WorkspaceId
    key: str
    queue: QueueName
    requests: int
    seconds: float


class Caller:
    """Sends the load of one caller, with a random number generator of its own."""

    def __init__(
        self,
        load: Load,
        http: HttpCaller,
        balancer: Balancer,
        check: ResponseCheck,
        rng: random.Random,
    ) -> None:
        """Prepare the load, which :meth:`run` sends."""
        self._load = load
        self._http = http
        self._balancer = balancer
        self._check = check
        self._rng = rng
        self.records: list[RequestRecord] = []

    async def run(self) -> None:
        """Send every request at its time, without waiting for earlier ones."""
        send_offsets = sorted(
            self._rng.uniform(0, self._load.seconds) for _ in range(self._load.requests)
        )
        started = self._http.now()
        pending = []
        for number, send_offset in enumerate(send_offsets):
            await self._http.sleep(max(0.0, started + send_offset - self._http.now()))
            pending.append(Deferred.fromCoroutine(self._request(number)))
        await gatherResults(pending, consumeErrors=True)

    async def _request(self, number: int) -> None:
        kind = self._rng.choice(KINDS)
        record = RequestRecord(self._load.team_id, self._load.queue, kind.idempotent)
        self.records.append(record)
        request = make_request(
            self._load.queue, self._request_id(number, 0), kind, self._body(kind)
        )
        via: MemberId | None = None
        for attempt_number in range(1, MAX_ATTEMPTS + 1):
            daemon = self._balancer.pick(other_than=via)
            via = daemon.id
            result, attempt = await self._attempt(daemon, request)
            record.attempts.append(attempt)
            next_action = NEXT_ACTION_BY_ENDING[attempt.ending]
            if next_action is _NextAction.DONE or not self._continues_after(attempt):
                return
            if next_action is _NextAction.RETRY:
                await self._http.sleep(self._pause(result))
                if self._rng.random() >= SAME_ID_SHARE:
                    request = replace(
                        request, request_id=self._request_id(number, attempt_number)
                    )

    def _continues_after(self, attempt: Attempt) -> bool:
        if attempt.ending is not Ending.UNKNOWN:
            return True
        if attempt.error == REPEAT_ERROR:
            return False
        return self._rng.random() < REPEAT_SHARE

    async def _attempt(
        self, daemon: DaemonPlan, request: QueueRequest
    ) -> tuple[RequestResult, Attempt]:
        started = self._http.now()
        client = self._http.client(daemon, self._load.key)
        result = await client.send_request(request)
        ending, error = classify(result)
        request_id = RequestId(request.request_id)
        wrong = ending is Ending.ANSWERED and not self._check(
            result.unwrap(), request_id, request.body
        )
        ended = self._http.now()
        return result, Attempt(
            request_id, daemon.id, started, ended, ending, error, wrong
        )

    def _request_id(self, number: int, id_number: int) -> RequestId:
        name = f"{self._load.name}-{number}.{id_number}"
        if self._rng.random() >= HOME_PREFIX_SHARE:
            return RequestId(name)
        daemons = sorted(self._balancer.daemon_by_id.values(), key=lambda plan: plan.id)
        return RequestId(f"{self._rng.choice(daemons).data_centre}:{name}")

    def _body(self, kind: RequestKind) -> bytes:
        if kind.method == "GET":
            return b""
        return self._rng.randbytes(self._rng.randint(1, MAX_BODY_BYTES))

    def _pause(self, result: RequestResult) -> float:
        retry_after_ms = result.failure().retry_after_ms
        pause = retry_after_ms / 1_000 + self._rng.uniform(0.02, 0.1)
        return min(MAX_PAUSE_S, pause)


def make_request(
    queue: QueueName,
    request_id: RequestId,
    kind: RequestKind = KINDS[0],
    body: bytes = b"",
) -> QueueRequest:
    """Return a request with the path and time limit that callers use."""
    return QueueRequest(
        queue=queue,
        method=kind.method,
        path=f"/demo?work_ms={WORK_MS}",
        body=body,
        request_id=request_id,
        idempotent=kind.idempotent,
        timeout_ms=REQUEST_TIMEOUT_MS,
    )


def classify(result: RequestResult) -> tuple[Ending, str]:
    """Return how an attempt ended, and the error code if it was refused."""
    if isinstance(result, Success):
        return Ending.ANSWERED, ""
    error = result.failure()
    has_response = error.status != 0
    endings = ENDING_BY_OUTCOME if has_response else ENDING_WITHOUT_RESPONSE
    return endings[error.outcome], error.error
