"""What callers' requests cost in the kernel, and their ticket messages."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from tamarackmount.bench.costs import Cost
from tamarackmount.bench.loads import START, team_of
from tamarackmount.bench.measure_members import FRAME_HEADER_BYTES
from tamarackmount.bench.measuring import Effort, Line, cpu_seconds, measure_line
from tamarackmount.ids import (
    Epoch,
    Incarnation,
    Instant,
    MemberId,
    QueueName,
    RequestId,
    TeamId,
    UpstreamId,
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
"""Upstreams of one data centre."""

SLOTS = 8
TIMEOUT_S = 10.0


InputT = TypeVar("InputT")
EffectT = TypeVar("EffectT")


@dataclass(frozen=True, slots=True)
class Timed(Generic[EffectT]):
    """Effects of a row of inputs and the processor time that they took."""

    cpu_s: float
    effects: list[EffectT]


def timed(
    step: Callable[[InputT], list[EffectT]], inputs: Iterable[InputT]
) -> Timed[EffectT]:
    """Feed inputs one after another."""
    effects: list[EffectT] = []

    def feed() -> None:
        for one in inputs:
            effects.extend(step(one))

    return Timed(cpu_seconds(feed), effects)


@dataclass(slots=True)
class RequestRun:
    """Requests of one entry VM, one after another, through the owner's tickets."""

    table: RequestTable
    dispatcher: Dispatcher
    entry_cpu_s: float = 0.0
    owner_cpu_s: float = 0.0
    messages: list[PeerMessage] = field(default_factory=list)

    def serve(self, requests: int) -> None:
        """Serve idempotent requests that are answered at the first attempt."""
        requested = self._submit(requests)
        for group in _groups(requested, UPSTREAMS * SLOTS):
            granted = self._grant(group)
            self._release(self._start(granted))

    def _submit(self, requests: int) -> list[TicketRequest]:
        new = [
            NewRequest(
                call_id=number,
                request_id=RequestId(f"req-{number:010}"),
                team_id=team_of(number),
                queue=QUEUE,
                idempotent=True,
                deadline=Instant(START + TIMEOUT_S),
            )
            for number in range(requests)
        ]
        done = timed(lambda one: self.table.submit(one, START), new)
        self.entry_cpu_s += done.cpu_s
        sent = [one.message for one in done.effects if isinstance(one, SendToOwner)]
        self.messages += sent
        return [message for message in sent if isinstance(message, TicketRequest)]

    def _grant(self, requested: Sequence[TicketRequest]) -> list[TicketGrant]:
        ask = self.dispatcher.ticket_requested
        done = timed(lambda one: ask(ENTRY, one, START), requested)
        self.owner_cpu_s += done.cpu_s
        sent = [effect.message for effect in done.effects]
        self.messages += sent
        return [message for message in sent if isinstance(message, TicketGrant)]

    def _start(self, grants: Sequence[TicketGrant]) -> list[SendUpstream]:
        done = timed(lambda one: self.table.granted(one, START), grants)
        self.entry_cpu_s += done.cpu_s
        return [one for one in done.effects if isinstance(one, SendUpstream)]

    def _release(self, started: Sequence[SendUpstream]) -> None:
        end = self.table.attempt_ended
        answered = AttemptResult.ANSWERED
        ended = timed(lambda one: end(one.ticket_id, answered, START), started)
        self.entry_cpu_s += ended.cpu_s
        sent = [one.message for one in ended.effects if isinstance(one, SendToOwner)]
        self.messages += sent
        releases = [message for message in sent if isinstance(message, TicketRelease)]
        release = self.dispatcher.released
        done = timed(lambda one: release(ENTRY, one, START), releases)
        self.owner_cpu_s += done.cpu_s

    def message_bytes(self) -> int:
        """Return the bytes of every ticket message with its frame."""
        return sum(
            len(encode(Envelope(ENTRY, message))) + FRAME_HEADER_BYTES
            for message in self.messages
        )


def make_run() -> RequestRun:
    """Return an entry VM and an owner with all teams and upstreams."""
    timing = RequestTiming()
    table = RequestTable(ENTRY, Incarnation(1_764_791_463_123), timing)
    table.fence(EPOCH, START)
    table.owner_changed(OWNER, START)
    dispatcher = Dispatcher(EPOCH, OWNER, timing, START, fresh=True)
    dispatcher.set_queues({QUEUE: QueueRules(SERVICE)}, START)
    limits_by_team: dict[TeamId, RequestLimits] = {
        team_of(number): RequestLimits(share=1.0, running_requests=800)
        for number in range(TEAMS)
    }
    dispatcher.set_teams(limits_by_team, START)
    upstreams = [
        ListedUpstream(UpstreamId(f"counter-{number:02}"), SERVICE, SLOTS)
        for number in range(UPSTREAMS)
    ]
    dispatcher.set_upstreams(upstreams, START)
    dispatcher.set_members(frozenset({OWNER, ENTRY}), START)
    return RequestRun(table, dispatcher)


def measure_requests(effort: Effort) -> dict[Cost, Line]:
    """Measure requests at an entry VM and at the owner."""
    sizes = effort.sizes(216, 648, 1_296)

    def served(requests: int) -> RequestRun:
        run = make_run()
        run.serve(requests)
        return run

    def line(read: Callable[[RequestRun], float], repeats: int) -> Line:
        return measure_line(sizes, lambda size: read(served(size)), repeats)

    return {
        Cost.ENTRY_REQUEST: line(lambda run: run.entry_cpu_s, effort.repeats),
        Cost.OWNER_REQUEST: line(lambda run: run.owner_cpu_s, effort.repeats),
        Cost.REQUEST_MESSAGES: line(lambda run: float(len(run.messages)), 1),
        Cost.REQUEST_BYTES: line(lambda run: float(run.message_bytes()), 1),
    }


def _groups(
    requests: Sequence[TicketRequest], size: int
) -> list[Sequence[TicketRequest]]:
    return [requests[start : start + size] for start in range(0, len(requests), size)]
