"""One process on an entry VM: its tasks, and the messages between them."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from returns.result import Failure
from twisted.internet.task import LoopingCall, deferLater

from tamarackmount.daemon.http_request import BoundedRequest
from tamarackmount.daemon.quiet_site import QuietSite
from tamarackmount.ids import DataCentreId, Instant, JobId, MemberId, Offset, WorkerId
from tamarackmount.internal.codec import Codec, Envelope
from tamarackmount.internal.links import PeerLinks
from tamarackmount.kernel.effects import Address as PeerAddress
from tamarackmount.node import clock
from tamarackmount.node.advice_lanes import reply_to
from tamarackmount.node.claims import HOLDER_TOPIC, Claim, claim
from tamarackmount.node.front import (
    STORE_RETRY_AFTER_S,
    Answer,
    JobsFront,
    NoPhase,
    ReadyFront,
    Status,
)
from tamarackmount.node.holder import Holder, HolderParts
from tamarackmount.node.messages import (
    AdviceQuery,
    AdviceReply,
    CancelStored,
    HolderReleased,
    JobStored,
    NodeMessage,
    PhaseQuery,
    PhaseReply,
    StoreAgeQuery,
    StoreAgeReply,
    StoreQuery,
    StoreReply,
)
from tamarackmount.node.metrics import MetricsFront, NodeMetrics
from tamarackmount.node.peer_calls import PeerCalls, QueryReply
from tamarackmount.node.submissions import NOT_STORED, Stored, StoreWord, Submissions
from tamarackmount.node.tail import TopicTail
from tamarackmount.node.tasks import guarded, spawn
from tamarackmount.platform.advice import AdviceService
from tamarackmount.platform.boot import BootSettings
from tamarackmount.platform.config import CONFIG_KEY, decode_fleet
from tamarackmount.platform.http import HttpClient
from tamarackmount.platform.store import (
    OPERATOR_TOPIC,
    Appended,
    KeyedRecord,
    Store,
    Topic,
)
from tamarackmount.platform.workers import WorkerCalls
from tamarackmount.scheduling.accepted_job import AcceptedJob
from tamarackmount.scheduling.book import JobBook
from tamarackmount.scheduling.fleet import Fleet, Queue
from tamarackmount.scheduling.holdership import Candidate, HolderWatch, claim_turn
from tamarackmount.scheduling.journal import (
    CancelRecord,
    HolderRecord,
    RecordKind,
    decode_record,
    encode_record,
    job_key,
    record_key,
)
from tamarackmount.scheduling.model import JobPhase, StepKey, step_text
from tamarackmount.units import MS_PER_SECOND

JOBS_TOPIC = Topic("keyed.jobs")
"""Jobs, their cancelling and progress, the holder's claims and signs of life."""

NODES_TOPIC = Topic("keyed.nodes")
"""Where each entry VM says how the others reach it."""

CONFIG_WAIT_MS = 1_000
"""How long a read of the operator's documents waits, in milliseconds; a connection that
went silent is replaced within the 2 s that a change may take."""

JOBS_WAIT_MS = 1_000
"""How long a read of jobs waits, in milliseconds; bounds how late a holder's silence is
noticed."""

HOLDER_PAUSE_S = 0.3
"""Pause between two reads of the signs of life, in seconds; half of the time between
two of them."""

JOBS_PAUSE_S = 0.5
"""Pause between two reads of jobs, in seconds; the holder hears of jobs directly."""

NODES_WAIT_MS = 5_000
"""How long a read of the entry VMs waits, in milliseconds; they change rarely."""

READY_STORE_GAP_S = 1.8
"""A node that has not heard the store for this long sends new callers elsewhere, in
seconds; its reads are answered at least every second."""

CLAIM_CHECK_S = 0.1
"""Pause between two looks whether to claim, in seconds."""

REGISTER_TIMEOUT_S = 1.0
"""Longest wait for the registration of this node, in seconds."""

PHASE_TIMEOUT_S = 0.3
"""Longest wait for the holder's word on a job, in seconds; then the store's counts."""

