"""The node process on an entry VM: its components, and messages from other nodes."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

from returns.result import Failure
from twisted.internet.task import deferLater

from tamarackmount.ids import DataCentreId, Instant, JobId, MemberId, Offset, WorkerId
from tamarackmount.internal.addresses import Address as PeerAddress
from tamarackmount.internal.codec import Codec, Envelope
from tamarackmount.internal.links import PeerLinks
from tamarackmount.node import clock
from tamarackmount.node.context import JOBS_TOPIC, NodeContext
from tamarackmount.node.departed_nodes import DepartedNodes
from tamarackmount.node.evacuation_notices import send_evacuations
from tamarackmount.node.evacuation_watch import EvacuationWatch
from tamarackmount.node.hand_over import PERCENT
from tamarackmount.node.hedged_advice import reply_to
from tamarackmount.node.holder_dependencies import HolderDependencies
from tamarackmount.node.holder_election import HolderElection
from tamarackmount.node.http_api import JobsResource
from tamarackmount.node.http_ports import HttpPorts, peer_limits
from tamarackmount.node.job_limits import JobLimits, JobLimitSizes
from tamarackmount.node.job_service import JobService
from tamarackmount.node.jobs_follower import JobsFollower
from tamarackmount.node.messages import (
    AdviceQuery,
    AdviceReply,
    EvacuationSeen,
    HolderReleased,
    NodeMessage,
    PhaseReply,
    StoreAgeQuery,
    StoreAgeReply,
    StoreReply,
    WaitingReply,
)
from tamarackmount.node.metrics import MetricsResource, NodeMetrics
from tamarackmount.node.node_registry import NodeRegistry
from tamarackmount.node.peer_calls import PeerCalls, QueryReply
from tamarackmount.node.process_limits import process_limits
from tamarackmount.node.processor_speed import ProcessorSpeed, time_sample
from tamarackmount.node.readiness import ReadinessResource
from tamarackmount.node.remote_contact import RemoteContact
from tamarackmount.node.served_requests import ServedRequests
from tamarackmount.node.store_contact import StoreContact
from tamarackmount.node.tasks import spawn, spawn_answer
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.advice import AdviceClient
from tamarackmount.platform.boot import BootSettings
from tamarackmount.platform.config import CONFIG_KEY, decode_fleet_config
from tamarackmount.platform.http import HttpClient
from tamarackmount.platform.store import OPERATOR_TOPIC, KeyedRecord, Store
from tamarackmount.platform.workers import WorkerCalls
from tamarackmount.scheduling.domain.model import StepKey
from tamarackmount.scheduling.membership.evacuations import EvacuationChange
from tamarackmount.scheduling.store.job_index import JobIndex
from tamarackmount.units import MS_PER_SECOND

OPERATOR_READ_WAIT_MS = 1_000
"""Long-poll wait of a read of the operator's documents, in milliseconds. A connection
that does not answer is replaced within the 2 s that a change may take."""

JOBS_READ_WAIT_MS = 1_000
"""Long-poll wait of a read of jobs, in milliseconds, as for the operator's
documents."""

JOBS_READ_INTERVAL_S = 0.5
"""Minimum time between the starts of two reads of jobs, in seconds; the holder is told
of jobs directly."""

FRESH_STORE_CONTACT_S = 0.1
"""Time since the store's last answer within which a node that is asked whether it
reaches the store need not read first, in seconds."""

DRAIN_CHECK_INTERVAL_S = 0.1
"""Interval between two checks whether a draining node may stop, in seconds."""

DRAIN_MIN_S = 2.5
"""Minimum time between the signal to stop and the end, in seconds. The load balancer
sends callers elsewhere after two failed checks, which are 1 s apart."""

EXIT_MARGIN_S = 0.7
"""Margin between the latest end of a drain and the platform's kill signal, in
seconds."""

_log = logging.getLogger(__name__)


class Node:
    """Serves callers, follows the store, and is the holder when elected."""

    def __init__(
        self,
        settings: BootSettings,
        reactor: Any,
        store: Store | None = None,
        links: PeerLinks[NodeMessage] | None = None,
        take_speed_sample: Callable[[], float] = time_sample,
    ) -> None:
        """Prepare the node; nothing is opened before :meth:`start`.

        Without ``store``, the store of the settings is used; without ``links``, TCP
        connections to the other nodes. ``take_speed_sample`` returns how long a fixed
        amount of work takes, in seconds.
        """
        self._http = HttpClient(reactor)
        self._advice = AdviceClient(self._http, settings.advice_address)
        addresses_by_id: dict[MemberId, PeerAddress] = {}
        metrics = NodeMetrics()
        limits = process_limits(settings)
        if links is None:
            codec: Codec[NodeMessage] = Codec("node_peer.capnp", NodeMessage)
            links = PeerLinks(
                reactor,
                settings.node,
                addresses_by_id,
                codec,
                self.handle_message,
                peer_limits(reactor, limits, metrics.connections),
            )
        self._context = NodeContext(
            settings=settings,
            reactor=reactor,
            store=store
            or Store(
                self._http,
                settings.store_address,
                settings.max_append_bytes,
                settings.max_record_bytes,
            ),
            links=links,
            peer_calls=PeerCalls(reactor, links),
            job_index=JobIndex(),
            metrics=metrics,
            processor_speed=ProcessorSpeed(
                reactor,
                metrics,
                lambda: self._follower.is_following,
                take_speed_sample,
            ),
            started_unix_ms=clock.unix_ms(),
        )
        self._operator_tail = TopicTail(
            reactor,
            self._context.store,
            OPERATOR_TOPIC,
            self._apply_operator_snapshot,
            self._apply_operator_records,
            OPERATOR_READ_WAIT_MS,
            0.0,
        )
        self._evacuations = EvacuationWatch(
            reactor,
            self._operator_tail.read_now,
            lambda: self._operator_tail.caught_up_at,
            self._evacuations_changed,
        )
        self._registry = NodeRegistry(self._context, addresses_by_id)
        self._follower = JobsFollower(
            self._context, self._registry, self._create_jobs_tail
        )
        self._election = HolderElection(
            self._context,
            self._registry,
            self._follower,
            self._evacuations,
            self._holder_dependencies,
        )
        self._election.on_holder_node_changed = self._holder_node_changed
        self._departed_nodes = DepartedNodes(
            self._context, self._registry, lambda: self._election.holder is not None
        )
        self._remote_contact = RemoteContact(
            reactor,
            self._context.peer_calls,
            settings.data_centre,
            self._registry.candidates,
            lambda: self._store_contact.silence_s(),
        )
        self._store_contact = StoreContact(
            reactor,
            self._last_store_answers,
            self._election.tail.read_now,
            self._remote_contact.unanswered_s,
            self._remote_contact.is_answered,
        )
        self.jobs = JobService(
            self._context,
            self._registry,
            self._election,
            self._follower,
            self._store_contact,
            JobLimits(
                reactor,
                JobLimitSizes.of_memory(settings.memory_bytes),
                self._context.job_index,
                metrics,
            ),
        )
        self._jobs_resource = JobsResource(
            self.jobs, metrics, ServedRequests(limits.served_by_kind)
        )
        self._ports = HttpPorts(reactor, limits, self.jobs, metrics.connections)
        self._handlers: dict[type, Callable[[MemberId, Any], None]] = {
            **self.jobs.handlers,
            StoreAgeQuery: self._handle_store_age_query,
            AdviceQuery: self._handle_advice_query,
            HolderReleased: self._handle_holder_released,
            EvacuationSeen: self._handle_evacuation_seen,
            **dict.fromkeys(
                (PhaseReply, WaitingReply, AdviceReply, StoreReply, StoreAgeReply),
                self._handle_reply,
            ),
        }

    def start(self) -> None:
        """Open the sockets and start following the store."""
        settings = self._context.settings
        self._ports.listen_for_callers(settings.entry_address, self._jobs_resource)
        self._ports.listen_for_checks(
            settings.readiness_address, ReadinessResource(self._is_ready)
        )
        self._ports.listen_for_metrics(
            PeerAddress(settings.ip, settings.metrics_port),
            MetricsResource(self._context.metrics),
        )
        self._context.links.listen(PeerAddress(settings.ip, settings.peer_port))
        self.follow_store()
        self.start_claiming()
        spawn(self._registry.register())
        _log.info("node started", extra={"node": settings.node})

    def follow_store(self) -> None:
        """Start reading the store's topics."""
        self._operator_tail.start()
        self._election.tail.start()
        self._registry.tail.start()
        self._follower.start()
        self._remote_contact.start()
        self._store_contact.start()

    def start_claiming(self) -> None:
        """Start claiming the holder role whenever this node is next in rank."""
        self._election.start()
        self._departed_nodes.start()
        self._context.processor_speed.start()

    @property
    def follows_jobs(self) -> bool:
        """Whether this node follows the jobs topic of the store."""
        return self._follower.is_following

    async def drain(self) -> None:
        """Release the holder role and finish the requests in progress.

        Return then, but not before ``DRAIN_MIN_S``, or else ``EXIT_MARGIN_S`` before
        the platform kills the process.
        """
        started_at = clock.now()
        self._context.is_draining = True
        is_holder = self._election.holder is not None
        _log.info("node drains", extra={"holder": is_holder})
        spawn(self._election.release())
        grace_s = self._context.settings.bounds.termination_grace_s
        drain_deadline = started_at + grace_s - EXIT_MARGIN_S
        while clock.now() < drain_deadline:
            await deferLater(
                self._context.reactor, DRAIN_CHECK_INTERVAL_S, lambda: None
            )
            is_idle = (
                self._election.holder is None and not self._jobs_resource.in_flight
            )
            if is_idle and clock.now() >= started_at + DRAIN_MIN_S:
                break
        _log.info("node stopped", extra={"in_flight": self._jobs_resource.in_flight})

    def _create_jobs_tail(self) -> TopicTail:
        context = self._context
        return TopicTail(
            context.reactor,
            context.store,
            JOBS_TOPIC,
            self._apply_jobs_snapshot,
            self._apply_job_records,
            JOBS_READ_WAIT_MS,
            JOBS_READ_INTERVAL_S,
        )

    def _holder_dependencies(self) -> HolderDependencies:
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
            context.settings.bounds.stop_timeout_ms,
            context.settings.bounds.lease_max_ms,
            self._store_contact.silence_s,
        )

    def _is_ready(self) -> bool:
        return (
            not self._context.is_draining
            and self._context.fleet is not None
            and self.jobs.can_look_up
            and not self._store_contact.is_lost
        )

    def _last_store_answers(self) -> tuple[Instant | None, ...]:
        return (
            self._operator_tail.last_contact,
            self._election.tail.last_contact,
            self._follower.last_contact,
        )

    def _apply_jobs_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        self._apply_job_records(records)
        self._election.check_soon()

    def _apply_job_records(self, records: Sequence[KeyedRecord]) -> None:
        self.jobs.apply_records(records)

    def _apply_operator_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        end = self._operator_tail.next_offset
        if end is not None:
            self._evacuations.apply_snapshot(records, end)
        self._apply_configs(records)

    def _apply_operator_records(self, records: Sequence[KeyedRecord]) -> None:
        self._evacuations.apply_records(records)
        self._apply_configs(records)

    def _evacuations_changed(self, changes: list[EvacuationChange]) -> None:
        """Tell the holder, on this node or another one, which the store may refuse."""
        count = len(self._evacuations.data_centres)
        self._context.metrics.set_evacuated_data_centres(count)
        holder, holder_node = self._election.holder, self._election.holder_node
        if holder is not None:
            holder.set_evacuated_data_centres(self._evacuations.data_centres)
        elif holder_node is not None and holder_node != self._context.node_id:
            send_evacuations(self._context, holder_node, changes)

    def _holder_node_changed(self) -> None:
        """Tell the new holder what this node has read; earlier notices went elsewhere.

        The holder may be unable to read the store.
        """
        holder_node = self._election.holder_node
        if holder_node is not None and holder_node != self._context.node_id:
            changes = self._evacuations.changes()
            send_evacuations(self._context, holder_node, changes)

    def _handle_evacuation_seen(
        self, _sender: MemberId, message: EvacuationSeen
    ) -> None:
        change = EvacuationChange(
            DataCentreId(message.data_centre),
            Offset(message.offset),
            message.is_evacuated,
        )
        self._evacuations.apply_notice(change)

    def _apply_configs(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            if record.key == CONFIG_KEY and record.value:
                self._apply_config(record)

    def _apply_config(self, record: KeyedRecord) -> None:
        decoded = decode_fleet_config(record.value)
        if isinstance(decoded, Failure):
            extra = {"offset": record.offset, "reason": decoded.failure()}
            _log.error("configuration not readable; ignored", extra=extra)
            return
        fleet = decoded.unwrap()
        previous = self._context.fleet
        if previous is not None and fleet.version <= previous.version:
            return
        self._context.fleet = fleet
        _log.info("configuration in force", extra={"version": fleet.version})
        if previous is None:
            self._election.check_soon()
        if self._election.holder is not None:
            self._election.holder.set_fleet_config(fleet)

    def handle_message(self, envelope: Envelope[NodeMessage]) -> None:
        """Handle a message from another node."""
        handler = self._handlers[type(envelope.message)]
        handler(envelope.sender, envelope.message)

    def _handle_store_age_query(self, sender: MemberId, query: StoreAgeQuery) -> None:
        spawn_answer(self._answer_store_age_query(sender, query))

    async def _answer_store_age_query(
        self, sender: MemberId, query: StoreAgeQuery
    ) -> None:
        if query.read_now and self._store_contact.silence_s() > FRESH_STORE_CONTACT_S:
            await self._election.tail.read_now()
        age_ms = int(self._store_contact.silence_s() * MS_PER_SECOND)
        slowdown_percent = int(self._context.processor_speed.slowdown * PERCENT)
        reply = StoreAgeReply(query.call_id, age_ms, slowdown_percent)
        self._context.links.send(sender, reply)
        if not query.contact_only:
            # The holder asks while the store does not answer it; a notice may be lost.
            send_evacuations(self._context, sender, self._evacuations.changes())

    def _handle_advice_query(self, sender: MemberId, query: AdviceQuery) -> None:
        spawn_answer(self._answer_advice_query(sender, query))

    def _handle_reply(self, _sender: MemberId, reply: QueryReply) -> None:
        self._context.peer_calls.handle_reply(reply)

    def _handle_holder_released(
        self, sender: MemberId, message: HolderReleased
    ) -> None:
        spawn(self._election.handle_holder_notice(sender, message))

    async def _answer_advice_query(self, sender: MemberId, query: AdviceQuery) -> None:
        step = StepKey(JobId(query.job_id), query.occurrence, query.step)
        workers = [WorkerId(worker) for worker in query.workers]
        now = self._context.reactor.seconds()
        deadline = Instant(now + query.timeout_ms / MS_PER_SECOND)
        answer = await self._advice.ask(step, workers, deadline)
        self._context.links.send(sender, reply_to(query, answer))
