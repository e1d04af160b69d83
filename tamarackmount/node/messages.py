"""Messages between entry VMs; ``node_peer.capnp`` has a struct of each one's name."""

import logging
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class JobStored:
    """Tells the holder that the store has a job; ``record`` is the stored record."""

    record: bytes


@dataclass(frozen=True, slots=True)
class StoreQuery:
    """Asks the holder to store a record along with its own.

    ``key`` and ``value`` are those of the store's record.
    """

    call_id: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Answers a ``StoreQuery``.

    ``stored`` is the value of a ``StoreOutcome``: ``yes``, ``no``, ``unknown`` or
    ``refused``. ``retry_after_s`` is the time to wait after a refusal, otherwise 0.
    """

    call_id: int
    stored: str
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class CancelStored:
    """Tells the holder that the store has the cancellation of a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class PhaseQuery:
    """Asks the holder, or another node that follows the store, for a job's phase.

    With ``read_store``, the node reads the store to its end if it does not know the
    job: the one that asks does not follow, and can't read itself.
    """

    call_id: int
    job_id: str
    read_store: bool = False


@dataclass(frozen=True, slots=True)
class PhaseReply:
    """Answers a ``PhaseQuery``; an empty phase means that the job isn't known.

    ``is_denied`` is set if the node has read the store to its end without finding the
    job. ``cause`` says why a job has failed.
    """

    call_id: int
    phase: str
    is_denied: bool = False
    cause: str = ""


@dataclass(frozen=True, slots=True)
class WaitingQuery:
    """Asks a node that follows the store how many jobs of a queue have not started."""

    call_id: int
    queue: str


@dataclass(frozen=True, slots=True)
class WaitingReply:
    """Answers a ``WaitingQuery``; the count ``is_known`` if the node follows."""

    call_id: int
    is_known: bool
    count: int = 0


@dataclass(frozen=True, slots=True)
class AdviceQuery:
    """Asks an entry VM to send a request to the advice service for the holder."""

    call_id: int
    job_id: str
    occurrence: int
    step: int
    workers: list[str] = field(default_factory=list)
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdviceReply:
    """Answers an ``AdviceQuery``.

    ``answered`` is false if the advice service did not answer.
    """

    call_id: int
    answered: bool
    workers: list[str] = field(default_factory=list)
    tickets: list[str] = field(default_factory=list)
    valid_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreAgeQuery:
    """Asks other entry VMs whether they reach the store.

    With ``read_now`` the node reads the store first, unless it has just done so. With
    ``contact_only`` any answer will do.
    """

    call_id: int
    read_now: bool = False
    contact_only: bool = False


@dataclass(frozen=True, slots=True)
class StoreAgeReply:
    """Answers a ``StoreAgeQuery``.

    ``age_ms`` is the time since the node last had contact with the store.
    ``slowdown_percent`` compares its processor with its own best: 100 if it is as fast.
    """

    call_id: int
    age_ms: int
    slowdown_percent: int = 100


@dataclass(frozen=True, slots=True)
class HolderReleased:
    """Tells other entry VMs that the holder has changed or released its role.

    They read the store's newest record of the holder then. With ``is_holder``, the
    sender is the holder under ``epoch``: those that can't read the store send it their
    callers' records. With ``is_successor``, the receiver claims first.
    """

    epoch: int
    is_holder: bool = False
    is_successor: bool = False


@dataclass(frozen=True, slots=True)
class EvacuationSeen:
    """Tells the holder that the operator has evacuated a data centre, or returned it.

    ``offset`` is that of the operator's record; the later one of a data centre counts.
    """

    data_centre: str
    offset: int
    is_evacuated: bool


E = TypeVar("E", bound=Enum)


def enum_value(kind: type[E], value: str) -> E | None:
    """Return the member of an enum that a message names.

    Return None for a value that this version does not know: a node of another version
    may send it.
    """
    try:
        return kind(value)
    except ValueError:
        _log.warning(
            "message has an unknown value; ignored",
            extra={"type": kind.__name__, "value": value},
        )
        return None


NodeMessage = (
    JobStored
    | CancelStored
    | StoreQuery
    | StoreReply
    | StoreAgeQuery
    | StoreAgeReply
    | PhaseQuery
    | PhaseReply
    | WaitingQuery
    | WaitingReply
    | AdviceQuery
    | AdviceReply
    | HolderReleased
    | EvacuationSeen
)
"""Any message between entry VMs of a platform deployment."""
