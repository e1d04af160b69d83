"""Callers' jobs on one node: storing, cancelling and looking up their phase."""

import logging
import random
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure

from tamarackmount.ids import Instant, JobId, MemberId, QueueName
from tamarackmount.node import clock
from tamarackmount.node.context import JOBS_TOPIC, NodeContext
from tamarackmount.node.holder_election import HolderElection
from tamarackmount.node.http_api import (
    STORE_RETRY_AFTER_S,
    ApiResponse,
    Canceller,
    HttpStatus,
    PhaseLookupFailure,
)
from tamarackmount.node.job_limits import JobLimit, JobLimits
from tamarackmount.node.jobs_follower import JobsFollower
from tamarackmount.node.known_jobs import (
    ask_failure_cause,
    ask_in_turn,
    is_known_at,
)
from tamarackmount.node.messages import (
    CancelStored,
    JobStored,
    NodeMessage,
    PhaseQuery,
    PhaseReply,
    StoreQuery,
    WaitingQuery,
    WaitingReply,
    enum_value,
)
from tamarackmount.node.node_registry import NodeRegistry
from tamarackmount.node.record_relay import RecordRelay
from tamarackmount.node.store_contact import StoreContact
from tamarackmount.node.submissions import (
    StoreOutcome,
    StoreResult,
    Submissions,
)
from tamarackmount.node.tasks import spawn_answer
from tamarackmount.platform.store import KeyedRecord, encoded_bytes
from tamarackmount.scheduling.admission.admission import add_jitter
from tamarackmount.scheduling.admission.retry_times import store_retry_s
from tamarackmount.scheduling.domain.accepted_job import AcceptedJob
from tamarackmount.scheduling.domain.fleet_config import FleetConfig, Queue
from tamarackmount.scheduling.domain.model import FailureCause, JobPhase, describe_steps
from tamarackmount.scheduling.store.journal import (
    CancelRecord,
    RecordKind,
    decode_record,
    encode_record,
    job_key,
    record_key,
    split_key,
)
from tamarackmount.scheduling.store.record_limits import max_steps_per_job

PHASE_TIMEOUT_S = 0.3
"""Timeout of a query about a job to another node, in seconds; after it, the stored
phase is used or the next node asked."""

MAX_NODES_ASKED = 4
"""Maximum number of nodes that are asked one question, one after the other: all of them
together take less than half of the time that callers wait."""

_RESPONSE_BY_OUTCOME = {
    StoreOutcome.STORED: ApiResponse(HttpStatus.OK),
    StoreOutcome.NOT_STORED: ApiResponse(
        HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=STORE_RETRY_AFTER_S
    ),
    StoreOutcome.UNKNOWN: ApiResponse(HttpStatus.GATEWAY_TIMEOUT),
}

_STATUS_BY_LIMIT = {
    JobLimit.LARGE_JOBS: HttpStatus.SERVICE_UNAVAILABLE,
    JobLimit.PENDING_JOBS: HttpStatus.SERVICE_UNAVAILABLE,
    JobLimit.KEPT_JOBS: HttpStatus.TOO_MANY_REQUESTS,
}

_log = logging.getLogger(__name__)


def _cancellation_by(canceller: Canceller) -> CancelRecord:
    """Return the cancellation of a job that is not known, for its owner only."""
    queue = canceller.public_queue
    return CancelRecord(
        clock.unix_ms(),
        [canceller.workspace_id],
        [] if queue is None else [queue],
    )


