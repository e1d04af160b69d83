"""The HTTP interface for callers on an entry VM."""

import logging
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from returns.result import Failure
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from tamarackmount.ids import Instant, JobId, QueueName, WorkspaceId
from tamarackmount.internal.bounded_request import BoundedRequest, body_of, header
from tamarackmount.internal.keys import hash_key
from tamarackmount.node import clock
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.served_requests import RequestKind, ServedRequests
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.jobs import (
    JobError,
    decode_job,
    encode_job_state,
    encode_waiting_count,
)
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.fleet_config import FleetConfig, Queue
from tamarackmount.scheduling.domain.model import FailureCause, JobPhase
from tamarackmount.units import MS_PER_SECOND

DEFAULT_DEADLINE_MS = 3_000
"""Deadline of callers that send none, in milliseconds; the platform's default
deadline."""

MAX_DEADLINE_MS = 600_000
"""Longest deadline that is taken from a caller, in milliseconds; a longer one counts as
malformed."""

DEADLINE_HEADER = "deadline-remaining"
"""Request header with the time that the caller still waits, in milliseconds."""

STORE_RETRY_AFTER_S = 1
"""Retry time that callers get while the store is unavailable, in seconds; the shortest
outage of the store."""

STARTING_RETRY_AFTER_S = 1
"""Retry time that callers get from a node that has no configuration yet, in seconds."""

OTHER_VERB = "other"
"""Label of requests with a method that is not served; callers choose any text."""

NO_WORKSPACE = WorkspaceId("")
"""Workspace of callers without a key, on public queues."""

_JOB_ID_PATTERN = re.compile(r"^[0-9a-f]{16}$")
_AUTH_SCHEME = "bearer"
_log = logging.getLogger(__name__)


class HttpStatus(Enum):
    """HTTP status codes of responses to callers.

    ``SERVICE_UNAVAILABLE`` and ``TOO_MANY_REQUESTS`` mean that the request had no
    effect.
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
    """A response to a caller.

    ``retry_after_s`` is the time after which a retry makes sense, if that is known.
    """

    status: HttpStatus
    body: bytes = b"{}"
    retry_after_s: int | None = None


NO_CONFIGURATION = ApiResponse(
    HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=STARTING_RETRY_AFTER_S
)
"""The response to callers before the first configuration is read."""


@dataclass(slots=True)
class ApiRequest:
    """A caller's request to a queue; ``job_id`` is empty for the queue itself.

    ``body`` is empty unless the request is a submission.
    """

    queue: Queue
    workspace_id: WorkspaceId
    job_id: JobId
    body: bytes
    deadline: Instant

    def take_body(self) -> bytes:
        """Return the body and drop it.

        A connection that is lost returns the bytes of its body to the budget, while
        the request may still wait for the store or other nodes.
        """
        body, self.body = self.body, b""
        return body


@dataclass(frozen=True, slots=True)
class Canceller:
    """A caller who cancels a job: its workspace, and the queue if that is public."""

    workspace_id: WorkspaceId
    public_queue: QueueName | None = None


class PhaseLookupFailure(Enum):
    """Why there is no phase: the job was not submitted, or the node can't tell now."""

    NOT_SUBMITTED = "not handed in"
    UNAVAILABLE = "unsure"


class Jobs(Protocol):
    """The operations on jobs that the HTTP interface needs from the node."""

    @property
    def fleet(self) -> FleetConfig | None:
        """The configuration in force, or ``None`` before the first one is read."""

    @property
    def sends_callers_away(self) -> bool:
        """Whether callers should come back through another node."""

    @property
    def max_steps(self) -> int:
        """A number of steps above which no job can be stored."""

    async def wait_turn(self, size: int, deadline: Instant) -> bool:
        """Wait until a body of ``size`` bytes may be decoded; False if it may not."""

    async def refuse_large(self, job_id: JobId, deadline: Instant) -> ApiResponse:
        """Return the response for a job whose body may not be decoded."""

    async def submit(self, job: AcceptedJob, deadline: Instant) -> ApiResponse:
        """Accept or refuse a job."""

    async def cancel(
        self, job_id: JobId, canceller: "Canceller", deadline: Instant
    ) -> ApiResponse:
        """Cancel a job."""

    async def phase(self, job_id: JobId) -> "JobPhase | PhaseLookupFailure":
        """Return a job's phase, or why there is none."""

    async def failure_cause(self, job_id: JobId) -> FailureCause | None:
        """Return why a job has failed, or None if that can't be told now."""

    async def waiting_count(self, queue: Queue) -> int | None:
        """Return how many jobs of a queue have not started, or None if unknown."""


