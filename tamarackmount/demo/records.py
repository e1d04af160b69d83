"""What callers saw of their requests and what the harness did meanwhile."""

from dataclasses import dataclass, field
from enum import Enum

from tamarackmount.ids import JobId, MemberId, QueueName, RequestId, TaskId, TeamId


class Ending(Enum):
    """How one attempt of a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NOT_CONNECTED = "not connected"
    LOST = "lost"


NOT_RUN_ENDINGS = frozenset({Ending.NOT_RUN, Ending.NOT_CONNECTED})
"""Endings that promise that no upstream ran the request."""

REPEAT_ERROR = "already_attempted"
"""Error of a repeat that was recognised; its outcome is the first attempt's."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sending of a request through one entry VM.

    ``started`` and ``ended`` are readings of the harness's clock, in seconds.
    ``error`` is the error code of a refusal. ``wrong`` tells that an answer was
    not whole or belonged to another request.
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
    """One request of a caller with all its attempts, in order."""

    team_id: TeamId
    queue: QueueName
    idempotent: bool
    attempts: list[Attempt] = field(default_factory=list)

    def outcome(self) -> Ending:
        """Return what the caller knows in the end."""
        endings = {attempt.ending for attempt in self.attempts}
        if Ending.ANSWERED in endings:
            return Ending.ANSWERED
        if endings <= NOT_RUN_ENDINGS:
            return Ending.NOT_RUN
        return Ending.UNKNOWN

    def elapsed(self) -> float:
        """Return the time from the first sending to the last ending, in seconds."""
        return self.attempts[-1].ended - self.attempts[0].started


class Disturbance(Enum):
    """What the harness did to the cell."""

    PLANNED_STOP = "planned stop"
    KILL = "kill"
    PAUSE = "pause"
    LOG_OUTAGE = "log outage"
    UPSTREAM_FAULT = "upstream fault"


@dataclass(frozen=True, slots=True)
class DisturbanceWindow:
    """A disturbance from its start until the cell was over it.

    Both are readings of the harness's clock, in seconds.
    """

    kind: Disturbance
    target: str
    started: float
    ended: float

    def overlaps(self, attempt: Attempt) -> bool:
        """Tell whether the attempt was under way during the disturbance."""
        return attempt.started <= self.ended and attempt.ended >= self.started


@dataclass(frozen=True, slots=True)
class TaskRun:
    """One attempt of a task on one worker, in wall-clock seconds.

    ``ended`` is ``None`` while it runs.
    """

    task_id: TaskId
    worker: str
    started: float
    ended: float | None


@dataclass(frozen=True, slots=True)
class JobEnd:
    """A job's last state as seen, and the one it should end in."""

    job_id: JobId
    state: str
    expected: str


@dataclass(frozen=True, slots=True)
class Revocation:
    """How a revoked key faded.

    ``seconds`` is the time from the operator's answer until every entry VM had
    refused the key, or ``None`` when some never did. ``accepted_again`` counts
    requests that a VM accepted after it had refused the key.
    """

    seconds: float | None
    accepted_again: int