class JobService:
    """Serves callers from the store, the holder and the node's own job index."""

    def __init__(
        self,
        context: NodeContext,
        registry: NodeRegistry,
        election: HolderElection,
        follower: JobsFollower,
        store_contact: StoreContact,
        limits: JobLimits,
    ) -> None:
        """Serve the jobs that ``follower`` reads and those that other nodes know."""
        self._limits = limits
        self._store_contact = store_contact
        self._context = context
        self._registry = registry
        self._election = election
        self._follower = follower
        self._rng = random.Random()
        relay = RecordRelay(
            context, election, limits, self._may_reach, self.apply_records
        )
        self._submissions = Submissions(
            context.reactor,
            context.store,
            JOBS_TOPIC,
            relay.store,
            lambda: not store_contact.is_lost,
            lambda: store_contact.may_be_cut_off,
        )
        self.handlers: dict[type, Callable[[MemberId, Any], None]] = {
            JobStored: self._handle_job_stored,
            CancelStored: self._handle_cancel_stored,
            PhaseQuery: self._handle_phase_query,
            WaitingQuery: self._handle_waiting_query,
            StoreQuery: relay.handle_store_query,
        }

    @property
    def fleet(self) -> FleetConfig | None:
        """The configuration in force, or ``None`` before the first one is read."""
        return self._context.fleet

    @property
    def sends_callers_away(self) -> bool:
        """Whether callers should come back through another node.

        They do so if their connections are closed while this node is not ready.
        """
        return self._context.is_draining or self._store_contact.is_lost

    @property
    def max_steps(self) -> int:
        """A number of steps above which no job can be stored."""
        return max_steps_per_job(self._context.store.max_record_bytes)

    def apply_records(self, records: Sequence[KeyedRecord]) -> None:
        """Apply records of the jobs topic."""
        for record in records:
            self._context.job_index.apply(record.key, record.value)
            self._notify_local_holder(record)
        kept_bytes = self._context.job_index.kept_bytes
        self._context.metrics.set_kept_job_bytes(kept_bytes)

    async def wait_turn(self, size: int, deadline: Instant) -> bool:
        """Wait until a body of ``size`` bytes may be decoded; False if it may not."""
        return await self._limits.turns.wait_turn(size, deadline)

    async def refuse_large(self, job_id: JobId, deadline: Instant) -> ApiResponse:
        """Return the response for a job whose body may not be decoded."""
        return await self._refuse(job_id, JobLimit.LARGE_JOBS, deadline)

    async def submit(self, job: AcceptedJob, deadline: Instant) -> ApiResponse:
        """Accept or refuse a job; it is accepted once the store has it."""
        if self._context.job_index.phase(job.job_id) is not None:
            return ApiResponse(HttpStatus.OK)
        record = KeyedRecord(job_key(job), encode_record(job))
        max_bytes = self._context.store.max_record_bytes
        if encoded_bytes(record) > max_bytes:
            extra = {"job": job.job_id, "bytes": encoded_bytes(record)}
            _log.info("job rejected: record too large", extra=extra)
            return ApiResponse(HttpStatus.TOO_LARGE)
        reservation = self._limits.try_reserve(job.job_id, record.value)
        if isinstance(reservation, JobLimit):
            return await self._refuse(job.job_id, reservation, deadline)
        try:
            return await self._store_job(job, record, deadline)
        finally:
            self._limits.release(reservation)

    async def cancel(
        self, job_id: JobId, canceller: Canceller, deadline: Instant
    ) -> ApiResponse:
        """Cancel a job; it is cancelled once the store has the cancellation.

        That of an unknown job is stored too: its record may be on its way at another
        node, or in the store itself.
        """
        phase = await self.phase(job_id)
        if isinstance(phase, JobPhase):
            if phase.is_final:
                return ApiResponse(HttpStatus.OK)
            cancellation = CancelRecord(clock.unix_ms())
            message = CancelStored(job_id)
            return await self._store_cancel(job_id, cancellation, message, deadline)
        cancellation = _cancellation_by(canceller)
        known = self._context.job_index.jobs_by_id.get(job_id)
        former = known.cancellation if known is not None else None
        response = ApiResponse(HttpStatus.OK)
        if former is None or not former.includes(cancellation):
            if former is not None:
                cancellation = former.merged_with(cancellation)
            response = await self._store_cancel(job_id, cancellation, None, deadline)
        is_unknown = phase is PhaseLookupFailure.NOT_SUBMITTED
        if is_unknown and response.status is HttpStatus.OK:
            return ApiResponse(HttpStatus.GONE)
        return response

    async def _store_cancel(
        self,
        job_id: JobId,
        cancellation: CancelRecord,
        message: CancelStored | None,
        deadline: Instant,
    ) -> ApiResponse:
        """Store a cancellation; tell the holder of it by ``message``, if there is one.

        Without it the holder applies the record once it has read it.
        """
        key = record_key(RecordKind.CANCEL, job_id)
        record = KeyedRecord(key, encode_record(cancellation))
        result = await self._submissions.store(record, deadline)
        extra = {
            "job": job_id,
            "stored": result.outcome.value,
            "known": message is not None,
        }
        _log.info("job cancelled", extra=extra)
        if result.outcome is StoreOutcome.STORED:
            self._handle_stored(record, message)
        if result.outcome is StoreOutcome.REFUSED:
            return ApiResponse(
                HttpStatus.TOO_MANY_REQUESTS, retry_after_s=result.retry_after_s
            )
        return _RESPONSE_BY_OUTCOME[result.outcome]

    async def phase(self, job_id: JobId) -> JobPhase | PhaseLookupFailure:
        """Return a job's phase, or why there is none.

        Only a node that has read the store to its end can tell that there is no such
        job.
        """
        if not self._follower.has_snapshot:
            return await self._ask_followers(job_id)
        job_index = self._context.job_index
        indexed_phase = job_index.phase(job_id)
        if indexed_phase is not None and indexed_phase.is_final:
            return indexed_phase
        if self._election.holder is not None:
            phase_at_holder = self._election.holder.phase(job_id)
        else:
            phase_at_holder = await self._ask_holder(job_id)
        if phase_at_holder is not None:
            return phase_at_holder
        if indexed_phase is not None:
            return indexed_phase
        return await self._read_phase(job_id)

    async def failure_cause(self, job_id: JobId) -> FailureCause | None:
        """Return why a job has failed; ``None`` if that can't be told now."""
        holder = self._election.holder
        cause = holder.failure_cause(job_id) if holder is not None else None
        cause = cause or self._context.job_index.failure_cause(job_id)
        if cause is not None:
            return cause
        return await ask_failure_cause(
            self._context.peer_calls, self._nodes_to_ask(), job_id, PHASE_TIMEOUT_S
        )

    async def waiting_count(self, queue: Queue) -> int | None:
        """Return how many jobs of a queue have not started, or None if unknown."""
        if self._follower.has_snapshot:
            return self._context.job_index.waiting_count(queue.name)
        peers = self._context.peer_calls
        for node in self._nodes_to_ask():
            query = WaitingQuery(peers.next_call_id(), queue.name)
            reply = await peers.call(node, query, PHASE_TIMEOUT_S)
            if isinstance(reply, WaitingReply) and reply.is_known:
                return reply.count
        return None

    @property
    def can_look_up(self) -> bool:
        """Whether this node can tell the phase of jobs, from its index or by asking."""
        if self._follower.is_following:
            return self._follower.has_snapshot
        return any(self._context.links.is_open(node) for node in self._nodes_to_ask())

    async def _store_job(
        self, job: AcceptedJob, record: KeyedRecord, deadline: Instant
    ) -> ApiResponse:
        started_at = clock.now()
        came_again = self._limits.has_other_copy(job.job_id, own_copies=1)
        result = await self._submissions.store(record, deadline)
        came_again |= self._limits.has_other_copy(job.job_id, own_copies=1)
        if result.outcome is StoreOutcome.NOT_STORED and await self._is_known(
            job.job_id, deadline
        ):
            # A refusal would tell the caller that the job never runs.
            _log.info("job submitted again; known", extra={"job": job.job_id})
            return ApiResponse(HttpStatus.OK)
        if came_again and result.outcome is not StoreOutcome.STORED:
            result = result.with_outcome_unknown()
        self._report_submission(job, result, clock.now() - started_at, deadline)
        if result.outcome is StoreOutcome.STORED:
            self._handle_stored(record, JobStored(record.value))
        if result.outcome is StoreOutcome.REFUSED:
            return ApiResponse(
                HttpStatus.TOO_MANY_REQUESTS, retry_after_s=result.retry_after_s
            )
        if result.outcome is StoreOutcome.NOT_STORED:
            remaining_s = deadline - clock.now()
            retry_after_s = add_jitter(store_retry_s(remaining_s), self._rng)
            return ApiResponse(
                HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=retry_after_s
            )
        return _RESPONSE_BY_OUTCOME[result.outcome]

    async def _refuse(
        self, job_id: JobId, limit: JobLimit, deadline: Instant
    ) -> ApiResponse:
        """Refuse a job that exceeds a limit, unless it may be accepted already."""
        came_again = self._limits.has_other_copy(job_id, own_copies=0)
        if await self._is_known(job_id, deadline):
            return ApiResponse(HttpStatus.OK)
        if came_again or self._limits.has_other_copy(job_id, own_copies=0):
            _log.info("job submitted again; outcome unknown", extra={"job": job_id})
            return ApiResponse(HttpStatus.GATEWAY_TIMEOUT)
        retry_after_s = self._limits.refuse(job_id, limit)
        return ApiResponse(_STATUS_BY_LIMIT[limit], retry_after_s=retry_after_s)

    async def _is_known(self, job_id: JobId, deadline: Instant) -> bool:
        """Tell whether this node or others know a job that was submitted again."""
        context = self._context
        holder = self._election.holder
        if holder is not None and holder.phase(job_id) is not None:
            return True
        if context.job_index.phase(job_id) is not None:
            return True
        return await is_known_at(
            context.reactor,
            context.peer_calls,
            self._nodes_to_ask(),
            job_id,
            deadline,
        )

    async def _read_phase(self, job_id: JobId) -> JobPhase | PhaseLookupFailure:
        """Return the phase of a job that is not in the index, from the store."""
        has_read_all = await self._follower.read_now()
        stored_phase = self._context.job_index.phase(job_id)
        if stored_phase is not None:
            return stored_phase
        return (
            PhaseLookupFailure.NOT_SUBMITTED
            if has_read_all
            else PhaseLookupFailure.UNAVAILABLE
        )

    async def _ask_followers(self, job_id: JobId) -> JobPhase | PhaseLookupFailure:
        """Return the phase that the holder or another follower tells."""
        nodes = self._nodes_to_ask()
        return await ask_in_turn(
            self._context.peer_calls, nodes, job_id, PHASE_TIMEOUT_S
        )

    def _nodes_to_ask(self) -> list[MemberId]:
        """Return the holder and some followers, in the order to ask them."""
        holder = self._election.holder_node
        nodes = [
            node for node in self._follower.reachable_followers() if node != holder
        ]
        if holder is not None and holder != self._context.node_id:
            nodes.insert(0, holder)
        reachable = [node for node in nodes if self._may_reach(node)]
        return reachable[:MAX_NODES_ASKED]

    def _may_reach(self, node: MemberId) -> bool:
        """Tell whether a node may answer: none beyond a cut does."""
        return not self._store_contact.is_cut_off or self._registry.is_local(node)

    def _report_submission(
        self, job: AcceptedJob, result: StoreResult, took_s: float, deadline: Instant
    ) -> None:
        fleet = self._context.fleet
        self._context.metrics.record_store_result(result.outcome.value, took_s)
        extra = {
            "job": job.job_id,
            "queue": job.queue_name,
            "team": job.workspace_id,
            "steps": describe_steps(job.spec.steps),
            "stored": result.outcome.value,
            "took_s": round(took_s, 3),
            "left_s": round(deadline - clock.now(), 3),
            "config": fleet.version if fleet is not None else None,
            "holder": self._election.holder_node,
        }
        # The message is kept for operators' tools: the job was submitted.
        _log.info("job handed in", extra=extra)

    async def _ask_holder(self, job_id: JobId) -> JobPhase | None:
        node = self._election.holder_node
        if node is None or node == self._context.node_id or not self._may_reach(node):
            return None
        peers = self._context.peer_calls
        query = PhaseQuery(peers.next_call_id(), job_id)
        reply = await peers.call(node, query, PHASE_TIMEOUT_S)
        if not isinstance(reply, PhaseReply) or not reply.phase:
            return None
        return enum_value(JobPhase, reply.phase)

    def _handle_stored(self, record: KeyedRecord, message: NodeMessage | None) -> None:
        """Apply a stored record, and tell the holder by a message, if there is one."""
        if self._follower.is_following:
            self._context.job_index.apply(record.key, record.value)
        if self._election.holder is not None:
            self._notify_local_holder(record)
            return
        node = self._election.holder_node
        if message is None or node is None or node == self._context.node_id:
            return
        self._context.links.send(node, message)

    def _notify_local_holder(self, record: KeyedRecord) -> None:
        """Tell the holder, if it is on this node, of a job or a cancellation."""
        holder = self._election.holder
        key_parts = split_key(record.key)
        if holder is None or key_parts is None:
            return
        kind, name = key_parts
        known = self._context.job_index.jobs_by_id.get(JobId(name))
        if known is None or known.accepted is None:
            return
        if kind is RecordKind.JOB:
            holder.handle_job_stored(JobId(name))
        elif kind is RecordKind.CANCEL and known.is_cancelled:
            holder.handle_cancel_stored(JobId(name))

    def _handle_job_stored(self, _sender: MemberId, message: JobStored) -> None:
        decoded = decode_record(message.record, AcceptedJob)
        if isinstance(decoded, Failure):
            _log.warning(
                "job message not readable; ignored", extra={"reason": decoded.failure()}
            )
            return
        if self._follower.is_following:
            record = KeyedRecord(job_key(decoded.unwrap()), message.record)
            self.apply_records([record])

    def _handle_cancel_stored(self, _sender: MemberId, message: CancelStored) -> None:
        if self._election.holder is not None:
            self._election.holder.handle_cancel_stored(JobId(message.job_id))

    def _handle_phase_query(self, sender: MemberId, query: PhaseQuery) -> None:
        spawn_answer(self._answer_phase_query(sender, query))

    async def _answer_phase_query(self, sender: MemberId, query: PhaseQuery) -> None:
        job_id = JobId(query.job_id)
        holder = self._election.holder
        phase: JobPhase | PhaseLookupFailure | None = None
        if holder is not None:
            phase = holder.phase(job_id)
        elif self._follower.has_snapshot:
            phase = self._context.job_index.phase(job_id)
        if phase is None and query.read_store:
            phase = await self._read_phase(job_id)
        cause = None
        if phase is JobPhase.FAILED:
            source = holder or self._context.job_index
            cause = source.failure_cause(job_id)
        reply = PhaseReply(
            query.call_id,
            phase.value if isinstance(phase, JobPhase) else "",
            phase is PhaseLookupFailure.NOT_SUBMITTED,
            cause.value if cause is not None else "",
        )
        self._context.links.send(sender, reply)

    def _handle_waiting_query(self, sender: MemberId, query: WaitingQuery) -> None:
        is_known = self._follower.has_snapshot
        queue = QueueName(query.queue)
        count = self._context.job_index.waiting_count(queue) if is_known else 0
        self._context.links.send(sender, WaitingReply(query.call_id, is_known, count))
