"""What the callers' interface answers, as typed values."""

from dataclasses import dataclass, field
from enum import Enum

from pydantic import BaseModel, ConfigDict

from tamarackmount.http_calls import Header
from tamarackmount.ids import ConfigPath, Offset
from tamarackmount.problems import Problem


class CallOutcome(Enum):
    """What became of a call that was not answered."""

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
"""States that a job doesn't leave."""


@dataclass(frozen=True, slots=True)
class CallError:
    """Why a call got no answer.

    ``status`` is 0 if no response came. ``error`` is the interface's name for the
    error, or ``unreachable``, ``connection_lost`` or ``bad_answer`` if this end
    found it. ``version`` is the document's version that a conflict tells.
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
class Answer:
    """An upstream's whole answer to a request."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    served_by: str


class _View(BaseModel):
    """An answer of the interface; fields of later versions are kept."""

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
    """Why one task is where it is, or what it waits for."""

    task: str
    state: str
    worker: str = ""
    why: str


class ExplanationView(_View):
    """Why the tasks of a job are where they are."""

    id: str
    tasks: list[TaskView]


class DocumentView(_View):
    """One configuration document."""

    path: ConfigPath
    version: Offset
    text: str


class ConfigView(_View):
    """Every configuration document, up to an offset of the log."""

    offset: Offset
    documents: list[DocumentView]


class ChangeView(_View):
    """What became of a change; ``version`` is the new one."""

    version: Offset


class VersionView(_View):
    """One version of a document; an empty text is a deletion."""

    version: Offset
    text: str


class HistoryView(_View):
    """Versions of a document that a member has seen."""

    versions: list[VersionView]


class StatusView(_View):
    """The fleet as one member sees it."""


class DrainView(_View):
    """The member has begun to stop."""


class ErrorView(_View):
    """The error object."""

    error: str
    message: str = ""
    outcome: CallOutcome | None = None
    retry_after_ms: int = 0
    version: Offset | None = None
    problems: list[Problem] = []
