"""Callers' jobs on one node: storing, cancelling and telling how far they are."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure

from tamarackmount.ids import Instant, JobId, MemberId
from tamarackmount.node import clock
from tamarackmount.node.context import JOBS_TOPIC, NodeContext
from tamarackmount.node.holder_election import Holding
from tamarackmount.node.http_api import STORE_RETRY_AFTER_S, Answer, NoPhase, Status
from tamarackmount.node.messages import (
    CancelStored,
    JobStored,
    NodeMessage,
    PhaseQuery,
    PhaseReply,
    StoreQuery,
    StoreReply,
)
from tamarackmount.node.submissions import NOT_STORED, Stored, StoreWord, Submissions
from tamarackmount.node.tasks import spawn
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.fleet_config import Fleet, Queue
from tamarackmount.scheduling.journal import (
    CancelRecord,
    RecordKind,
    decode_record,
    encode_record,
    job_key,
    record_key,
    split_key,
)
from tamarackmount.scheduling.model import JobPhase, step_text

PHASE_TIMEOUT_S = 0.3
"""Longest wait for the holder's word on a job, in seconds; then the store's counts."""

_ANSWER_BY_STORED = {
    Stored.YES: Answer(Status.OK),
    Stored.NO: Answer(Status.UNAVAILABLE, retry_after_s=STORE_RETRY_AFTER_S),
    Stored.UNKNOWN: Answer(Status.UNKNOWN),
}

STORE_GAP_S = 1.5
"""A node that has not heard the store for this long is cut off from it, in seconds: its
reads are answered each second, by a slow store half a second later."""

_log = logging.getLogger(__name__)


class JobDesk:
    """Answers callers from the store's word, the holder's and the node's own book."""

    def __init__(
        self, context: NodeContext, holding: Holding, jobs_tail: TopicTail
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
    def fleet(self) -> Fleet | None:
        """The configuration, if there is one."""
        return self._context.fleet

    def _hears_store(self) -> bool:
        tails = (self._jobs_tail, self._holding.tail)
        heard = [tail.last_contact for tail in tails if tail.last_contact is not None]
        now = self._context.reactor.seconds()
        return not heard or now <= max(heard) + STORE_GAP_S

    @property
    def is_draining(self) -> bool:
        """Whether the node stops, so that connections should end."""
        return self._context.is_draining

    def read(self, records: Sequence[KeyedRecord]) -> None:
        """Take records of the jobs' topic."""
        for record in records:
            self._context.book.apply(record.key, record.value)
            self._pass_on(record)

    async def submit(self, job: AcceptedJob, deadline: Instant) -> Answer:
        """Accept or refuse a job; the store's answer decides."""
        if self._context.book.phase(job.job_id) is not None:
            return Answer(Status.OK)
        record = KeyedRecord(job_key(job), encode_record(job))
        begun = clock.now()
        word = await self._submissions.store(record, deadline)
        self._note(job, word, clock.now() - begun, deadline)
        if word.stored is Stored.YES:
            self._stored(record, JobStored(record.value))
        if word.stored is Stored.REFUSED:
            return Answer(Status.REFUSED, retry_after_s=word.retry_after_s)
        return _ANSWER_BY_STORED[word.stored]

    async def cancel(self, job_id: JobId, deadline: Instant) -> Answer:
        """Cancel a job; the store's answer decides."""
        phase = await self.phase(job_id)
        if phase is NoPhase.NOT_HANDED_IN:
            return Answer(Status.GONE)
        # One that can't be looked up now is cancelled all the same, if there is one.
        if isinstance(phase, JobPhase) and phase.is_final:
            return Answer(Status.OK)
        key = record_key(RecordKind.CANCEL, job_id)
        record = KeyedRecord(key, encode_record(CancelRecord(clock.unix_ms())))
        word = await self._submissions.store(record, deadline)
        _log.info("job cancelled", extra={"job": job_id, "stored": word.stored.value})
        if word.stored is Stored.YES:
            self._stored(record, CancelStored(job_id))
        return _ANSWER_BY_STORED[word.stored]

    async def phase(self, job_id: JobId) -> JobPhase | NoPhase:
        """Return a job's phase, or why there is none.

        Only a node that has read the store to its end knows that there is no job.
        """
        book = self._context.book
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
        is_whole = await self._jobs_tail.refresh()
        found = book.phase(job_id)
        if found is not None:
            return found
        return NoPhase.NOT_HANDED_IN if is_whole else NoPhase.UNSURE

    def waiting(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not begun."""
        return self._context.book.waiting(queue.name)

    def _note(
        self, job: AcceptedJob, word: StoreWord, took_s: float, deadline: Instant
    ) -> None:
        fleet = self._context.fleet
        self._context.metrics.stored(word.stored.value, took_s)
        extra = {
            "job": job.job_id,
            "queue": job.queue,
            "team": job.team_id,
            "steps": [step_text(step) for step in job.spec.steps],
            "stored": word.stored.value,
            "took_s": round(took_s, 3),
            "left_s": round(deadline - clock.now(), 3),
            "config": fleet.version if fleet is not None else None,
            "holder": self._holding.holder_node,
        }
        _log.info("job handed in", extra=extra)

    async def _relay(self, record: KeyedRecord, timeout_s: float) -> StoreWord | None:
        """Ask the holder to store a record."""
        if self._holding.holder is not None:
            return await self._holding.holder.store(record)
        node = self._holding.holder_node
        if node is None or not self._context.links.is_open(node):
            return None
        peers = self._context.peers
        query = StoreQuery(peers.next_id(), record.key, record.value)
        reply = await peers.call(node, query, timeout_s)
        if not isinstance(reply, StoreReply):
            return StoreWord(Stored.UNKNOWN)
        return StoreWord(Stored(reply.stored), reply.retry_after_s)

    async def _ask_holder(self, job_id: JobId) -> JobPhase | None:
        node = self._holding.holder_node
        if node is None or node == self._context.me:
            return None
        peers = self._context.peers
        query = PhaseQuery(peers.next_id(), job_id)
        reply = await peers.call(node, query, PHASE_TIMEOUT_S)
        if not isinstance(reply, PhaseReply) or not reply.phase:
            return None
        return JobPhase(reply.phase)

    def _stored(self, record: KeyedRecord, news: NodeMessage) -> None:
        """Take a record that the store holds, and tell the holder."""
        self._context.book.apply(record.key, record.value)
        if self._holding.holder is not None:
            self._pass_on(record)
            return
        node = self._holding.holder_node
        if node is not None and node != self._context.me:
            self._context.links.send(node, news)

    def _pass_on(self, record: KeyedRecord) -> None:
        """Tell the holder, if it is this node, of a job or a cancelling."""
        holder = self._holding.holder
        found = split_key(record.key)
        if holder is None or found is None:
            return
        kind, name = found
        known = self._context.book.jobs_by_id.get(JobId(name))
        if known is None or known.accepted is None:
            return
        if kind is RecordKind.JOB:
            holder.job_stored(JobId(name))
        elif kind is RecordKind.CANCEL:
            holder.cancel_stored(JobId(name))

    def _hear_job(self, _sender: MemberId, message: JobStored) -> None:
        decoded = decode_record(message.record, AcceptedJob)
        if isinstance(decoded, Failure):
            _log.warning("job not readable", extra={"reason": decoded.failure()})
            return
        self.read([KeyedRecord(job_key(decoded.unwrap()), message.record)])

    def _hear_cancel(self, _sender: MemberId, message: CancelStored) -> None:
        if self._holding.holder is not None:
            self._holding.holder.cancel_stored(JobId(message.job_id))

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
            if word.stored is Stored.YES:
                self.read([record])
        reply = StoreReply(query.call_id, word.stored.value, word.retry_after_s)
        self._context.links.send(sender, reply)