class JobsResource(Resource):
    """Serves callers: submit, look up and cancel jobs, and count the waiting ones."""

    isLeaf = True  # noqa: N815  (name set by Twisted)

    def __init__(
        self, jobs: Jobs, metrics: NodeMetrics, served: ServedRequests | None = None
    ) -> None:
        """Serve ``jobs`` and count requests in ``metrics``.

        Requests that ``served`` has no place for are refused; without it none are.
        """
        Resource.__init__(self)
        self._served = served or ServedRequests({})
        self._jobs = jobs
        self._metrics = metrics
        self._handlers_by_method: dict[str, Callable[[ApiRequest], Any]] = {
            "POST": self._submit,
            "GET": self._get,
            "DELETE": self._cancel,
        }
        self.in_flight = 0

    def render(self, request: BoundedRequest) -> int:
        """Serve one request; the response is written later."""
        self.in_flight += 1
        writer = _ResponseWriter(request)
        spawn(self._serve(request, writer))
        return NOT_DONE_YET

    async def _serve(self, request: BoundedRequest, writer: "_ResponseWriter") -> None:
        started_at = clock.now()
        try:
            response = await self._respond(request)
        except Exception:
            # An error in one request must not stop the node for all other callers.
            _log.exception(
                "request failed with an unexpected error; answered 504",
                extra={"path": request.path.decode("latin-1")},
            )
            response = ApiResponse(HttpStatus.GATEWAY_TIMEOUT)
        self.in_flight -= 1
        writer.write(response, self._jobs.sends_callers_away)
        method = request.method.decode("latin-1")
        verb = method if method in self._handlers_by_method else OTHER_VERB
        self._metrics.record_request(
            verb, response.status.value, clock.now() - started_at
        )

    async def _respond(self, request: BoundedRequest) -> ApiResponse:
        fleet = self._jobs.fleet
        if fleet is None:
            return NO_CONFIGURATION
        api_request = _parse_request(request, fleet)
        if isinstance(api_request, ApiResponse):
            return api_request
        handler = self._handlers_by_method.get(request.method.decode("latin-1"))
        if handler is None:
            return ApiResponse(HttpStatus.BAD_METHOD)
        kind = _KIND_BY_METHOD[request.method]
        job_id = api_request.job_id
        if not self._served.try_add(kind, job_id):
            return await self._refuse(kind, api_request)
        try:
            response: ApiResponse = await handler(api_request)
        finally:
            self._served.remove(kind, job_id)
        return response

    async def _refuse(self, kind: RequestKind, api_request: ApiRequest) -> ApiResponse:
        """Refuse a request, as too many of its kind are being served."""
        api_request.take_body()
        job_id = api_request.job_id
        self._metrics.record_crowded_request(kind.value)
        _log.info(
            "request refused: too many are served",
            extra={"job": job_id, "kind": kind.value},
        )
        if kind is not RequestKind.LOOKUP and self._served.includes(kind, job_id):
            # The attempt that is being served may still have an effect.
            return ApiResponse(HttpStatus.GATEWAY_TIMEOUT)
        if kind is not RequestKind.SUBMISSION:
            return _UNAVAILABLE
        if not self._served.try_add(RequestKind.REFUSAL, job_id):
            return ApiResponse(HttpStatus.GATEWAY_TIMEOUT)
        try:
            return await self._jobs.refuse_large(job_id, api_request.deadline)
        finally:
            self._served.remove(RequestKind.REFUSAL, job_id)

    async def _submit(self, api_request: ApiRequest) -> ApiResponse:
        if not api_request.job_id:
            return ApiResponse(HttpStatus.BAD_METHOD)
        job_id, deadline = api_request.job_id, api_request.deadline
        if not await self._jobs.wait_turn(len(api_request.body), deadline):
            api_request.take_body()
            return await self._jobs.refuse_large(job_id, deadline)
        decoded = decode_job(api_request.take_body(), self._jobs.max_steps)
        if isinstance(decoded, Failure):
            return _rejection(job_id, decoded.failure())
        job = AcceptedJob(
            job_id=job_id,
            terms=api_request.queue,
            workspace_id=api_request.workspace_id,
            accepted_unix_ms=clock.unix_ms(),
            spec=decoded.unwrap(),
        )
        return await self._jobs.submit(job, deadline)

    async def _get(self, api_request: ApiRequest) -> ApiResponse:
        if not api_request.job_id:
            count = await self._jobs.waiting_count(api_request.queue)
            if count is None:
                return _UNAVAILABLE
            return ApiResponse(HttpStatus.OK, encode_waiting_count(count))
        phase = await self._jobs.phase(api_request.job_id)
        if isinstance(phase, JobPhase):
            cause = None
            if phase is JobPhase.FAILED:
                cause = await self._jobs.failure_cause(api_request.job_id)
            return ApiResponse(HttpStatus.OK, encode_job_state(phase, cause))
        return _RESPONSE_BY_LOOKUP_FAILURE[phase]

    async def _cancel(self, api_request: ApiRequest) -> ApiResponse:
        if not api_request.job_id:
            return ApiResponse(HttpStatus.BAD_METHOD)
        queue = api_request.queue
        canceller = Canceller(
            api_request.workspace_id, queue.name if queue.is_public else None
        )
        return await self._jobs.cancel(
            api_request.job_id, canceller, api_request.deadline
        )


