"""Simulation of all nodes of an idle fleet, in virtual time and in one process."""

from collections import Counter, deque
from dataclasses import dataclass, field

from tamarackmount.adapters.log_schema import RecordPage, StoredRecord
from tamarackmount.bench.synthetic_data import START_TIME
from tamarackmount.ids import (
    ConfigPath,
    Incarnation,
    Instant,
    MemberId,
    Offset,
    RecordId,
)
from tamarackmount.kernel.effects import AppendToLog, Effect, SendPeer
from tamarackmount.kernel.log_records import (
    ConfigChange,
    ConfigSnapshot,
    record_from_text,
    record_to_text,
)
from tamarackmount.kernel.log_writer import AppendResult
from tamarackmount.kernel.membership import Member
from tamarackmount.kernel.messages import Heartbeat, PeerMessage
from tamarackmount.kernel.node import Node, NodeTiming


@dataclass(frozen=True, slots=True)
class _Envelope:
    sender: MemberId
    to: MemberId
    message: PeerMessage


@dataclass(slots=True)
class IdleFleet:
    """A fleet whose messages all arrive and whose log drops no records."""

    members: list[Member]
    now: Instant = START_TIME
    sent_by_type: Counter[type] = field(default_factory=Counter)
    nodes_by_id: dict[MemberId, Node] = field(default_factory=dict)
    _records: list[StoredRecord] = field(default_factory=list)
    _pending: deque[_Envelope] = field(default_factory=deque)

    def __post_init__(self) -> None:
        """Start every node."""
        for member in self.members:
            peers = [peer for peer in self.members if peer.id != member.id]
            node = Node(member, peers, Incarnation(1), NodeTiming(), self.now)
            self.nodes_by_id[member.id] = node

    def run(self, seconds: float, tick_s: float, log_poll_s: float) -> None:
        """Advance the time in ticks.

        Each node reads the log once per poll period, and the reads are spread evenly
        over the ticks of the period.
        """
        ticks_per_poll = max(1, round(log_poll_s / tick_s))
        for number in range(round(seconds / tick_s)):
            self.now = Instant(self.now + tick_s)
            self._read_log(number % ticks_per_poll, ticks_per_poll)
            self._tick()

    def fill_log(self, count: int) -> None:
        """Append changes of one document; the nodes refuse all but the first."""
        change = ConfigChange(
            path=ConfigPath("teams/retail"), expected=Offset(0), text="share = 1.0\n"
        )
        text = record_to_text(change)
        for number in range(count):
            offset = Offset(len(self._records) + 1)
            stored = StoredRecord(
                offset=offset, id=RecordId(f"filling/{number}"), body=text
            )
            self._records.append(stored)

    def owners(self) -> list[MemberId]:
        """Return the members that own their data centre."""
        return [
            member_id
            for member_id, node in self.nodes_by_id.items()
            if node.ownership.is_owner
        ]

    def snapshots(self) -> int:
        """Return the number of snapshots in the log."""
        parsed = [record_from_text(record.body).unwrap() for record in self._records]
        return sum(isinstance(record, ConfigSnapshot) for record in parsed)

    def last_heartbeat(self, sender: MemberId) -> Heartbeat:
        """Return the last heartbeat that a member received from the sender."""
        for node in self.nodes_by_id.values():
            heartbeat = node.membership.heartbeat_of(sender)
            if heartbeat is not None:
                return heartbeat
        raise LookupError(f"no member has received a heartbeat from {sender}")

    def _tick(self) -> None:
        for member_id, node in self.nodes_by_id.items():
            self._apply(member_id, node, node.tick(self.now))
        self._deliver()

    def _read_log(self, first: int, step: int) -> None:
        for member_id, node in list(self.nodes_by_id.items())[first::step]:
            page = self._page(node.log.config.applied)
            self._apply(member_id, node, node.log_read(page, self.now, self.now))
        self._deliver()

    def _deliver(self) -> None:
        while self._pending:
            envelope = self._pending.popleft()
            node = self.nodes_by_id[envelope.to]
            effects = node.peer_message(envelope.sender, envelope.message, self.now)
            self._apply(envelope.to, node, effects)

    def _apply(self, sender: MemberId, node: Node, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendPeer):
                self.sent_by_type[type(effect.message)] += 1
                self._pending.append(_Envelope(sender, effect.to, effect.message))
            elif isinstance(effect, AppendToLog):
                self._append(effect)
                follow_ups = node.log_appended(AppendResult.DONE, self.now)
                self._apply(sender, node, follow_ups)

    def _append(self, effect: AppendToLog) -> None:
        for record in effect.records:
            offset = Offset(len(self._records) + 1)
            stored = StoredRecord(offset=offset, id=record.id, body=record.text)
            self._records.append(stored)

    def _page(self, position: Offset) -> RecordPage:
        return RecordPage(
            first_offset=Offset(1),
            next_offset=Offset(len(self._records) + 1),
            records=self._records[position - 1 :],
        )
