"""Callers' jobs on one node: storing, cancelling and telling how far they are."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure

from tamarackmount.ids import Instant, JobId, MemberId
from tamarackmount.node import clock
from tamarackmount.node.context import JOBS_TOPIC, NodeContext
from tamarackmount.node.holder_election import HolderElection
from tamarackmount.node.http_api import (
    STORE_RETRY_AFTER_S,
    ApiResponse,
    HttpStatus,
    PhaseLookupFailure,
)
from tamarackmount.node.messages import (
    CancelStored,
    JobStored,
    NodeMessage,
    PhaseQuery,
    PhaseReply,
    StoreQuery,
    StoreReply,
)
from tamarackmount.node.submissions import (
    NOT_STORED,
    StoreOutcome,
    StoreResult,
    Submissions,
)
from tamarackmount.node.tasks import spawn
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.fleet_config import FleetConfig, Queue
from tamarackmount.scheduling.journal import (
    CancelRecord,
    RecordKind,
    decode_record,
    encode_record,
    job_key,
    record_key,
    split_key,
)
from tamarackmount.scheduling.model import JobPhase, describe_step

PHASE_TIMEOUT_S = 0.3
"""Longest wait for the holder's word on a job, in seconds; then the store's counts."""

_ANSWER_BY_STORED = {
    StoreOutcome.STORED: ApiResponse(HttpStatus.OK),
    StoreOutcome.NOT_STORED: ApiResponse(
        HttpStatus.SERVICE_UNAVAILABLE, retry_after_s=STORE_RETRY_AFTER_S
    ),
    StoreOutcome.UNKNOWN: ApiResponse(HttpStatus.GATEWAY_TIMEOUT),
}

MAX_STORE_SILENCE_S = 1.5
"""A node that has not heard the store for this long is cut off from it, in seconds: its
reads are answered each second, by a slow store half a second later."""

_log = logging.getLogger(__name__)


class JobService:
    """Answers callers from the store's word, the holder's and the node's own book."""

    def __init__(
        self, context: NodeContext, holding: HolderElection, jobs_tail: TopicTail
    ) -> None:
        """Serve what ``jobs_tail`` reads and the holder knows."""
        self._context = context
        self._holding = holding
        self._jobs_tail = jobs_tail
        self._submissions = Submissions(
            context.reactor, context.store, JOBS_TOPIC, self._relay, self._hears_store
        )
        self.handlers: dict[type, Callable[[MemberId, Any], None]] = {
            JobStored: self._hear_job,
            CancelStored: self._hear_cancel,
            PhaseQuery: self._hear_phase_query,
            StoreQuery: self._hear_store_query,
        }

    @property
    def fleet(self) -> FleetConfig | None:
        """The configuration, if there is one."""
        return self._context.fleet

    def _hears_store(self) -> bool:
        tails = (self._jobs_tail, self._holding.tail)
        heard = [tail.last_contact for tail in tails if tail.last_contact is not None]
        now = self._context.reactor.seconds()
        return not heard or now <= max(heard) + MAX_STORE_SILENCE_S

    @property
    def is_draining(self) -> bool:
        """Whether the node stops, so that connections should end."""
        return self._context.is_draining

    def apply_records(self, records: Sequence[KeyedRecord]) -> None:
        """Take records of the jobs' topic."""
        for record in records:
            self._context.job_index.apply(record.key, record.value)
            self._pass_on(record)

    async def submit(self, job: AcceptedJob, deadline: Instant) -> ApiResponse:
        """Accept or refuse a job; the store's answer decides."""
        if self._context.job_index.phase(job.job_id) is not None:
            return ApiResponse(HttpStatus.OK)
        record = KeyedRecord(job_key(job), encode_record(job))
        begun = clock.now()
        word = await self._submissions.store(record, deadline)
        self._note(job, word, clock.now() - begun, deadline)
        if word.outcome is StoreOutcome.STORED:
            self._stored(record, JobStored(record.value))
        if word.outcome is StoreOutcome.REFUSED:
            return ApiResponse(
                HttpStatus.TOO_MANY_REQUESTS, retry_after_s=word.retry_after_s
            )
        return _ANSWER_BY_STORED[word.outcome]

    async def cancel(self, job_id: JobId, deadline: Instant) -> ApiResponse:
        """Cancel a job; the store's answer decides."""
        phase = await self.phase(job_id)
        if phase is PhaseLookupFailure.NOT_SUBMITTED:
            return ApiResponse(HttpStatus.GONE)
        # One that can't be looked up now is cancelled all the same, if there is one.
        if isinstance(phase, JobPhase) and phase.is_final:
            return ApiResponse(HttpStatus.OK)
        key = record_key(RecordKind.CANCEL, job_id)
        record = KeyedRecord(key, encode_record(CancelRecord(clock.unix_ms())))
        word = await self._submissions.store(record, deadline)
        _log.info("job cancelled", extra={"job": job_id, "stored": word.outcome.value})
        if word.outcome is StoreOutcome.STORED:
            self._stored(record, CancelStored(job_id))
        return _ANSWER_BY_STORED[word.outcome]

    async def phase(self, job_id: JobId) -> JobPhase | PhaseLookupFailure:
        """Return a job's phase, or why there is none.

        Only a node that has read the store to its end knows that there is no job.
        """
        book = self._context.job_index
        known = book.phase(job_id)
        if known is not None and known.is_final:
            return known
        if self._holding.holder is not None:
            told = self._holding.holder.phase(job_id)
        else:
            told = await self._ask_holder(job_id)
        if told is not None:
            return told
        if known is not None:
            return known
        is_whole = await self._jobs_tail.read_to_end()
        found = book.phase(job_id)
        if found is not None:
            return found
        return (
            PhaseLookupFailure.NOT_SUBMITTED
            if is_whole
            else PhaseLookupFailure.UNAVAILABLE
        )

    def waiting_count(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not begun."""
        return self._context.job_index.waiting_count(queue.name)

    def _note(
        self, job: AcceptedJob, word: StoreResult, took_s: float, deadline: Instant
    ) -> None:
        fleet = self._context.fleet
        self._context.metrics.record_store_result(word.outcome.value, took_s)
        extra = {
            "job": job.job_id,
            "queue": job.queue,
            "team": job.team_id,
            "steps": [describe_step(step) for step in job.spec.steps],
            "stored": word.outcome.value,
            "took_s": round(took_s, 3),
            "left_s": round(deadline - clock.now(), 3),
            "config": fleet.version if fleet is not None else None,
            "holder": self._holding.holder_node,
        }
        _log.info("job handed in", extra=extra)

    async def _relay(self, record: KeyedRecord, timeout_s: float) -> StoreResult | None:
        """Ask the holder to store a record."""
        if self._holding.holder is not None:
            return await self._holding.holder.store(record)
        node = self._holding.holder_node
        if node is None or not self._context.links.is_open(node):
            return None
        peers = self._context.peer_calls
        query = StoreQuery(peers.next_call_id(), record.key, record.value)
        reply = await peers.call(node, query, timeout_s)
        if not isinstance(reply, StoreReply):
            return StoreResult(StoreOutcome.UNKNOWN)
        return StoreResult(StoreOutcome(reply.stored), reply.retry_after_s)

    async def _ask_holder(self, job_id: JobId) -> JobPhase | None:
        node = self._holding.holder_node
        if node is None or node == self._context.node_id:
            return None
        peers = self._context.peer_calls
        query = PhaseQuery(peers.next_call_id(), job_id)
        reply = await peers.call(node, query, PHASE_TIMEOUT_S)
        if not isinstance(reply, PhaseReply) or not reply.phase:
            return None
        return JobPhase(reply.phase)

    def _stored(self, record: KeyedRecord, news: NodeMessage) -> None:
        """Take a record that the store holds, and tell the holder."""
        self._context.job_index.apply(record.key, record.value)
        if self._holding.holder is not None:
            self._pass_on(record)
            return
        node = self._holding.holder_node
        if node is not None and node != self._context.node_id:
            self._context.links.send(node, news)

    def _pass_on(self, record: KeyedRecord) -> None:
        """Tell the holder, if it is this node, of a job or a cancelling."""
        holder = self._holding.holder
        found = split_key(record.key)
        if holder is None or found is None:
            return
        kind, name = found
        known = self._context.job_index.jobs_by_id.get(JobId(name))
        if known is None or known.accepted is None:
            return
        if kind is RecordKind.JOB:
            holder.handle_job_stored(JobId(name))
        elif kind is RecordKind.CANCEL:
            holder.handle_cancel_stored(JobId(name))

    def _hear_job(self, _sender: MemberId, message: JobStored) -> None:
        decoded = decode_record(message.record, AcceptedJob)
        if isinstance(decoded, Failure):
            _log.warning("job not readable", extra={"reason": decoded.failure()})
            return
        self.apply_records([KeyedRecord(job_key(decoded.unwrap()), message.record)])

    def _hear_cancel(self, _sender: MemberId, message: CancelStored) -> None:
        if self._holding.holder is not None:
            self._holding.holder.handle_cancel_stored(JobId(message.job_id))

    def _hear_phase_query(self, sender: MemberId, query: PhaseQuery) -> None:
        holder = self._holding.holder
        phase = holder.phase(JobId(query.job_id)) if holder is not None else None
        text = phase.value if phase is not None else ""
        self._context.links.send(sender, PhaseReply(query.call_id, text))

    def _hear_store_query(self, sender: MemberId, query: StoreQuery) -> None:
        spawn(self._store_for(sender, query))

    async def _store_for(self, sender: MemberId, query: StoreQuery) -> None:
        word = NOT_STORED
        if self._holding.holder is not None:
            record = KeyedRecord(query.key, query.value)
            word = await self._holding.holder.store(record)
            if word.outcome is StoreOutcome.STORED:
                self.apply_records([record])
        reply = StoreReply(query.call_id, word.outcome.value, word.retry_after_s)
        self._context.links.send(sender, reply)
