"""The HTTP interface to callers on an entry VM."""

import logging
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from returns.result import Failure
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from tamarackmount.ids import Instant, JobId, TeamId
from tamarackmount.internal.bounded_request import BoundedRequest, body_of, header
from tamarackmount.internal.keys import hash_key
from tamarackmount.node import clock
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.jobs import (
    decode_job,
    encode_job_state,
    encode_waiting_count,
)
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.fleet_config import FleetConfig, Queue
from tamarackmount.scheduling.model import JobPhase
from tamarackmount.units import MS_PER_SECOND

DEFAULT_DEADLINE_MS = 3_000
"""How long a caller that says nothing waits, in milliseconds; the sheets' deadline."""

DEADLINE_HEADER = "deadline-remaining"
"""Header with the milliseconds for which the caller waits."""

STORE_RETRY_AFTER_S = 1
"""When to come back after the store took nothing, in seconds; its shortest outage."""

STARTING_RETRY_AFTER_S = 1
"""When to come back to a node that has no configuration yet, in seconds."""

NO_TEAM = TeamId("")
"""Team of callers without a key, on queues that are open to all."""

_JOB_ID = re.compile(r"^[0-9a-f]{16}$")
_SCHEME = "bearer"
_log = logging.getLogger(__name__)


class HttpStatus(Enum):
    """Answers to callers.

    ``SERVICE_UNAVAILABLE`` and ``TOO_MANY_REQUESTS`` say that nothing runs.
    """

    OK = 200
    BAD_REQUEST = 400
    UNAUTHORIZED = 401
    NOT_FOUND = 404
    GONE = 410
    BAD_METHOD = 405
    TOO_LARGE = 413
    TOO_MANY_REQUESTS = 429
    SERVICE_UNAVAILABLE = 503
    GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """A final answer; ``retry_after_s`` is when to come back, if that is known."""

    status: HttpStatus
    body: bytes = b"{}"
    retry_after_s: int | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's call to a queue; ``job_id`` is empty for the queue itself."""

    queue: Queue
    team_id: TeamId
    job_id: JobId
    body: bytes
    deadline: Instant


class PhaseLookupFailure(Enum):
    """Why there is no phase: nobody handed the job in, or the node can't tell now."""

    NOT_SUBMITTED = "not handed in"
    UNAVAILABLE = "unsure"


