"""Messages between entry VMs; ``node_peer.capnp`` has a struct for each."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class JobStored:
    """The store has accepted a job; ``record`` is its record there."""

    record: bytes


@dataclass(frozen=True, slots=True)
class StoreQuery:
    """Asks the holder to store a record along with its own."""

    call_id: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Answer: ``yes``, ``no``, ``unknown`` or ``refused``.

    ``retry_after_s`` is when to come back after a refusal, 0 without one.
    """

    call_id: int
    stored: str
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class CancelStored:
    """The store has accepted a job's cancelling."""

    job_id: str


@dataclass(frozen=True, slots=True)
class PhaseQuery:
    """Question to the holder for a job's phase."""

    call_id: int
    job_id: str


@dataclass(frozen=True, slots=True)
class PhaseReply:
    """Answer; an empty phase means that the job isn't known."""

    call_id: int
    phase: str


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """The holder asks for a question to the policy service on its behalf."""

    call_id: int
    job_id: str
    occurrence: int
    step: int
    workers: list[str] = field(default_factory=list)
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdviceReply:
    """Answer; ``answered`` is false when the service gave none."""

    call_id: int
    answered: bool
    workers: list[str] = field(default_factory=list)
    tickets: list[str] = field(default_factory=list)
    valid_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreAgeQuery:
    """The holder, without the store, asks whether others reach it."""

    call_id: int


@dataclass(frozen=True, slots=True)
class StoreAgeReply:
    """Answer: milliseconds since the node last heard the store."""

    call_id: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class HolderReleased:
    """The holder stops and has written so to the store."""

    epoch: int


NodeMessage = (
    JobStored
    | CancelStored
    | StoreQuery
    | StoreReply
    | StoreAgeQuery
    | StoreAgeReply
    | PhaseQuery
    | PhaseReply
    | AdviceQuery
    | AdviceReply
    | HolderReleased
)
"""Any message between entry VMs of a platform deployment."""
