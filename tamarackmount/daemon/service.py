"""The daemon: connects a node to the components that do its I/O.

The node is a :class:`tamarackmount.kernel.node.Node`.
"""

import logging
import time
from collections.abc import Callable, Collection, Sequence
from typing import Any

from aioprometheus import Registry
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from tamarackmount.adapters.log import LogClient
from tamarackmount.adapters.log_schema import RecordPage
from tamarackmount.adapters.reactor import make_monotonic
from tamarackmount.adapters.upstreams import UpstreamClient
from tamarackmount.adapters.vm_schema import VmList
from tamarackmount.adapters.vms import VmListClient
from tamarackmount.adapters.worker_schema import CommandReply, WorkerReport
from tamarackmount.adapters.workers import StaleEpochError, WorkerClient
from tamarackmount.daemon.drain import Drain, DrainPhase, DrainTimes
from tamarackmount.daemon.http_api import Admission, ApiResource, HttpSink
from tamarackmount.daemon.http_responses import write_json, write_metrics
from tamarackmount.daemon.job_calls import JobCalls
from tamarackmount.daemon.metrics import MemberMetrics, RequestMetrics
from tamarackmount.daemon.node_settings import (
    addresses_of,
    member_of,
    peers_of,
    timing_of,
)
from tamarackmount.daemon.operator_calls import OperatorCalls
from tamarackmount.daemon.platform_tasks import LogTask, VmTask, WorkerTask
from tamarackmount.daemon.quiet_site import QuietSite
from tamarackmount.daemon.request_calls import (
    FORWARD_MARGIN_MS,
    PeerSink,
    RequestCalls,
    RequestContent,
    ResponseSink,
    content_from_forwarded,
)
from tamarackmount.daemon.status_view import StatusView, status_of
from tamarackmount.daemon.taken_forwards import FLUSH_S, TakenForwards
from tamarackmount.daemon.tracing import make_tracer
from tamarackmount.ids import (
    ConfigPath,
    DataCentreId,
    Incarnation,
    Instant,
    KeyHash,
    MemberId,
    Offset,
    QueueName,
    TicketId,
    WorkspaceId,
)
from tamarackmount.internal.addresses import Address
from tamarackmount.internal.bounded_request import BoundedRequest
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.links import PeerLinks
from tamarackmount.internal.member_codec import MEMBER_CODEC
from tamarackmount.internal.metrics_text import render_metrics
from tamarackmount.kernel.effects import (
    AbortCall,
    AppendToLog,
    CallUpstream,
    CallWorker,
    Effect,
    FinishChange,
    FinishJobCall,
    FinishRequest,
    ForwardRequest,
    ReadLog,
    ReportProblem,
    RoleChanged,
    SendPeer,
)
from tamarackmount.kernel.fleet_config import FleetConfig
from tamarackmount.kernel.forwarding import CallerRequest
from tamarackmount.kernel.log_writer import AppendResult
from tamarackmount.kernel.messages import (
    AttemptResult,
    ForwardedReply,
    ForwardedRequest,
    JobCall,
    PeerMessage,
    RefusalReason,
)
from tamarackmount.kernel.node import Node
from tamarackmount.settings import Settings
from tamarackmount.units import MS_PER_SECOND

TICKS_PER_HEARTBEAT = 10
"""Ticks of the node per heartbeat interval."""

_log = logging.getLogger(__name__)


def read_clock() -> Instant:
    """Return the local monotonic time."""
    return Instant(time.monotonic())