class Jobs(Protocol):
    """What the front asks the node about jobs."""

    @property
    def fleet(self) -> FleetConfig | None:
        """The configuration, if there is one."""

    @property
    def is_draining(self) -> bool:
        """Whether the node stops, so that connections should end."""

    async def submit(self, job: AcceptedJob, deadline: Instant) -> ApiResponse:
        """Accept or refuse a job."""

    async def cancel(self, job_id: JobId, deadline: Instant) -> ApiResponse:
        """Cancel a job."""

    async def phase(self, job_id: JobId) -> "JobPhase | PhaseLookupFailure":
        """Return a job's phase, or why there is none."""

    def waiting_count(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not begun."""


class JobsResource(Resource):
    """Serves callers: hand in, ask, cancel, and count what waits."""

    isLeaf = True  # noqa: N815  (twisted's name)

    def __init__(self, jobs: Jobs, metrics: NodeMetrics) -> None:
        """Serve the jobs of one node."""
        Resource.__init__(self)
        self._jobs = jobs
        self._metrics = metrics
        self._verbs: dict[str, Callable[[Call], Any]] = {
            "POST": self._submit,
            "GET": self._ask,
            "DELETE": self._cancel,
        }
        self.in_flight = 0

    def render(self, request: BoundedRequest) -> int:
        """Serve one request; the answer is written later."""
        self.in_flight += 1
        alive = _Caller(request)
        spawn(self._serve(request, alive))
        return NOT_DONE_YET

    async def _serve(self, request: BoundedRequest, caller: "_Caller") -> None:
        begun = clock.now()
        try:
            answer = await self._answer(request)
        except Exception:
            # One caller's call must not end the node for all others.
            _log.exception(
                "call failed", extra={"path": request.path.decode("latin-1")}
            )
            answer = ApiResponse(HttpStatus.GATEWAY_TIMEOUT)
        self.in_flight -= 1
        caller.write(answer, self._jobs.is_draining)
        verb = request.method.decode("latin-1")
        self._metrics.record_request(verb, answer.status.value, clock.now() - begun)

    async def _answer(self, request: BoundedRequest) -> ApiResponse:
        fleet = self._jobs.fleet
        if fleet is None:
            return ApiResponse(
                HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=STARTING_RETRY_AFTER_S
            )
        call = _read_call(request, fleet)
        if isinstance(call, ApiResponse):
            return call
        verb = self._verbs.get(request.method.decode("latin-1"))
        if verb is None:
            return ApiResponse(HttpStatus.BAD_METHOD)
        answer: ApiResponse = await verb(call)
        return answer

    async def _submit(self, call: Call) -> ApiResponse:
        if not call.job_id:
            return ApiResponse(HttpStatus.BAD_METHOD)
        decoded = decode_job(call.body)
        if isinstance(decoded, Failure):
            extra = {"job": call.job_id, "reason": decoded.failure()}
            _log.info("job malformed", extra=extra)
            return ApiResponse(HttpStatus.BAD_REQUEST)
        job = AcceptedJob(
            job_id=call.job_id,
            terms=call.queue,
            team_id=call.team_id,
            accepted_unix_ms=clock.unix_ms(),
            spec=decoded.unwrap(),
        )
        return await self._jobs.submit(job, call.deadline)

    async def _ask(self, call: Call) -> ApiResponse:
        if not call.job_id:
            return ApiResponse(
                HttpStatus.OK,
                encode_waiting_count(self._jobs.waiting_count(call.queue)),
            )
        phase = await self._jobs.phase(call.job_id)
        if isinstance(phase, JobPhase):
            return ApiResponse(HttpStatus.OK, encode_job_state(phase))
        return _ANSWER_WITHOUT_PHASE[phase]

    async def _cancel(self, call: Call) -> ApiResponse:
        if not call.job_id:
            return ApiResponse(HttpStatus.BAD_METHOD)
        return await self._jobs.cancel(call.job_id, call.deadline)


_ANSWER_WITHOUT_PHASE = {
    PhaseLookupFailure.NOT_SUBMITTED: ApiResponse(HttpStatus.GONE),
    PhaseLookupFailure.UNAVAILABLE: ApiResponse(
        HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=STORE_RETRY_AFTER_S
    ),
}


class _Caller:
    """The connection on which one answer is written, if the caller is there still."""

    def __init__(self, request: BoundedRequest) -> None:
        self._request = request
        self._is_gone = False
        request.notifyFinish().addErrback(self._left)

    def _left(self, _failure: TwistedFailure) -> None:
        self._is_gone = True

    def write(self, answer: ApiResponse, is_last: bool) -> None:
        if self._is_gone:
            return
        request: Any = self._request
        request.setResponseCode(answer.status.value)
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", str(len(answer.body)).encode())
        if answer.retry_after_s is not None:
            request.setHeader(b"retry-after", str(answer.retry_after_s).encode())
        if is_last:
            request.setHeader(b"connection", b"close")
            request.channel.persistent = False
        request.write(answer.body)
        request.finish()


def _read_call(request: BoundedRequest, fleet: FleetConfig) -> Call | ApiResponse:
    path = request.path.decode("latin-1")
    queue = fleet.queue_for(header(request, "host"), path)
    if queue is None:
        return ApiResponse(HttpStatus.NOT_FOUND)
    team = _team(request, fleet)
    if team is None and not queue.is_public:
        return ApiResponse(HttpStatus.UNAUTHORIZED)
    body = body_of(request)
    if request.too_large or len(body) > fleet.max_body_bytes:
        return ApiResponse(HttpStatus.TOO_LARGE)
    name = path[len(queue.prefix) :].strip("/")
    if name and not _JOB_ID.match(name):
        return ApiResponse(HttpStatus.BAD_REQUEST)
    return Call(queue, team or NO_TEAM, JobId(name), body, _deadline(request))


def _team(request: BoundedRequest, fleet: FleetConfig) -> TeamId | None:
    scheme, _, key = header(request, "authorization").partition(" ")
    if scheme.lower() != _SCHEME:
        return None
    return fleet.team_by_key.get(hash_key(key.strip()))


def _deadline(request: BoundedRequest) -> Instant:
    text = header(request, DEADLINE_HEADER)
    try:
        left_ms = float(text) if text else DEFAULT_DEADLINE_MS
    except ValueError:
        left_ms = DEFAULT_DEADLINE_MS
    return Instant(clock.now() + left_ms / MS_PER_SECOND)


class ReadinessResource(Resource):
    """Tells the platform's balancer whether new connections should come here."""

    isLeaf = True  # noqa: N815  (twisted's name)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Answer by ``is_ready``."""
        Resource.__init__(self)
        self._is_ready = is_ready

    def render(self, request: Any) -> bytes:
        """Answer 200 when ready, else 503."""
        is_ready = self._is_ready()
        status = HttpStatus.OK if is_ready else HttpStatus.SERVICE_UNAVAILABLE
        request.setResponseCode(status.value)
        return b""
