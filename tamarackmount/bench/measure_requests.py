"""Measures the kernel's cost of callers' requests and their ticket messages."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.measure_members import FRAME_HEADER_BYTES
from tamarackmount.bench.measuring import (
    Line,
    SamplingOptions,
    cpu_seconds,
    measure_line,
)
from tamarackmount.bench.synthetic_data import START_TIME, team_id_for
from tamarackmount.ids import (
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    QueueName,
    RequestId,
    UpstreamId,
    WorkspaceId,
)
from tamarackmount.internal.codec import Envelope
from tamarackmount.internal.member_codec import encode
from tamarackmount.kernel.dispatcher import Dispatcher
from tamarackmount.kernel.messages import (
    AttemptResult,
    PeerMessage,
    TicketGrant,
    TicketRelease,
    TicketRequest,
)
from tamarackmount.kernel.request_effects import (
    NewRequest,
    RequestTiming,
    SendToOwner,
    SendUpstream,
)
from tamarackmount.kernel.request_queues import QueueRules, RequestLimits
from tamarackmount.kernel.requests import RequestTable
from tamarackmount.kernel.slots import ListedUpstream

OWNER = MemberId("dc-01-entry-01")
ENTRY = MemberId("dc-01-entry-02")
QUEUE = QueueName("counter")
SERVICE = "counter"
EPOCH = Epoch(65_536)
TEAMS = 340
UPSTREAMS = 27
"""Number of upstreams in one data centre."""

SLOTS = 8
"""Number of slots of each upstream."""

TIMEOUT_S = 10.0


InputT = TypeVar("InputT")
EffectT = TypeVar("EffectT")


@dataclass(frozen=True, slots=True)
class Timed(Generic[EffectT]):
    """Effects of a sequence of inputs, and the processor time it took."""

    cpu_s: float
    effects: list[EffectT]


def timed(
    step: Callable[[InputT], list[EffectT]], inputs: Iterable[InputT]
) -> Timed[EffectT]:
    """Call ``step`` with each input and measure the processor time."""
    effects: list[EffectT] = []

    def feed() -> None:
        for item in inputs:
            effects.extend(step(item))

    return Timed(cpu_seconds(feed), effects)


@dataclass(slots=True)
class RequestRun:
    """Serves requests of one entry VM with tickets of the owner.

    ``messages`` collects the ticket messages of both.
    """

    table: RequestTable
    dispatcher: Dispatcher
    entry_cpu_s: float = 0.0
    owner_cpu_s: float = 0.0
    messages: list[PeerMessage] = field(default_factory=list)

    def serve(self, requests: int) -> None:
        """Serve idempotent requests whose first attempt is answered."""
        requested = self._submit(requests)
        for batch in _batches(requested, UPSTREAMS * SLOTS):
            granted = self._grant(batch)
            self._release(self._start(granted))

    def _submit(self, requests: int) -> list[TicketRequest]:
        new_requests = [
            NewRequest(
                call_id=number,
                request_id=RequestId(f"req-{number:010}"),
                team_id=team_id_for(number),
                queue=QUEUE,
                idempotent=True,
                deadline=Instant(START_TIME + TIMEOUT_S),
            )
            for number in range(requests)
        ]
        timed_submit = timed(
            lambda request: self.table.submit(request, START_TIME), new_requests
        )
        self.entry_cpu_s += timed_submit.cpu_s
        sent = [
            effect.message
            for effect in timed_submit.effects
            if isinstance(effect, SendToOwner)
        ]
        self.messages += sent
        return [message for message in sent if isinstance(message, TicketRequest)]

    def _grant(self, requested: Sequence[TicketRequest]) -> list[TicketGrant]:
        request_ticket = self.dispatcher.ticket_requested
        timed_requests = timed(
            lambda ticket_request: request_ticket(ENTRY, ticket_request, START_TIME),
            requested,
        )
        self.owner_cpu_s += timed_requests.cpu_s
        sent = [effect.message for effect in timed_requests.effects]
        self.messages += sent
        return [message for message in sent if isinstance(message, TicketGrant)]

    def _start(self, grants: Sequence[TicketGrant]) -> list[SendUpstream]:
        timed_grants = timed(
            lambda grant: self.table.granted(grant, START_TIME), grants
        )
        self.entry_cpu_s += timed_grants.cpu_s
        return [
            effect
            for effect in timed_grants.effects
            if isinstance(effect, SendUpstream)
        ]

    def _release(self, started: Sequence[SendUpstream]) -> None:
        end_attempt = self.table.attempt_ended
        answered = AttemptResult.ANSWERED
        timed_end = timed(
            lambda attempt: end_attempt(attempt.ticket_id, answered, START_TIME),
            started,
        )
        self.entry_cpu_s += timed_end.cpu_s
        sent = [
            effect.message
            for effect in timed_end.effects
            if isinstance(effect, SendToOwner)
        ]
        self.messages += sent
        releases = [message for message in sent if isinstance(message, TicketRelease)]
        release = self.dispatcher.released
        timed_releases = timed(
            lambda message: release(ENTRY, message, START_TIME), releases
        )
        self.owner_cpu_s += timed_releases.cpu_s

    def message_bytes(self) -> int:
        """Return the total size of the ticket messages, with their frames."""
        return sum(
            len(encode(Envelope(ENTRY, message))) + FRAME_HEADER_BYTES
            for message in self.messages
        )


def make_request_run() -> RequestRun:
    """Return an entry VM and an owner that know all teams and upstreams."""
    timing = RequestTiming()
    table = RequestTable(ENTRY, Incarnation(1_764_791_463_123), timing)
    table.raise_fence(EPOCH, START_TIME)
    table.owner_changed(OWNER, START_TIME)
    dispatcher = Dispatcher(EPOCH, OWNER, timing, START_TIME, is_first_owner=True)
    dispatcher.set_queues({QUEUE: QueueRules(SERVICE)}, START_TIME)
    limits_by_team: dict[WorkspaceId, RequestLimits] = {
        team_id_for(number): RequestLimits(share=1.0, running_requests=800)
        for number in range(TEAMS)
    }
    dispatcher.set_teams(limits_by_team, START_TIME)
    upstreams = [
        ListedUpstream(UpstreamId(f"counter-{number:02}"), SERVICE, SLOTS)
        for number in range(UPSTREAMS)
    ]
    dispatcher.set_upstreams(upstreams, START_TIME)
    dispatcher.set_members(frozenset({OWNER, ENTRY}), START_TIME)
    return RequestRun(table, dispatcher)


def measure_requests(sampling: SamplingOptions) -> dict[Cost, Line]:
    """Measure requests on the entry VM and on the owner."""
    sizes = sampling.sizes(216, 648, 1_296)

    def served(requests: int) -> RequestRun:
        run = make_request_run()
        run.serve(requests)
        return run

    def line(read: Callable[[RequestRun], float], repeats: int) -> Line:
        return measure_line(sizes, lambda size: read(served(size)), repeats)

    return {
        Cost.ENTRY_REQUEST: line(lambda run: run.entry_cpu_s, sampling.repeats),
        Cost.OWNER_REQUEST: line(lambda run: run.owner_cpu_s, sampling.repeats),
        Cost.REQUEST_MESSAGES: line(lambda run: float(len(run.messages)), 1),
        Cost.REQUEST_BYTES: line(lambda run: float(run.message_bytes()), 1),
    }


def _batches(
    requests: Sequence[TicketRequest], size: int
) -> list[Sequence[TicketRequest]]:
    return [requests[start : start + size] for start in range(0, len(requests), size)]