class Daemon:
    """One running member: passes inputs to the node and carries out its effects."""

    def __init__(self, settings: Settings, reactor: Any) -> None:
        """Create the components without listening or connecting."""
        make_monotonic(reactor)
        self._reactor = reactor
        self._settings = settings
        member = member_of(settings)
        incarnation = Incarnation(time.time_ns() // 1_000_000)
        timing = timing_of(settings)
        now = read_clock()
        self._node = Node(member, peers_of(settings), incarnation, timing, now)
        self._registry = Registry()
        self._gauges = MemberMetrics(self._registry)
        self._stopped: Deferred[bool] = Deferred()
        self._has_failed = False
        self._last_call_id = 0
        self._drain: Drain | None = None
        self._taken_forwards = TakenForwards()
        self._close_links_at: Instant | None = None
        self._http_port: Any = None
        self._make_components(settings, member.id)
        self._tick_loop = LoopingCall(self._tick)
        self._tick_loop.clock = reactor
        self._handlers: dict[type, Callable[[Any], None]] = {
            SendPeer: self._send_peer,
            AppendToLog: self._log_task.append,
            ReadLog: self._read_log,
            CallUpstream: self._call_upstream,
            AbortCall: self._calls.abort,
            FinishRequest: self._calls.finish,
            ForwardRequest: self._forward,
            CallWorker: self._worker_task.send,
            FinishJobCall: self._finish_job_call,
            FinishChange: self._operators.finish,
            RoleChanged: _log_role,
            ReportProblem: _log_problem,
        }

    def _make_components(self, settings: Settings, member_id: MemberId) -> None:
        reactor = self._reactor
        platform = settings.platform
        tracer = make_tracer(member_id, settings.tracing.sample_ratio)
        upstreams = UpstreamClient(reactor, settings.upstreams.idle_connections)
        metrics = RequestMetrics(self._registry)
        self._calls = RequestCalls(upstreams, read_clock, tracer, metrics)
        addresses = addresses_of(settings)
        self._links = PeerLinks(
            reactor, member_id, addresses, MEMBER_CODEC, self._receive
        )
        log_client = LogClient(reactor, platform.log_url)
        self._log_task = LogTask(log_client, read_clock, self)
        self._vm_task = VmTask(VmListClient(reactor, platform.vms_url), self)
        self._worker_task = WorkerTask(WorkerClient(reactor), self)
        self._jobs = JobCalls(self, self._next_call_id)
        self._operators = OperatorCalls(settings.operators.key_sha256, self)

    # Start and stop

    def start(self) -> "Deferred[bool]":
        """Listen and start the components.

        The result fires when the daemon has stopped, with false after an error.
        """
        settings = self._settings
        listen = settings.listen
        self._links.listen(Address(listen.host, listen.peer_port))
        site = QuietSite(self._make_api_resource(), requestFactory=BoundedRequest)
        self._http_port = self._reactor.listenTCP(
            listen.http_port, site, interface=listen.host
        )
        self._log_task.start(self._reactor, _seconds(settings.platform.log_poll_ms))
        self._vm_task.start(self._reactor, _seconds(settings.platform.vms_poll_ms))
        period_s = _seconds(settings.timing.heartbeat_ms) / TICKS_PER_HEARTBEAT
        self._tick_loop.start(period_s)
        _log.info("started", extra={"member": self._node.member.id})
        return self._stopped

    def drain(self) -> None:
        """Start a planned stop: finish the calls in flight, then stop."""
        if self._drain is not None:
            return
        timing = self._settings.timing
        times = DrainTimes(
            notice_s=_seconds(timing.balancer_notice_ms),
            total_s=max(0.0, _seconds(timing.drain_ms) - FLUSH_S),
        )
        self._drain = Drain(times, read_clock())
        _log.info("draining", extra={"under_way": len(self._calls)})
        self._feed(self._node.drain)

    def _tick(self) -> None:
        if self._close_links_at is not None:
            if read_clock() >= self._close_links_at:
                self._stop()
            return
        self._feed(self._node.tick)
        self._taken_forwards.expire(read_clock())
        if self._drain is not None:
            self._continue_drain(self._drain)

    def _continue_drain(self, drain: Drain) -> None:
        in_flight = len(self._calls) + len(self._jobs)
        phase = drain.advance(in_flight, read_clock())
        if phase is DrainPhase.NOTICE:
            return
        self._node.refuse_new()
        if phase is DrainPhase.FINISHED:
            _log.info("stopped", extra={"cut_off": in_flight})
            self._close_forwards()

    def _close_forwards(self) -> None:
        """Take no more forwards, and tell the peers before the links are closed."""
        now = read_clock()
        self._close_links_at = Instant(now + FLUSH_S)
        taken_by_peer = self._taken_forwards.call_ids_by_peer()
        self._run(self._node.close_forwards(taken_by_peer))

    def _stop(self) -> None:
        if self._stopped.called:
            return
        if self._tick_loop.running:
            self._tick_loop.stop()
        self._log_task.stop()
        self._vm_task.stop()
        self._http_port.stopListening()
        self._links.stop()
        self._stopped.callback(not self._has_failed)

    def _feed(self, handle: Callable[..., list[Effect]], *inputs: Any) -> None:
        """Pass an input to the node and carry out the effects that it returns."""
        try:
            self._run(handle(*inputs, read_clock()))
        except Exception:
            # An error here is a broken invariant: the node's state can't be trusted
            # any more, so the daemon stops and another member takes over.
            _log.critical("broken invariant", exc_info=True)
            self._has_failed = True
            self._stop()

    # Effects

    def _run(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._handlers[type(effect)](effect)

    def _send_peer(self, effect: SendPeer) -> None:
        self._links.send(effect.to, effect.message)

    def _read_log(self, _effect: ReadLog) -> None:
        self._log_task.read()

    def _call_upstream(self, effect: CallUpstream) -> None:
        self._calls.send(effect, self)

    def _forward(self, effect: ForwardRequest) -> None:
        message = self._calls.build_forwarded_request(effect)
        if message is not None and self._links.send(effect.to, message):
            return
        self._feed(self._node.requests.forward_not_sent, effect.call_id)

    def _finish_job_call(self, effect: FinishJobCall) -> None:
        self._jobs.finish(effect.answer)

    # Inputs from the components

    def _receive(self, envelope: Envelope[PeerMessage]) -> None:
        message = envelope.message
        if self._close_links_at is not None:
            # Peers were told that nothing is taken any more.
            if isinstance(message, ForwardedRequest):
                PeerSink(envelope.sender, message.call_id, self._links.send).refuse()
            return
        if isinstance(message, ForwardedRequest):
            self._receive_forwarded(envelope.sender, message)
        elif isinstance(message, ForwardedReply):
            self._calls.handle_forwarded_response(envelope.sender, message, self)
        else:
            self._feed(self._node.peer_message, envelope.sender, message)

    def _receive_forwarded(self, sender: MemberId, message: ForwardedRequest) -> None:
        sink = PeerSink(sender, message.call_id, self._links.send)
        if self._node.is_refusing:
            sink.refuse()
            return
        content = content_from_forwarded(message)
        deadline = Instant(read_clock() + _seconds(message.remaining_ms))
        own_deadline = Instant(deadline + FORWARD_MARGIN_MS / MS_PER_SECOND)
        self._taken_forwards.add(sender, message.call_id, own_deadline)
        self._submit(content, deadline, sink, forwarded=True)

    def _submit(
        self,
        content: RequestContent,
        deadline: Instant,
        sink: ResponseSink,
        *,
        forwarded: bool,
    ) -> int:
        call_id = self._calls.add(content, sink)
        request = CallerRequest(
            call_id=call_id,
            request_id=content.request_id,
            team_id=content.team_id,
            queue=content.queue,
            idempotent=content.idempotent,
            deadline=deadline,
            forwarded=forwarded,
        )
        self._feed(self._node.submit, request)
        return call_id

    def attempt_ended(self, ticket_id: TicketId, result: AttemptResult) -> None:
        """Handle the end of an attempt at an upstream."""
        self._feed(self._node.attempt_ended, ticket_id, result)

    def forward_ended(self, call_id: int, sender: MemberId) -> bool:
        """Handle the response to a forwarded request; return whether it is used."""
        return self._node.requests.forward_ended(call_id, sender)

    def forward_refused(self, call_id: int, sender: MemberId) -> None:
        """Handle that a stopping member did not take a forwarded request."""
        self._feed(self._node.requests.forward_refused, call_id, sender)

    def log_page_read(self, page: RecordPage, asked_at: Instant) -> None:
        """Handle a page of records; ``asked_at`` is when the read was sent."""
        self._feed(self._node.log_read, page, asked_at)

    def log_appended(self, result: AppendResult) -> None:
        """Handle the result of an append call."""
        self._feed(self._node.log_appended, result)

    def log_position(self) -> Offset:
        """Return the offset to read the log from next."""
        return self._node.log.config.applied

    def vms_listed(self, vms: VmList) -> None:
        """Handle a new VM list."""
        self._feed(self._node.vms_listed, vms)

    def worker_synced(self, call: CallWorker, report: WorkerReport) -> None:
        """Handle the report that a sync returned."""
        self._feed(self._node.worker_synced, call, report)

    def worker_answered(self, call: CallWorker, response: CommandReply) -> None:
        """Handle a worker's response to another command."""
        self._feed(self._node.worker_answered, call, response)

    def worker_stale(self, call: CallWorker, error: StaleEpochError) -> None:
        """Handle a refusal by a worker that knows a higher epoch."""
        self._feed(self._node.worker_stale, call, error.highest)

    def worker_failed(self, call: CallWorker) -> None:
        """Handle a call that had no effect or whose effect is unknown."""
        self._feed(self._node.worker_failed, call)

    # The HTTP interface

    def _make_api_resource(self) -> ApiResource:
        return ApiResource(
            self,
            {
                "v1/jobs": self._jobs.serve,
                "v1/config": self._operators.serve_config,
                "v1/history": self._operators.serve_history,
                "v1/status": self._operators.serve_status,
                "v1/drain": self._operators.serve_drain,
                "healthz": self._serve_health,
                "metrics": self._serve_metrics,
            },
        )

    def admit(self, queue: QueueName, key: KeyHash | None) -> Admission:
        """Check whether a request with this key is admitted to the queue."""
        team = self._node.admit(queue, key, read_clock())
        if isinstance(team, RefusalReason):
            return Admission(WorkspaceId(""), team, 0)
        rules = self._node.directory.queues_by_name[queue]
        return Admission(team, None, rules.timeout_ms)

    def submit_request(
        self, content: RequestContent, timeout_ms: int, sink: HttpSink
    ) -> int:
        """Submit a caller's request and return its call id."""
        deadline = Instant(read_clock() + _seconds(timeout_ms))
        return self._submit(content, deadline, sink, forwarded=False)

    def caller_disconnected(self, call_id: int) -> None:
        """Cancel a request whose caller has disconnected."""
        self._calls.discard(call_id)
        self._feed(self._node.caller_disconnected, call_id)

    def team_of_key(self, key: KeyHash | None) -> WorkspaceId | RefusalReason:
        """Return the team of a key, or the reason to refuse the call."""
        return self._node.team_of_key(key, read_clock())

    def data_centres(self) -> Collection[DataCentreId]:
        """Return every data centre of the fleet."""
        return self._node.membership.data_centres()

    def call_jobs(self, call: JobCall) -> None:
        """Start a call about jobs."""
        self._feed(self._node.job_call, call)

    def config(self) -> FleetConfig:
        """Return the configuration."""
        return self._node.log.config

    def change(self, path: ConfigPath, expected: Offset, text: str) -> int:
        """Start an operator's change and return its call id."""
        call_id = self._next_call_id()
        # The outcome arrives after this call has returned, so the caller can
        # register the call id first.
        self._feed(self._node.change_config, call_id, path, expected, text)
        return call_id

    def status(self) -> StatusView:
        """Return the state of the fleet as known to this member."""
        return status_of(self._node, read_clock())

    def _next_call_id(self) -> int:
        self._last_call_id += 1
        return self._last_call_id

    def _serve_health(self, request: BoundedRequest, _parts: list[str]) -> None:
        status = 200 if self._node.is_ready else 503
        write_json(request, status, {"ready": self._node.is_ready})

    def _serve_metrics(self, request: BoundedRequest, _parts: list[str]) -> None:
        self._gauges.update(self._node, self._links.counters)
        write_metrics(request, render_metrics(self._registry))


def _seconds(milliseconds: int) -> float:
    return milliseconds / MS_PER_SECOND


def _log_role(effect: RoleChanged) -> None:
    _log.info(
        "role changed",
        extra={
            "owner": effect.owner,
            "epoch": effect.epoch,
            "is_owner": effect.is_owner,
        },
    )


def _log_problem(effect: ReportProblem) -> None:
    _log.warning("node reported a problem", extra={"detail": effect.text})
