"""Asking other nodes about a job."""

from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant, JobId, MemberId
from tamarackmount.node.http_api import PhaseLookupFailure
from tamarackmount.node.messages import PhaseQuery, PhaseReply, enum_value
from tamarackmount.node.peer_calls import PeerCalls
from tamarackmount.node.tasks import spawn
from tamarackmount.scheduling.domain.model import FailureCause, JobPhase

KNOWN_JOB_TIMEOUT_S = 0.3
"""Timeout of the question whether a job is known, in seconds; nodes that can be reached
answer within a few milliseconds."""

MAX_TIME_FRACTION = 0.5
"""Largest part of the time that the caller still waits that the question may take,
without unit; the rest is for the answer to the caller."""


async def is_known_at(
    reactor: Any,
    peer_calls: PeerCalls,
    nodes: Sequence[MemberId],
    job_id: JobId,
    deadline: Instant,
) -> bool:
    """Tell whether one of ``nodes`` knows a job; ``deadline`` is the caller's.

    All nodes are asked at once, and the first that knows the job decides. They do not
    read the store for it, which may be away.
    """
    left_s = (deadline - reactor.seconds()) * MAX_TIME_FRACTION
    timeout_s = min(KNOWN_JOB_TIMEOUT_S, left_s)
    if timeout_s <= 0 or not nodes:
        return False
    is_known: Deferred[bool] = Deferred()
    unanswered = set(nodes)

    async def ask(node: MemberId) -> None:
        query = PhaseQuery(peer_calls.next_call_id(), job_id)
        reply = await peer_calls.call(node, query, timeout_s)
        unanswered.discard(node)
        if is_known.called:
            return
        if isinstance(reply, PhaseReply) and reply.phase:
            is_known.callback(True)
        elif not unanswered:
            is_known.callback(False)

    for node in nodes:
        spawn(ask(node))
    return await is_known


async def ask_failure_cause(
    peer_calls: PeerCalls, nodes: Sequence[MemberId], job_id: JobId, timeout_s: float
) -> FailureCause | None:
    """Return why a job has failed, as the first of ``nodes`` tells that knows it.

    Each has ``timeout_s`` seconds.
    """
    for node in nodes:
        query = PhaseQuery(peer_calls.next_call_id(), job_id)
        reply = await peer_calls.call(node, query, timeout_s)
        if isinstance(reply, PhaseReply) and reply.cause:
            return enum_value(FailureCause, reply.cause)
    return None


async def ask_in_turn(
    peer_calls: PeerCalls, nodes: Sequence[MemberId], job_id: JobId, timeout_s: float
) -> JobPhase | PhaseLookupFailure:
    """Return the phase that the first of ``nodes`` tells that knows it.

    Each may read the store for it, and has ``timeout_s`` seconds.
    """
    for node in nodes:
        query = PhaseQuery(peer_calls.next_call_id(), job_id, read_store=True)
        reply = await peer_calls.call(node, query, timeout_s)
        if not isinstance(reply, PhaseReply):
            continue
        phase = enum_value(JobPhase, reply.phase) if reply.phase else None
        if phase is not None:
            return phase
        if reply.is_denied:
            return PhaseLookupFailure.NOT_SUBMITTED
    return PhaseLookupFailure.UNAVAILABLE
