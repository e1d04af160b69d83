"""One process on an entry VM: its tasks, and the messages between them."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure
from twisted.internet.task import deferLater

from tamarackmount.daemon.quiet_site import QuietSite
from tamarackmount.ids import Instant, JobId, MemberId, WorkerId
from tamarackmount.internal.addresses import Address as PeerAddress
from tamarackmount.internal.bounded_request import BoundedRequest
from tamarackmount.internal.codec import Codec, Envelope
from tamarackmount.internal.links import PeerLinks
from tamarackmount.node import clock
from tamarackmount.node.context import JOBS_TOPIC, NodeContext
from tamarackmount.node.hedged_advice import reply_to
from tamarackmount.node.holder import HolderDependencies
from tamarackmount.node.holder_election import HolderElection
from tamarackmount.node.http_api import JobsResource, ReadinessResource
from tamarackmount.node.job_service import JobService
from tamarackmount.node.messages import (
    AdviceQuery,
    AdviceReply,
    HolderReleased,
    NodeMessage,
    PhaseReply,
    StoreAgeQuery,
    StoreAgeReply,
    StoreReply,
)
from tamarackmount.node.metrics import MetricsResource, NodeMetrics
from tamarackmount.node.node_registry import NodeRegistry
from tamarackmount.node.peer_calls import PeerCalls, QueryReply
from tamarackmount.node.tasks import spawn
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.platform.boot import BootSettings
from tamarackmount.platform.config import CONFIG_KEY, decode_fleet
from tamarackmount.platform.http import HttpClient
from tamarackmount.platform.store import OPERATOR_TOPIC, KeyedRecord, Store
from tamarackmount.platform.workers import WorkerCalls
from tamarackmount.scheduling.job_index import JobIndex
from tamarackmount.scheduling.model import StepKey
from tamarackmount.units import MS_PER_SECOND

CONFIG_WAIT_MS = 1_000
"""How long a read of the operator's documents waits, in milliseconds; a connection that
went silent is replaced within the 2 s that a change may take."""

JOBS_WAIT_MS = 1_000
"""How long a read of jobs waits, in milliseconds, as for the operator's documents."""

JOBS_PAUSE_S = 0.5
"""Pause between two reads of jobs, in seconds; the holder hears of jobs directly."""

READY_STORE_GAP_S = 1.8
"""A node that has not heard the store for this long sends new callers elsewhere, in
seconds; its reads are answered at least every second."""

DRAIN_CHECK_S = 0.1
"""Pause between two looks whether a stopping node may end, in seconds."""

DRAIN_MIN_S = 2.5
"""Least time between the signal to stop and the end, in seconds: the balancer needs two
missed checks of 1 s to send callers elsewhere."""

EXIT_MARGIN_S = 0.7
"""Time kept before the platform kills the process, in seconds."""

LISTEN_BACKLOG = 512
"""New connections waiting to be taken; more than come in one second."""

_log = logging.getLogger(__name__)


class JobsSite(QuietSite):
    """The site of callers, with bounded bodies."""

    def __init__(self, front: JobsResource) -> None:
        """Serve ``front``."""
        QuietSite.__init__(self, front, requestFactory=BoundedRequest)


