"""Typed responses and errors of the HTTP API."""

from dataclasses import dataclass, field
from enum import Enum

from pydantic import BaseModel, ConfigDict

from tamarackmount.http_calls import Header
from tamarackmount.ids import ConfigPath, Offset
from tamarackmount.problems import Problem


class CallOutcome(Enum):
    """Whether a call that failed may have had an effect."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class JobState(Enum):
    """State of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


ENDED_JOB_STATES = frozenset(
    {JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN}
)
"""Final states of a job."""


@dataclass(frozen=True, slots=True)
class CallError:
    """Why a call failed.

    ``status`` is 0 if there was no response. ``error`` is the API's error code, or
    ``unreachable``, ``connection_lost`` or ``bad_answer`` if the client detected the
    error. ``version`` is the document's version, as returned with a conflict.
    """

    status: int
    error: str
    message: str
    outcome: CallOutcome
    request_id: str = ""
    retry_after_ms: int = 0
    version: Offset | None = None
    problems: tuple[Problem, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """The complete response of an upstream to a request."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    served_by: str


class _View(BaseModel):
    """A response body of the API; fields of later API versions are kept."""

    model_config = ConfigDict(extra="allow", frozen=True)


class JobView(_View):
    """A job; ``tasks`` counts its tasks by state."""

    id: str
    team: str
    kind: str
    state: JobState
    durability: str
    reason: str = ""
    tasks: dict[str, int]


class JobListView(_View):
    """The jobs of a team."""

    jobs: list[JobView]


class TaskView(_View):
    """The state of one task and the reason for it, or what the task waits for."""

    task: str
    state: str
    worker: str = ""
    why: str


class ExplanationView(_View):
    """The states of a job's tasks, with the reasons."""

    id: str
    tasks: list[TaskView]


class DocumentView(_View):
    """One configuration document."""

    path: ConfigPath
    version: Offset
    text: str


class ConfigView(_View):
    """All configuration documents as of an offset of the log."""

    offset: Offset
    documents: list[DocumentView]


class ChangeView(_View):
    """The result of a change; ``version`` is the document's new version."""

    version: Offset


class VersionView(_View):
    """One version of a document; an empty text means that it was deleted."""

    version: Offset
    text: str


class HistoryView(_View):
    """The versions of a document that a member has seen."""

    versions: list[VersionView]


class StatusView(_View):
    """The state of the fleet as seen by one member."""


class DrainView(_View):
    """The confirmation that the member has begun to stop."""


class ErrorView(_View):
    """The error object in the response to a failed call."""

    error: str
    message: str = ""
    outcome: CallOutcome | None = None
    retry_after_ms: int = 0
    version: Offset | None = None
    problems: list[Problem] = []
