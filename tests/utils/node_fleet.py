"""Simulation of the nodes of several data centres in virtual time, with faults.

Every member has its own clock. Faults: members die, restart and pause; links between
members and between members and the log are cut; messages are lost, duplicated, delayed
and so reordered.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from tamarackmount.adapters.vm_schema import Vm, VmKind, VmList
from tamarackmount.adapters.worker_schema import (
    CommandReply,
    StaleEpoch,
    StartCommand,
    SyncCommand,
    TaskCommand,
    WorkerReport,
)
from tamarackmount.documents import QueueDocument
from tamarackmount.ids import (
    ConfigPath,
    DataCentreId,
    Epoch,
    Incarnation,
    Instant,
    JobId,
    MemberId,
    Offset,
    QueueName,
    RackId,
    RequestId,
    WorkerId,
    WorkspaceId,
)
from tamarackmount.kernel.effects import (
    AppendToLog,
    CallUpstream,
    CallWorker,
    Effect,
    FinishChange,
    FinishJobCall,
    FinishRequest,
    ForwardRequest,
    ReadLog,
    RoleChanged,
    SendPeer,
    WorkerAction,
)
from tamarackmount.kernel.forwarding import CallerRequest
from tamarackmount.kernel.job_records import read_record
from tamarackmount.kernel.log_writer import AppendResult
from tamarackmount.kernel.membership import Member
from tamarackmount.kernel.messages import (
    AttemptResult,
    JobAction,
    JobCall,
    TicketGrant,
)
from tamarackmount.kernel.node import Node, NodeTiming
from tests.utils.build_jobs import spec_text, worker
from tests.utils.fake_log import FakeLog
from tests.utils.fake_workers import FakeWorker

TICK_S = 0.05
LOG_POLL_S = 0.5
NETWORK_S = 0.001
REPLY_TIMEOUT_S = 0.5
SERVICE_S = 0.05

TEAM = WorkspaceId("retail")
QUEUE = QueueName("counter")
QUEUE_TEXT = f'service = "{QUEUE}"\nopen_to_all = true\n'
TEAM_TEXT = "share = 1.0\n"
QUEUE_PATH = ConfigPath(f"queues/{QUEUE}")
TEAM_PATH = ConfigPath(f"teams/{TEAM}")


@dataclass(slots=True)
class Run:
    """One run of a member.

    ``offset_s`` is the offset of its clock. ``is_resumed`` is set by a gap in its
    inputs longer than the owner lease and cleared when it becomes owner.
    """

    member: Member
    incarnation: Incarnation
    node: Node
    offset_s: float
    started_at: float
    paused_until: float = 0.0
    last_input_at: float = 0.0
    is_resumed: bool = False
    reading: bool = False
    next_poll: float = 0.0
    inbox: list[Callable[[], None]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LostKind:
    """Messages of one type that never reach a member."""

    kind: type
    to: str


@dataclass(frozen=True, slots=True)
class Term:
    """A term of ownership and when it began."""

    member_id: MemberId
    incarnation: Incarnation
    epoch: Epoch
    at: float


@dataclass(slots=True)
class Change:
    """An operator's change and its reported outcome."""

    member_id: MemberId
    path: ConfigPath
    text: str
    at: float
    outcome: str = ""
    answered_at: float = 0.0


@dataclass(slots=True)
class Submission:
    """A submitted job and the answer to its caller."""

    name: str
    member_id: MemberId
    at: float
    status: int = 0
    body: str = ""


@dataclass(slots=True)
class Call:
    """A request and the answer to its caller."""

    member_id: MemberId
    at: float
    outcome: str = ""
    reason: str = ""


