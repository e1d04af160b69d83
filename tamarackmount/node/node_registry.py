"""Registration of entry VMs and their addresses, in a store topic of their own."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure
from twisted.internet.task import deferLater

from tamarackmount.ids import DataCentreId, Instant, MemberId, Offset
from tamarackmount.internal.addresses import Address as PeerAddress
from tamarackmount.node.context import NodeContext
from tamarackmount.node.tasks import spawn
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.store import Appended, KeyedRecord, Topic
from tamarackmount.scheduling.membership.holder_watch import Candidate
from tamarackmount.scheduling.store.journal import decode_record, encode_record

NODES_TOPIC = Topic("keyed.nodes")
"""Topic in which each entry VM registers its address."""

NODES_READ_WAIT_MS = 5_000
"""Long-poll wait of a read of the registrations, in milliseconds; they change
rarely."""

REGISTER_TIMEOUT_S = 1.0
"""Timeout of an attempt to register this node, and delay before the next, in
seconds."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """Registration of an entry VM.

    ``ip`` and ``port`` are its address for other entry VMs, ``cores`` its processor
    time in cores, and ``started_unix_ms`` the start of its process.
    """

    ip: str
    port: int
    data_centre: str
    cores: float
    started_unix_ms: int


class NodeRegistry:
    """The registered entry VMs; keeps the links to them up to date."""

    def __init__(
        self, context: NodeContext, addresses_by_id: dict[MemberId, PeerAddress]
    ) -> None:
        """Maintain ``addresses_by_id``, which the links use.

        ``on_read`` is called whenever registrations were read.
        """
        self._context = context
        self._addresses_by_id = addresses_by_id
        self._records_by_node: dict[MemberId, NodeRecord] = {}
        self._registered_at: Offset | None = None
        self._removed_at = Offset(-1)
        self.on_read: Callable[[], None] = lambda: None
        self.tail = TopicTail(
            context.reactor,
            context.store,
            NODES_TOPIC,
            self._apply_snapshot,
            self._apply_records,
            NODES_READ_WAIT_MS,
            0.0,
        )

    def candidates(self) -> list[Candidate]:
        """Return the nodes that may become the holder."""
        return [
            Candidate(node, DataCentreId(record.data_centre), record.cores)
            for node, record in self._records_by_node.items()
        ]

    def is_local(self, node: MemberId) -> bool:
        """Tell whether a node is registered in this node's data centre."""
        record = self._records_by_node.get(node)
        own = self._context.settings.data_centre
        return record is not None and record.data_centre == own

    def started_by_node(self) -> dict[MemberId, int]:
        """Return the start of each entry VM's newest process, in Unix milliseconds."""
        started = {
            node: record.started_unix_ms
            for node, record in self._records_by_node.items()
        }
        return {**started, self._context.node_id: self._context.started_unix_ms}

    async def register(self) -> None:
        """Store this node's registration, with retries."""
        context = self._context
        settings = context.settings
        own_record = NodeRecord(
            settings.ip,
            settings.peer_port,
            settings.data_centre,
            settings.processor_cores,
            context.started_unix_ms,
        )
        record = KeyedRecord(settings.node, encode_record(own_record))
        while True:
            deadline = Instant(context.reactor.seconds() + REGISTER_TIMEOUT_S)
            result = await context.store.append(NODES_TOPIC, [record], deadline)
            if isinstance(result, Appended):
                if result.offset > self._removed_at:
                    self._registered_at = result.offset
                    return
                # The removal that followed was read before the store's answer.
                continue
            _log.info(
                "node registration not stored; retrying", extra={"reason": str(result)}
            )
            await deferLater(context.reactor, REGISTER_TIMEOUT_S, lambda: None)

    def _apply_snapshot(self, records: Sequence[KeyedRecord]) -> None:
        """Apply the latest record of each key; nodes without one were removed."""
        listed = {record.key for record in records}
        # A removal that was trimmed is at an offset before the snapshot's end.
        removed_at = Offset((self.tail.next_offset or 0) - 1)
        known = {*self._records_by_node, self._context.node_id}
        for node in known - listed:
            self._remove(node, removed_at)
        self._apply_records(records)

    def _own_registration_removed(self, offset: Offset) -> None:
        """Register again if the registration before the offset was the last one.

        While one is being stored, its offset is not known; ``register`` checks it.
        """
        self._removed_at = max(self._removed_at, offset)
        if self._registered_at is not None and self._registered_at < offset:
            self._registered_at = None
            _log.info("node registration was removed; registering again")
            spawn(self.register())

    def _apply_records(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            node = MemberId(record.key)
            decoded = decode_record(record.value, NodeRecord) if record.value else None
            if decoded is None or isinstance(decoded, Failure):
                self._remove(node, record.offset)
            else:
                self._add(node, decoded.unwrap())
        self.on_read()

    def _remove(self, node: MemberId, offset: Offset) -> None:
        self._records_by_node.pop(node, None)
        if node == self._context.node_id:
            self._own_registration_removed(offset)
            return
        self._addresses_by_id.pop(node, None)
        self._context.peer_calls.peers.discard(node)
        self._context.links.forget(node)

    def _add(self, node: MemberId, record: NodeRecord) -> None:
        address = PeerAddress(record.ip, record.port)
        if self._addresses_by_id.get(node) not in (None, address):
            self._context.links.forget(node)
        self._records_by_node[node] = record
        self._addresses_by_id[node] = address
        if node != self._context.node_id:
            self._context.peer_calls.peers.add(node)