DRAIN_MIN_S = 2.5
"""Least time between the signal to stop and the end, in seconds: the balancer needs two
missed checks of 1 s to send callers elsewhere."""

EXIT_MARGIN_S = 0.7
"""Time kept before the platform kills the process, in seconds."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """How the other entry VMs reach one, its processor time in cores and its start."""

    ip: str
    port: int
    data_centre: str
    cores: float
    started_unix_ms: int


class Node:
    """Serves callers, follows the store, and holds the scheduling when it has to."""

    def __init__(
        self, settings: BootSettings, reactor: Any, store: Store | None = None
    ) -> None:
        """Prepare; nothing is opened before :meth:`start`.

        Without ``store``, that of the settings is called.
        """
        self._settings = settings
        self._reactor = reactor
        self._http = HttpClient(reactor)
        self._store = store or Store(self._http, settings.store_address)
        self._advice = AdviceService(self._http, settings.advice_address)
        self._book = JobBook()
        self._records_by_node: dict[MemberId, NodeRecord] = {}
        self._addresses_by_id: dict[MemberId, PeerAddress] = {}
        codec: Codec[NodeMessage] = Codec("node_peer.capnp", NodeMessage)
        self._links = PeerLinks(
            reactor, settings.node, self._addresses_by_id, codec, self._receive
        )
        self._peers = PeerCalls(reactor, self._links)
        self._submissions = Submissions(reactor, self._store, JOBS_TOPIC, self._relay)
        self._watch = HolderWatch(Instant(clock.now()), Instant(float("-inf")))
        self._holder: Holder | None = None
        self._is_claiming = False
        self._fleet: Fleet | None = None
        self._is_draining = False
        self._metrics = NodeMetrics()
        self._front = JobsFront(self, self._metrics)
        self._handlers: dict[type, Callable[[MemberId, Any], None]] = {
            JobStored: self._hear_job,
            CancelStored: self._hear_cancel,
            PhaseQuery: self._hear_phase_query,
            StoreQuery: self._hear_store_query,
            StoreAgeQuery: self._hear_store_age_query,
            StoreAgeReply: self._hear_reply,
            AdviceQuery: self._hear_advice_query,
            PhaseReply: self._hear_reply,
            AdviceReply: self._hear_reply,
            StoreReply: self._hear_reply,
            HolderReleased: self._hear_release,
        }
        self._ports: list[Any] = []
        self._started_unix_ms = clock.unix_ms()
        self._config_tail = TopicTail(
            reactor,
            self._store,
            OPERATOR_TOPIC,
            self._operator_records,
            self._operator_records,
            CONFIG_WAIT_MS,
            0.0,
        )
        self._jobs_tail = TopicTail(
            reactor,
            self._store,
            JOBS_TOPIC,
            self._jobs_records,
            self._jobs_records,
            JOBS_WAIT_MS,
            JOBS_PAUSE_S,
        )
        self._holder_tail = TopicTail(
            reactor,
            self._store,
            HOLDER_TOPIC,
            self._holder_records,
            self._holder_records,
            JOBS_WAIT_MS,
            HOLDER_PAUSE_S,
        )
        self._nodes_tail = TopicTail(
            reactor,
            self._store,
            NODES_TOPIC,
            self._node_records,
            self._node_records,
            NODES_WAIT_MS,
            0.0,
        )
        self._claim_checks = LoopingCall(guarded(self._check_claim))
        self._claim_checks.clock = reactor

    @property
    def fleet(self) -> Fleet | None:
        """The configuration, if there is one."""
        return self._fleet

    @property
    def is_draining(self) -> bool:
        """Whether the node stops, so that connections should end."""
        return self._is_draining

    def start(self) -> None:
        """Open the sockets and begin to follow the store."""
        settings = self._settings
        self._listen(settings.entry_address, JobsSite(self._front))
        ready = QuietSite(ReadyFront(self._is_ready))
        self._listen(settings.ready_address, ready)
        metrics = QuietSite(MetricsFront(self._metrics))
        self._listen(PeerAddress(settings.ip, settings.metrics_port), metrics)
        self._links.listen(PeerAddress(settings.ip, settings.peer_port))
        self.follow_store()
        self._claim_checks.start(CLAIM_CHECK_S, now=False)
        spawn(self._register())
        _log.info("node started", extra={"node": settings.node})

    def follow_store(self) -> None:
        """Begin to read what the store holds."""
        self._config_tail.start()
        self._jobs_tail.start()
        self._holder_tail.start()
        self._nodes_tail.start()

    async def drain(self) -> None:
        """Stop gracefully: hand over, serve what is under way, then return."""
        begun = clock.now()
        self._is_draining = True
        _log.info("node drains", extra={"holder": self._holder is not None})
        if self._holder is not None:
            spawn(self._hand_over(self._holder))
        end = begun + self._settings.bounds.stop_grace_s - EXIT_MARGIN_S
        while clock.now() < end:
            await deferLater(self._reactor, CLAIM_CHECK_S, lambda: None)
            is_idle = self._holder is None and not self._front.in_flight
            if is_idle and clock.now() >= begun + DRAIN_MIN_S:
                break
        _log.info("node stopped", extra={"in_flight": self._front.in_flight})

    async def _hand_over(self, holder: Holder) -> None:
        await holder.release()
        self._holder = None
        for peer in self._peers.connected():
            self._links.send(peer, HolderReleased(holder.epoch))

    async def submit(self, job: AcceptedJob, deadline: Instant) -> Answer:
        """Accept or refuse a job; the store's answer decides."""
        if self._book.phase(job.job_id) is not None:
            return Answer(Status.OK)
        record = KeyedRecord(job_key(job), encode_record(job))
        begun = clock.now()
        word = await self._submissions.store(record, deadline)
        stored = word.stored
        took_s = clock.now() - begun
        self._metrics.stored(stored.value, took_s)
        extra = {
            "job": job.job_id,
            "queue": job.queue,
            "team": job.team_id,
            "steps": [step_text(step) for step in job.spec.steps],
            "stored": stored.value,
            "took_s": round(took_s, 3),
            "left_s": round(deadline - clock.now(), 3),
            "config": self._fleet.version if self._fleet is not None else None,
            "holder": self._watch.record.node if self._watch.record else None,
        }
        _log.info("job handed in", extra=extra)
        if stored is Stored.YES:
            self._job_stored(job, record.value)
        if stored is Stored.REFUSED:
            return Answer(Status.REFUSED, retry_after_s=word.retry_after_s)
        return _ANSWER_BY_STORED[stored]

    async def cancel(self, job_id: JobId, deadline: Instant) -> Answer:
        """Cancel a job; the store's answer decides."""
        phase = await self.phase(job_id)
        if phase is NoPhase.NOT_HANDED_IN:
            return Answer(Status.GONE)
        # One that can't be looked up now is cancelled all the same, if there is one.
        if isinstance(phase, JobPhase) and phase.is_final:
            return Answer(Status.OK)
        key = record_key(RecordKind.CANCEL, job_id)
        value = encode_record(CancelRecord(clock.unix_ms()))
        word = await self._submissions.store(KeyedRecord(key, value), deadline)
        stored = word.stored
        _log.info("job cancelled", extra={"job": job_id, "stored": stored.value})
        if stored is Stored.YES:
            self._cancel_stored(job_id, key, value)
        return _ANSWER_BY_STORED[stored]

    async def phase(self, job_id: JobId) -> JobPhase | NoPhase:
        """Return a job's phase, or why there is none.

        Only a node that has read the store to its end knows that there is no job.
        """
        known = self._book.phase(job_id)
        if known is not None and known.is_final:
            return known
        if self._holder is not None:
            told = self._holder.phase(job_id)
        else:
            told = await self._ask_holder(job_id)
        if told is not None:
            return told
        if known is not None:
            return known
        is_whole = await self._jobs_tail.refresh()
        found = self._book.phase(job_id)
        if found is not None:
            return found
        return NoPhase.NOT_HANDED_IN if is_whole else NoPhase.UNSURE

    def waiting(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not begun."""
        return self._book.waiting(queue.name)

    async def _relay(self, record: KeyedRecord, timeout_s: float) -> StoreWord | None:
        if self._holder is not None:
            return await self._holder.store(record)
        holder = self._watch.record
        if holder is None or not self._links.is_open(holder.node):
            return None
        call_id = self._peers.next_id()
        query = StoreQuery(call_id, record.key, record.value)
        reply = await self._peers.call(holder.node, query, timeout_s)
        if not isinstance(reply, StoreReply):
            return StoreWord(Stored.UNKNOWN)
        return StoreWord(Stored(reply.stored), reply.retry_after_s)

    async def _store_for(self, sender: MemberId, query: StoreQuery) -> None:
        word = NOT_STORED
        if self._holder is not None:
            record = KeyedRecord(query.key, query.value)
            word = await self._holder.store(record)
            if word.stored is Stored.YES:
                self._book.apply(record.key, record.value, APPLIED_HERE)
                self._pass_on(record)
        reply = StoreReply(query.call_id, word.stored.value, word.retry_after_s)
        self._links.send(sender, reply)

    async def _ask_holder(self, job_id: JobId) -> JobPhase | None:
        holder = self._watch.record
        if holder is None or holder.node == self._settings.node:
            return None
        query = PhaseQuery(self._peers.next_id(), job_id)
        reply = await self._peers.call(holder.node, query, PHASE_TIMEOUT_S)
        if not isinstance(reply, PhaseReply) or not reply.phase:
            return None
        return JobPhase(reply.phase)

    def _job_stored(self, job: AcceptedJob, value: bytes) -> None:
        self._book.apply(job_key(job), value, APPLIED_HERE)
        if self._holder is not None:
            self._holder.job_stored(job.job_id)
        else:
            self._tell_holder(JobStored(value))

    def _cancel_stored(self, job_id: JobId, key: str, value: bytes) -> None:
        self._book.apply(key, value, APPLIED_HERE)
        if self._holder is not None:
            self._holder.cancel_stored(job_id)
        else:
            self._tell_holder(CancelStored(job_id))

    def _tell_holder(self, message: NodeMessage) -> None:
        holder = self._watch.record
        if holder is not None and holder.node != self._settings.node:
            self._links.send(holder.node, message)

    def _is_ready(self) -> bool:
        return (
            not self._is_draining
            and self._fleet is not None
            and self._jobs_tail.next_offset is not None
            and clock.now() < self._store_heard_at + READY_STORE_GAP_S
        )

    @property
    def _store_heard_at(self) -> Instant:
        tails = (self._config_tail, self._holder_tail)
        never = Instant(float("-inf"))
        return max(tail.last_contact or never for tail in tails)

    def _listen(self, address: Any, site: Any) -> None:
        port = self._reactor.listenTCP(
            address.port, site, backlog=LISTEN_BACKLOG, interface=address.host
        )
        self._ports.append(port)

    async def _register(self) -> None:
        settings = self._settings
        mine = NodeRecord(
            settings.ip,
            settings.peer_port,
            settings.data_centre,
            settings.processor_cores,
            self._started_unix_ms,
        )
        record = KeyedRecord(settings.node, encode_record(mine))
        while True:
            deadline = Instant(self._reactor.seconds() + REGISTER_TIMEOUT_S)
            result = await self._store.append(NODES_TOPIC, [record], deadline)
            if isinstance(result, Appended):
                return
            _log.info("not registered yet", extra={"reason": str(result)})
            await deferLater(self._reactor, REGISTER_TIMEOUT_S, lambda: None)

    def _operator_records(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            if record.key == CONFIG_KEY and record.value:
                self._take_config(record)

    def _take_config(self, record: KeyedRecord) -> None:
        decoded = decode_fleet(record.value)
        if isinstance(decoded, Failure):
            extra = {"offset": record.offset, "reason": decoded.failure()}
            _log.error("configuration not readable", extra=extra)
            return
        fleet = decoded.unwrap()
        if self._fleet is not None and fleet.version <= self._fleet.version:
            return
        self._fleet = fleet
        _log.info("configuration in force", extra={"version": fleet.version})
        if self._holder is not None:
            self._holder.set_fleet(fleet)

    def _node_records(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            node = MemberId(record.key)
            if node == self._settings.node:
                self._take_node(node, record, is_peer=False)
            else:
                self._take_node(node, record, is_peer=True)

    def _take_node(self, node: MemberId, record: KeyedRecord, is_peer: bool) -> None:
        decoded = decode_record(record.value, NodeRecord) if record.value else None
        if decoded is None or isinstance(decoded, Failure):
            self._records_by_node.pop(node, None)
            self._peers.peers.discard(node)
            self._links.forget(node)
            return
        found = decoded.unwrap()
        address = PeerAddress(found.ip, found.port)
        if self._addresses_by_id.get(node) not in (None, address):
            self._links.forget(node)
        self._records_by_node[node] = found
        self._addresses_by_id[node] = address
        if is_peer:
            self._peers.peers.add(node)

    def _jobs_records(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            self._book.apply(record.key, record.value, record.offset)
            self._pass_on(record)

    def _holder_records(self, records: Sequence[KeyedRecord]) -> None:
        before = self._watch.record
        for record in records:
            decoded = decode_record(record.value, HolderRecord)
            if isinstance(decoded, Failure):
                extra = {"offset": record.offset, "reason": decoded.failure()}
                _log.error("claim not readable", extra=extra)
                continue
            self._watch.heard(decoded.unwrap(), clock.now())
        now = self._watch.record
        if now is not None and (before is None or now.epoch != before.epoch):
            extra = {"node": now.node, "epoch": now.epoch}
            _log.info("holder changed", extra=extra)
        self._check_superseded()

    def _pass_on(self, record: KeyedRecord) -> None:
        if self._holder is None:
            return
        kind, _, name = record.key.partition("/")
        known = self._book.jobs_by_id.get(JobId(name))
        if known is None or known.accepted is None:
            return
        if kind == RecordKind.JOB.value:
            self._holder.job_stored(JobId(name))
        elif kind == RecordKind.CANCEL.value:
            self._holder.cancel_stored(JobId(name))

    def _check_superseded(self) -> None:
        holder, record = self._holder, self._watch.record
        if holder is None or record is None or record.epoch <= holder.epoch:
            return
        holder.stop()
        self._holder_ended(f"{record.node} holds epoch {record.epoch}")

    def _check_claim(self) -> None:
        now = clock.now()
        if self._holder_tail.caught_up_at is not None:
            self._watch.read(self._holder_tail.caught_up_at)
        if self._holder is not None or self._is_claiming or self._is_draining:
            return
        if self._fleet is None or self._jobs_tail.next_offset is None:
            return
        candidates = [
            Candidate(node, DataCentreId(record.data_centre), record.cores)
            for node, record in self._records_by_node.items()
        ]
        former = self._watch.record.node if self._watch.record is not None else None
        turn = claim_turn(self._settings.node, candidates, former)
        if self._watch.should_claim(turn, self._started_by_node(), now):
            self._is_claiming = True
            spawn(self._claim())

    async def _claim(self) -> None:
        try:
            await self._claim_now()
        finally:
            self._is_claiming = False

    async def _claim_now(self) -> None:
        if not await self._holder_tail.refresh():
            return
        end = self._holder_tail.next_offset
        started = self._started_by_node()
        if end is None or not self._watch.should_claim(0, started, clock.now()):
            return
        last_order_in_s = self._watch.last_order_in_s(started)
        claimed = await claim(
            self._reactor,
            self._store,
            self._settings.node,
            self._started_unix_ms,
            end,
        )
        if claimed is not None:
            last_order = Instant(clock.now() + last_order_in_s)
            _log.info("scheduling claimed", extra={"epoch": claimed.epoch})
            await self._take_over(claimed, last_order)

    def _started_by_node(self) -> dict[MemberId, int]:
        started = {
            node: record.started_unix_ms
            for node, record in self._records_by_node.items()
        }
        return {**started, self._settings.node: self._started_unix_ms}

    async def _take_over(self, claimed: Claim, last_order: Instant) -> None:
        fleet = self._fleet
        if fleet is None:
            return
        parts = HolderParts(
            self._reactor,
            self._settings.node,
            self._store,
            JOBS_TOPIC,
            WorkerCalls(self._http),
            self._advice,
            self._peers,
            self._metrics,
            self._settings.bounds.status_s,
        )
        holder = Holder(
            parts, claimed, self._book, fleet, last_order, self._holder_ended
        )
        is_fenced = await holder.fence()
        while is_fenced and not await self._jobs_tail.refresh():
            await deferLater(self._reactor, CLAIM_CHECK_S, lambda: None)
        record = self._watch.record
        is_replaced = record is not None and record.epoch > claimed.epoch
        if self._is_draining:
            await holder.release()
            return
        if not is_fenced or is_replaced:
            holder.stop()
            return
        self._holder = holder
        self._metrics.holds(True)
        _log.info("scheduling held", extra={"epoch": claimed.epoch})
        holder.start()

    def _holder_ended(self, reason: str) -> None:
        _log.warning("scheduling given up", extra={"reason": reason})
        self._holder = None
        self._metrics.holds(False)

    def _receive(self, envelope: Envelope[NodeMessage]) -> None:
        handler = self._handlers[type(envelope.message)]
        handler(envelope.sender, envelope.message)

    def _hear_job(self, _sender: MemberId, message: JobStored) -> None:
        decoded = decode_record(message.record, AcceptedJob)
        if isinstance(decoded, Failure) or self._holder is None:
            return
        job = decoded.unwrap()
        self._book.apply(job_key(job), message.record, APPLIED_HERE)
        self._holder.job_stored(job.job_id)

    def _hear_cancel(self, _sender: MemberId, message: CancelStored) -> None:
        if self._holder is not None:
            self._holder.cancel_stored(JobId(message.job_id))

    def _hear_phase_query(self, sender: MemberId, query: PhaseQuery) -> None:
        phase = self._holder.phase(JobId(query.job_id)) if self._holder else None
        text = phase.value if phase is not None else ""
        self._links.send(sender, PhaseReply(query.call_id, text))

    def _hear_store_query(self, sender: MemberId, query: StoreQuery) -> None:
        spawn(self._store_for(sender, query))

    def _hear_store_age_query(self, sender: MemberId, query: StoreAgeQuery) -> None:
        heard_at = max(self._store_heard_at, Instant(0.0))
        age_ms = int((clock.now() - heard_at) * MS_PER_SECOND)
        self._links.send(sender, StoreAgeReply(query.call_id, age_ms))

    def _hear_advice_query(self, sender: MemberId, query: AdviceQuery) -> None:
        spawn(self._advise(sender, query))

    def _hear_reply(self, _sender: MemberId, reply: QueryReply) -> None:
        self._peers.answered(reply)

    def _hear_release(self, _sender: MemberId, _message: HolderReleased) -> None:
        spawn(self._jobs_tail.refresh())

    async def _advise(self, sender: MemberId, query: AdviceQuery) -> None:
        step = StepKey(JobId(query.job_id), query.occurrence, query.step)
        workers = [WorkerId(worker) for worker in query.workers]
        deadline = Instant(self._reactor.seconds() + query.timeout_ms / MS_PER_SECOND)
        answer = await self._advice.ask(step, workers, deadline)
        self._links.send(sender, reply_to(query, answer))


class JobsSite(QuietSite):
    """The site of callers, with bounded bodies."""

    def __init__(self, front: JobsFront) -> None:
        """Serve ``front``."""
        QuietSite.__init__(self, front, requestFactory=BoundedRequest)


APPLIED_HERE = Offset(-1)
"""Offset of records that were applied before they were read back."""

LISTEN_BACKLOG = 512
"""New connections waiting to be taken; more than come in one second."""

_ANSWER_BY_STORED = {
    Stored.YES: Answer(Status.OK),
    Stored.NO: Answer(Status.UNAVAILABLE, retry_after_s=STORE_RETRY_AFTER_S),
    Stored.UNKNOWN: Answer(Status.UNKNOWN),
}