class NodeFleet:
    """Performs the effects of every node and feeds their results back to it.

    ``loss`` and ``duplicated`` are the probabilities of a message to be lost or sent
    twice. ``ownership_violations`` lists commands and grants by members that may not
    own.
    """

    def __init__(
        self,
        sizes: Sequence[int] = (3, 3),
        seed: int = 0,
        timing: NodeTiming | None = None,
        workers: int = 1,
        log: FakeLog | None = None,
    ) -> None:
        """Start data centres ``dc1``, ``dc2``... with members ``dc1-a``, ..."""
        self.now = 100.0
        self.random = random.Random(seed)
        self.timing = timing or NodeTiming()
        self.log = log or FakeLog()
        self.loss = 0.0
        self.duplicated = 0.0
        self.jitter_s = 0.0
        self.cut_pairs: set[frozenset[str]] = set()
        self.cut_from_log: set[MemberId] = set()
        self.lost_kinds: set[LostKind] = set()
        self.members = [
            Member(MemberId(f"dc{dc}-{chr(97 + index)}"), DataCentreId(f"dc{dc}"))
            for dc, size in enumerate(sizes, start=1)
            for index in range(size)
        ]
        self.runs: dict[MemberId, Run] = {}
        self.sent: Counter[str] = Counter()
        self.sent_by_member: Counter[MemberId] = Counter()
        self.terms: list[Term] = []
        self.roles: list[tuple[float, MemberId, RoleChanged]] = []
        self.commands: list[tuple[str, Epoch, MemberId, Incarnation]] = []
        self.ownership_violations: list[str] = []
        self.changes: dict[int, Change] = {}
        self.submissions: dict[int, Submission] = {}
        self.requests: dict[int, Call] = {}
        self._numbers = count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._incarnations = count(1_000)
        self.workers_by_id: dict[WorkerId, FakeWorker] = {}
        self._handlers: dict[type, Callable[[Run, Any], None]] = {
            SendPeer: self._send,
            AppendToLog: self._append,
            ReadLog: self._read_log,
            CallWorker: self._call_worker,
            CallUpstream: self._call_upstream,
            ForwardRequest: self._forward,
            RoleChanged: self._record_role,
            FinishChange: self._finish_change,
            FinishJobCall: self._finish_job_call,
            FinishRequest: self._finish_request,
        }
        self.vms = VmList(vms=self._make_vms(len(sizes), workers))
        for member in self.members:
            self.start(member.id)

    def _make_vms(self, data_centres: int, workers: int) -> list[Vm]:
        vms = []
        for dc in range(1, data_centres + 1):
            home = DataCentreId(f"dc{dc}")
            for index in range(workers):
                listed = worker(f"dc{dc}-w{index}")
                self.workers_by_id[listed.id] = FakeWorker(listed)
                size = listed.capacity
                vms.append(
                    Vm(
                        id=listed.id,
                        kind=VmKind.WORKER,
                        data_centre=home,
                        rack=RackId("r"),
                        host=listed.host,
                        port=listed.port,
                        millicores=size.millicores,
                        memory_mib=size.memory_mib,
                    )
                )
            vms.append(
                Vm(
                    id=f"dc{dc}-u",
                    kind=VmKind.UPSTREAM,
                    data_centre=home,
                    rack=RackId("r"),
                    host="127.0.0.1",
                    port=9000,
                    service=QUEUE,
                    slots=8,
                    connections=64,
                )
            )
        return vms

    # Members

    def start(self, name: str) -> Run:
        """Start a new run of a member."""
        member_id = MemberId(name)
        member = next(member for member in self.members if member.id == member_id)
        incarnation = Incarnation(next(self._incarnations) * 7)
        offset_s = self.random.uniform(0, 10_000)
        peers = [peer for peer in self.members if peer.id != member_id]
        clock = Instant(self.now + offset_s)
        node = Node(member, peers, incarnation, self.timing, clock)
        run = Run(member, incarnation, node, offset_s, self.now)
        self.runs[member_id] = run
        self.feed(run, lambda at: node.vms_listed(self.vms, at))
        return run

    def stop(self, *names: str) -> None:
        """Stop members without notice."""
        for name in names:
            del self.runs[MemberId(name)]

    def pause(self, name: str, seconds: float) -> None:
        """Pause a member; its messages are queued."""
        self.runs[MemberId(name)].paused_until = self.now + seconds

    def run_of(self, name: str) -> Run:
        """Return the current run of a member."""
        return self.runs[MemberId(name)]

    def node(self, name: str) -> Node:
        """Return the node of a running member."""
        return self.runs[MemberId(name)].node

    def cut(self, side: Sequence[str], other: Sequence[str]) -> None:
        """Cut the link of every member of ``side`` to every member of ``other``."""
        self.cut_pairs |= {frozenset((a, b)) for a in side for b in other if a != b}

    def heal(self) -> None:
        """End every fault of the network and the log."""
        self.heal_network()
        self.cut_from_log.clear()
        self.log.down = False
        self.log.delay_s = 0.0
        self.log.lose_replies = self.log.late_appends = 0

    def heal_network(self) -> None:
        """End every fault between members."""
        self.cut_pairs.clear()
        self.lost_kinds.clear()
        self.loss = self.duplicated = self.jitter_s = 0.0

    def names(self, data_centre: str = "") -> list[str]:
        """Return the running members of a data centre, or all."""
        return [name for name in self.runs if name.startswith(data_centre)]

    def owners(self, data_centre: str = "dc1") -> list[str]:
        """Return the members that consider themselves owner."""
        return [
            name
            for name in self.names(data_centre)
            if self.node(name).ownership.is_owner
        ]

    def terms_of(self, data_centre: str = "dc1") -> list[Term]:
        """Return the terms that began in a data centre."""
        return [term for term in self.terms if term.member_id.startswith(data_centre)]

    # Time

    def run(self, seconds: float) -> None:
        """Advance time in ticks."""
        for _ in range(max(1, round(seconds / TICK_S))):
            self._step(self.now + TICK_S)

    def run_until(self, done: Callable[[], bool], limit_s: float) -> float:
        """Run until ``done`` returns true; return the time it took, or fail."""
        start = self.now
        while not done():
            assert self.now - start < limit_s, "condition not met in time"
            self._step(self.now + TICK_S)
        return self.now - start

    def _step(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until
        for run in list(self.runs.values()):
            if run.paused_until <= self.now:
                self._tick(run)

    def _tick(self, run: Run) -> None:
        waiting, run.inbox = run.inbox, []
        for action in waiting:
            action()
        self.feed(run, run.node.tick)
        if self.now >= run.next_poll:
            run.next_poll = self.now + LOG_POLL_S
            self._read_log(run)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def feed(self, run: Run, decide: Callable[[Instant], list[Effect]]) -> None:
        """Pass an input to a current run; a paused run gets it later."""
        if self.runs.get(run.member.id) is not run:
            return
        if run.paused_until > self.now:
            run.inbox.append(lambda: self.feed(run, decide))
            return
        lease_s = self.timing.members.owner_lease_s
        if run.last_input_at and self.now - run.last_input_at > lease_s:
            run.is_resumed = True
        run.last_input_at = self.now
        for effect in decide(Instant(self.now + run.offset_s)):
            self._check_resumed_member(run, effect)
            self._perform(run, effect)

    def _check_resumed_member(self, run: Run, effect: Effect) -> None:
        """Record acts of ownership after a long pause, until the member owns again."""
        if isinstance(effect, RoleChanged) and effect.is_owner:
            run.is_resumed = False
        grants = isinstance(effect, SendPeer) and isinstance(
            effect.message, TicketGrant
        )
        if run.is_resumed and (grants or isinstance(effect, CallWorker)):
            self.ownership_violations.append(
                f"{run.member.id} acted after a pause at {self.now}"
            )

    # Effects

    def _perform(self, run: Run, effect: Effect) -> None:
        handler = self._handlers.get(type(effect))
        if handler is not None:
            handler(run, effect)

    def _finish_change(self, _run: Run, effect: FinishChange) -> None:
        change = self.changes[effect.call_id]
        assert not change.outcome, "answered twice"
        change.outcome = effect.outcome.value
        change.answered_at = self.now

    def _finish_job_call(self, _run: Run, effect: FinishJobCall) -> None:
        submission = self.submissions[effect.answer.call_id]
        assert not submission.status, "answered twice"
        submission.status = effect.answer.status
        submission.body = effect.answer.body

    def _send(self, run: Run, effect: SendPeer) -> None:
        sender = run.member.id
        self.sent[type(effect.message).__name__] += 1
        self.sent_by_member[sender] += 1
        copies = 2 if self.random.random() < self.duplicated else 1
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay_s = NETWORK_S + self.random.random() * self.jitter_s
            self._schedule(delay_s, lambda: self._deliver(sender, effect))

    def _deliver(self, sender: MemberId, effect: SendPeer) -> None:
        target = self.runs.get(effect.to)
        if target is None or frozenset((sender, effect.to)) in self.cut_pairs:
            return
        if LostKind(type(effect.message), effect.to) in self.lost_kinds:
            return
        node = target.node
        self.feed(target, lambda at: node.peer_message(sender, effect.message, at))

    def _append(self, run: Run, effect: AppendToLog) -> None:
        def answer(result: AppendResult) -> None:
            self.feed(run, lambda at: run.node.log_appended(result, at))

        if self.log.down or run.member.id in self.cut_from_log:
            self._schedule(NETWORK_S, lambda: answer(AppendResult.NOT_DONE))
            return
        records = effect.records
        if self.log.late_appends:
            self.log.late_appends -= 1
            self._schedule(self.log.late_s, lambda: self.log.append(records, self.now))
            self._schedule(REPLY_TIMEOUT_S, lambda: answer(AppendResult.UNKNOWN))
            return
        self.log.append(records, self.now)
        if self.log.lose_replies:
            self.log.lose_replies -= 1
            self._schedule(REPLY_TIMEOUT_S, lambda: answer(AppendResult.UNKNOWN))
            return
        delay_s = NETWORK_S + self.log.delay_s
        self._schedule(delay_s, lambda: answer(AppendResult.DONE))

    def _read_log(self, run: Run, _effect: ReadLog | None = None) -> None:
        if run.reading:
            run.next_poll = self.now
            return
        if self.log.down or run.member.id in self.cut_from_log:
            return
        run.reading = True
        sent_at = Instant(self.now + run.offset_s)
        page = self.log.page(run.node.log.config.applied)

        def arrive() -> None:
            run.reading = False
            self.feed(run, lambda at: run.node.log_read(page, sent_at, at))

        self._schedule(NETWORK_S + self.log.delay_s, arrive)

    def _call_worker(self, run: Run, effect: CallWorker) -> None:
        if not run.node.ownership.is_owner:
            self.ownership_violations.append(f"{run.member.id} at {self.now}")
        self._schedule(NETWORK_S, lambda: self._reach_worker(run, effect))

    def _reach_worker(self, run: Run, effect: CallWorker) -> None:
        fake_worker = self.workers_by_id[effect.worker_id]
        command = effect.command
        node = run.node
        reply: StaleEpoch | WorkerReport | CommandReply
        match command:
            case SyncCommand():
                reply = fake_worker.sync(command, self.now)
            case StartCommand():
                reply = fake_worker.start(command, self.now)
            case TaskCommand() if effect.action is WorkerAction.STOP:
                reply = fake_worker.stop(command, self.now)
            case TaskCommand():
                reply = fake_worker.take_checkpoint(command, self.now)
        if isinstance(reply, StaleEpoch):
            highest = reply.highest
            self.feed(run, lambda at: node.worker_stale(effect, highest, at))
            return
        name = run.member.id
        self.commands.append((effect.worker_id, command.epoch, name, run.incarnation))
        if isinstance(reply, WorkerReport):
            report = reply
            self.feed(run, lambda at: node.worker_synced(effect, report, at))
            return
        answer = reply
        self.feed(run, lambda at: node.worker_answered(effect, answer, at))

    def _call_upstream(self, run: Run, effect: CallUpstream) -> None:
        node = run.node
        ended = AttemptResult.ANSWERED

        def answer() -> None:
            self.feed(run, lambda at: node.attempt_ended(effect.ticket_id, ended, at))

        self._schedule(SERVICE_S, answer)

    def _forward(self, run: Run, effect: ForwardRequest) -> None:
        target = self.runs.get(effect.to)
        cut = frozenset((run.member.id, effect.to)) in self.cut_pairs
        if target is None or cut:
            requests = run.node.requests
            self.feed(run, lambda at: requests.forward_not_sent(effect.call_id, at))

    def _finish_request(self, _run: Run, effect: FinishRequest) -> None:
        call = self.requests[effect.call_id]
        assert not call.outcome, "answered twice"
        call.outcome = effect.outcome.value
        call.reason = effect.reason.value if effect.reason else ""

    def _record_role(self, run: Run, effect: RoleChanged) -> None:
        self.roles.append((self.now, run.member.id, effect))
        if effect.is_owner:
            term = Term(run.member.id, run.incarnation, effect.epoch, self.now)
            self.terms.append(term)

    # Callers and operators

    def change(
        self, name: str, text: str, path: ConfigPath = TEAM_PATH, expected: int = -1
    ) -> Change:
        """Change a document at a member; by default, expect the version known there."""
        run = self.runs[MemberId(name)]
        call_id = next(self._numbers)
        change = Change(run.member.id, path, text, self.now)
        self.changes[call_id] = change
        version = run.node.log.config.version(path)
        expected_version = version if expected < 0 else Offset(expected)
        node = run.node
        self.feed(
            run,
            lambda at: node.change_config(call_id, path, expected_version, text, at),
        )
        return change

    def submit(self, name: str, data_centre: str = "") -> Submission:
        """Submit a job of kind ``service``, which never ends, through a member."""
        run = self.runs[MemberId(name)]
        call_id = next(self._numbers)
        job = f"job{call_id}"
        submission = Submission(job, run.member.id, self.now)
        self.submissions[call_id] = submission
        spec = spec_text(job, kind="service", cores=0.01, memory_gib=0.01)
        home = JobId(f"{data_centre}:" if data_centre else "")
        call = JobCall(call_id, JobAction.SUBMIT, TEAM, home, spec)
        node = run.node
        self.feed(run, lambda at: node.job_call(call, at))
        return submission

    def request(self, name: str, timeout_s: float = 5.0) -> Call:
        """Send an idempotent request through a member."""
        run = self.runs[MemberId(name)]
        call_id = next(self._numbers)
        call = Call(run.member.id, self.now)
        self.requests[call_id] = call
        node = run.node

        def submit(at: Instant) -> list[Effect]:
            deadline = Instant(at + timeout_s)
            request_id = RequestId(f"r{call_id}")
            new = CallerRequest(call_id, request_id, TEAM, QUEUE, True, deadline)
            return node.submit(new, at)

        self.feed(run, submit)
        return call

    def configured(self) -> "NodeFleet":
        """Run until there are owners, then write one team and one queue."""
        assert QueueDocument(service=QUEUE)
        self.run(5.0)
        first = self.names()[0]
        self.change(first, TEAM_TEXT, TEAM_PATH)
        self.change(first, QUEUE_TEXT, QUEUE_PATH)
        self.run(2.0)
        return self

    def known_jobs(self, data_centre: str) -> set[str]:
        """Return the names of the jobs that the owner of a data centre schedules."""
        owner = self.owners(data_centre)
        assert len(owner) == 1, owner
        scheduler = self.node(owner[0]).jobs.scheduler
        assert scheduler is not None
        return {name_of_record(text) for text in scheduler.records()}


def name_of_record(text: str) -> str:
    """Return the caller's name of the job in a record."""
    return read_record(text).unwrap().spec.id