_KIND_BY_METHOD = {
    b"POST": RequestKind.SUBMISSION,
    b"GET": RequestKind.LOOKUP,
    b"DELETE": RequestKind.CANCELLATION,
}

_UNAVAILABLE = ApiResponse(
    HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=STORE_RETRY_AFTER_S
)

_RESPONSE_BY_LOOKUP_FAILURE = {
    PhaseLookupFailure.NOT_SUBMITTED: ApiResponse(HttpStatus.GONE),
    PhaseLookupFailure.UNAVAILABLE: _UNAVAILABLE,
}


def _rejection(job_id: JobId, error: JobError) -> ApiResponse:
    """Log why a job is rejected, and return the response."""
    extra = {"job": job_id, "reason": error.detail}
    if error.is_too_large:
        _log.info("job rejected: too large", extra=extra)
        return ApiResponse(HttpStatus.TOO_LARGE)
    _log.info("job rejected: body not readable", extra=extra)
    return ApiResponse(HttpStatus.BAD_REQUEST)


class _ResponseWriter:
    """Writes one response, unless the caller has disconnected."""

    def __init__(self, request: BoundedRequest) -> None:
        self._request = request
        self._is_disconnected = False
        request.notifyFinish().addErrback(self._connection_lost)

    def _connection_lost(self, _failure: TwistedFailure) -> None:
        self._is_disconnected = True

    def write(self, response: ApiResponse, close: bool) -> None:
        if self._is_disconnected:
            return
        request: Any = self._request
        request.setResponseCode(response.status.value)
        request.setHeader(b"content-type", b"application/json")
        request.setHeader(b"content-length", str(len(response.body)).encode())
        if response.retry_after_s is not None:
            request.setHeader(b"retry-after", str(response.retry_after_s).encode())
        if close:
            request.setHeader(b"connection", b"close")
            request.channel.persistent = False
        request.write(response.body)
        request.finish()


def _parse_request(
    request: BoundedRequest, fleet: FleetConfig
) -> ApiRequest | ApiResponse:
    path = request.path.decode("latin-1")
    target = find_target(request, path, fleet)
    if isinstance(target, ApiResponse):
        return target
    queue, workspace_id = target
    body = body_of(request)
    if request.too_large or len(body) > fleet.max_body_bytes:
        return ApiResponse(HttpStatus.TOO_LARGE)
    name = path[len(queue.prefix) :].strip("/")
    if name and not _JOB_ID_PATTERN.match(name):
        return ApiResponse(HttpStatus.BAD_REQUEST)
    kept_body = body if request.method == b"POST" else b""
    deadline = parse_deadline(request)
    return ApiRequest(queue, workspace_id, JobId(name), kept_body, deadline)


def find_target(
    request: BoundedRequest, path: str, fleet: FleetConfig
) -> tuple[Queue, WorkspaceId] | ApiResponse:
    """Return the queue and workspace of a request's header, or a refusal."""
    queue = fleet.queue_for(header(request, "host"), path)
    if queue is None:
        return ApiResponse(HttpStatus.NOT_FOUND)
    workspace = _authenticate(request, fleet)
    if workspace is None and not queue.is_public:
        return ApiResponse(HttpStatus.UNAUTHORIZED)
    return queue, workspace or NO_WORKSPACE


def _authenticate(request: BoundedRequest, fleet: FleetConfig) -> WorkspaceId | None:
    scheme, _, key = header(request, "authorization").partition(" ")
    if scheme.lower() != _AUTH_SCHEME:
        return None
    return fleet.workspace_by_key.get(hash_key(key.strip()))


def parse_deadline(request: HttpRequest) -> Instant:
    """Return until when the caller waits, from its header or the default."""
    text = header(request, DEADLINE_HEADER)
    try:
        remaining_ms = float(text) if text else DEFAULT_DEADLINE_MS
    except ValueError:
        remaining_ms = DEFAULT_DEADLINE_MS
    # ``float`` accepts "nan" and "inf" too.
    if math.isnan(remaining_ms) or remaining_ms > MAX_DEADLINE_MS:
        remaining_ms = DEFAULT_DEADLINE_MS
    return Instant(clock.now() + max(0.0, remaining_ms) / MS_PER_SECOND)
