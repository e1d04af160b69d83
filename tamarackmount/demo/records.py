"""Records of a run: requests, disturbances, task attempts, jobs and keys."""

from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import JobId, MemberId, QueueName, RequestId, TaskId, WorkspaceId


class Ending(Enum):
    """How one attempt of a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NOT_CONNECTED = "not connected"
    LOST = "lost"


NOT_RUN_ENDINGS = frozenset({Ending.NOT_RUN, Ending.NOT_CONNECTED})
"""Endings that guarantee that no upstream executed the request."""

REPEAT_ERROR = "already_attempted"
"""Error of a detected repeat, which has the outcome of the first attempt."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request through one entry VM.

    ``started`` and ``ended`` are times of the harness's clock, in seconds.
    ``error`` is the error code of a refusal. ``wrong`` tells that the response was
    incomplete or belonged to another request.
    """

    request_id: RequestId
    via: MemberId
    started: float
    ended: float
    ending: Ending
    error: str = ""
    wrong: bool = False


@dataclass(slots=True)
class RequestRecord:
    """One request of a caller with its attempts in order."""

    team_id: WorkspaceId
    queue: QueueName
    idempotent: bool
    attempts: list[Attempt] = field(default_factory=list)

    def outcome(self) -> Ending:
        """Return the outcome that the caller knows after the last attempt."""
        endings = {attempt.ending for attempt in self.attempts}
        if Ending.ANSWERED in endings:
            return Ending.ANSWERED
        if endings <= NOT_RUN_ENDINGS:
            return Ending.NOT_RUN
        return Ending.UNKNOWN

    def elapsed(self) -> float:
        """Return the time from the first start to the last end, in seconds."""
        return self.attempts[-1].ended - self.attempts[0].started


class Disturbance(Enum):
    """Kinds of disturbances that the harness causes in the cell."""

    PLANNED_STOP = "planned stop"
    KILL = "kill"
    PAUSE = "pause"
    LOG_OUTAGE = "log outage"
    UPSTREAM_FAULT = "upstream fault"


@dataclass(frozen=True, slots=True)
class DisturbanceWindow:
    """The time window of a disturbance, from its start until it was over.

    ``started`` and ``ended`` are times of the harness's clock, in seconds.
    """

    kind: Disturbance
    target: str
    started: float
    ended: float

    def overlaps(self, attempt: Attempt) -> bool:
        """Return whether the attempt overlapped the disturbance in time."""
        return attempt.started <= self.ended and attempt.ended >= self.started


@dataclass(frozen=True, slots=True)
class TaskRun:
    """One attempt of a task on one worker, with wall-clock times in seconds.

    ``ended`` is ``None`` for an attempt that still runs.
    """

    task_id: TaskId
    worker: str
    started: float
    ended: float | None


@dataclass(frozen=True, slots=True)
class JobEnd:
    """The last known state of a job and the expected one."""

    job_id: JobId
    state: str
    expected: str


@dataclass(frozen=True, slots=True)
class Revocation:
    """How long a revoked key was still accepted.

    ``seconds`` is the time from the response to the operator until every entry VM
    had refused the key, or ``None`` if one never did. ``accepted_again`` counts
    the requests that an entry VM accepted after it had refused the key.
    """

    seconds: float | None
    accepted_again: int