class Node:
    """Serves callers, follows the store, and holds the scheduling when it has to."""

    def __init__(
        self, settings: BootSettings, reactor: Any, store: Store | None = None
    ) -> None:
        """Prepare; nothing is opened before :meth:`start`.

        Without ``store``, that of the settings is called.
        """
        self._http = HttpClient(reactor)
        self._advice = AdviceClient(self._http, settings.advice_address)
        addresses_by_id: dict[MemberId, PeerAddress] = {}
        codec: Codec[NodeMessage] = Codec("node_peer.capnp", NodeMessage)
        links = PeerLinks(reactor, settings.node, addresses_by_id, codec, self._receive)
        self._context = NodeContext(
            settings=settings,
            reactor=reactor,
            store=store or Store(self._http, settings.store_address),
            links=links,
            peer_calls=PeerCalls(reactor, links),
            job_index=JobIndex(),
            metrics=NodeMetrics(),
            started_unix_ms=clock.unix_ms(),
        )
        self._config_tail = self._tail(
            OPERATOR_TOPIC, self._operator_records, CONFIG_WAIT_MS, 0.0
        )
        self._jobs_tail = self._tail(
            JOBS_TOPIC, self._job_records, JOBS_WAIT_MS, JOBS_PAUSE_S
        )
        self._registry = NodeRegistry(self._context, addresses_by_id)
        self._holding = HolderElection(
            self._context, self._registry, self._jobs_tail, self._holder_parts
        )
        self.jobs = JobService(self._context, self._holding, self._jobs_tail)
        self._front = JobsResource(self.jobs, self._context.metrics)
        self._handlers: dict[type, Callable[[MemberId, Any], None]] = {
            **self.jobs.handlers,
            StoreAgeQuery: self._hear_store_age_query,
            AdviceQuery: self._hear_advice_query,
            HolderReleased: self._hear_release,
            **dict.fromkeys(
                (PhaseReply, AdviceReply, StoreReply, StoreAgeReply), self._hear_reply
            ),
        }

    def start(self) -> None:
        """Open the sockets and begin to follow the store."""
        settings = self._context.settings
        self._listen(settings.entry_address, JobsSite(self._front))
        ready = QuietSite(ReadinessResource(self._is_ready))
        self._listen(settings.readiness_address, ready)
        metrics = QuietSite(MetricsResource(self._context.metrics))
        self._listen(PeerAddress(settings.ip, settings.metrics_port), metrics)
        self._context.links.listen(PeerAddress(settings.ip, settings.peer_port))
        self.follow_store()
        self._holding.start()
        spawn(self._registry.register())
        _log.info("node started", extra={"node": settings.node})

    def follow_store(self) -> None:
        """Begin to read what the store holds."""
        self._config_tail.start()
        self._jobs_tail.start()
        self._holding.tail.start()
        self._registry.tail.start()

    async def drain(self) -> None:
        """Stop gracefully: hand over, serve what is under way, then return."""
        begun = clock.now()
        self._context.is_draining = True
        holds = self._holding.holder is not None
        _log.info("node drains", extra={"holder": holds})
        spawn(self._holding.release_for_shutdown())
        grace_s = self._context.settings.bounds.termination_grace_s
        end = begun + grace_s - EXIT_MARGIN_S
        while clock.now() < end:
            await deferLater(self._context.reactor, DRAIN_CHECK_S, lambda: None)
            is_idle = self._holding.holder is None and not self._front.in_flight
            if is_idle and clock.now() >= begun + DRAIN_MIN_S:
                break
        _log.info("node stopped", extra={"in_flight": self._front.in_flight})

    def _tail(
        self,
        topic: Any,
        take: Callable[[Sequence[KeyedRecord]], None],
        wait_ms: int,
        pause_s: float,
    ) -> TopicTail:
        context = self._context
        return TopicTail(
            context.reactor, context.store, topic, take, take, wait_ms, pause_s
        )

    def _holder_parts(self) -> HolderDependencies:
        context = self._context
        return HolderDependencies(
            context.reactor,
            context.node_id,
            context.store,
            JOBS_TOPIC,
            WorkerCalls(self._http),
            self._advice,
            context.peer_calls,
            context.metrics,
            context.settings.bounds.status_retention_s,
        )

    def _is_ready(self) -> bool:
        return (
            not self._context.is_draining
            and self._context.fleet is not None
            and self._jobs_tail.next_offset is not None
            and clock.now() < self._store_heard_at + READY_STORE_GAP_S
        )

    @property
    def _store_heard_at(self) -> Instant:
        tails = (self._config_tail, self._holding.tail)
        never = Instant(float("-inf"))
        return max(tail.last_contact or never for tail in tails)

    def _listen(self, address: Any, site: Any) -> None:
        self._context.reactor.listenTCP(
            address.port, site, backlog=LISTEN_BACKLOG, interface=address.host
        )

    def _job_records(self, records: Sequence[KeyedRecord]) -> None:
        self.jobs.apply_records(records)

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
        before = self._context.fleet
        if before is not None and fleet.version <= before.version:
            return
        self._context.fleet = fleet
        _log.info("configuration in force", extra={"version": fleet.version})
        if self._holding.holder is not None:
            self._holding.holder.set_fleet(fleet)

    def _receive(self, envelope: Envelope[NodeMessage]) -> None:
        handler = self._handlers[type(envelope.message)]
        handler(envelope.sender, envelope.message)

    def _hear_store_age_query(self, sender: MemberId, query: StoreAgeQuery) -> None:
        heard_at = max(self._store_heard_at, Instant(0.0))
        age_ms = int((clock.now() - heard_at) * MS_PER_SECOND)
        self._context.links.send(sender, StoreAgeReply(query.call_id, age_ms))

    def _hear_advice_query(self, sender: MemberId, query: AdviceQuery) -> None:
        spawn(self._advise(sender, query))

    def _hear_reply(self, _sender: MemberId, reply: QueryReply) -> None:
        self._context.peer_calls.handle_reply(reply)

    def _hear_release(self, _sender: MemberId, _message: HolderReleased) -> None:
        spawn(self._holding.tail.read_to_end())

    async def _advise(self, sender: MemberId, query: AdviceQuery) -> None:
        step = StepKey(JobId(query.job_id), query.occurrence, query.step)
        workers = [WorkerId(worker) for worker in query.workers]
        now = self._context.reactor.seconds()
        deadline = Instant(now + query.timeout_ms / MS_PER_SECOND)
        answer = await self._advice.ask(step, workers, deadline)
        self._context.links.send(sender, reply_to(query, answer))
