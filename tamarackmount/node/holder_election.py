"""Claiming the scheduling, holding it, and handing it over."""

import logging
from collections.abc import Callable, Sequence

from returns.result import Failure
from twisted.internet.task import LoopingCall, deferLater

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.claims import HOLDER_TOPIC, Claim, claim
from tamarackmount.node.context import NodeContext
from tamarackmount.node.holder import Holder, HolderDependencies
from tamarackmount.node.messages import HolderReleased
from tamarackmount.node.node_registry import NodeRegistry
from tamarackmount.node.tasks import spawn, stop_process_on_error
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.holder_watch import HolderWatch, candidate_rank
from tamarackmount.scheduling.journal import HolderRecord, decode_record

HOLDER_WAIT_MS = 1_000
"""How long a read of the signs of life waits, in milliseconds; bounds how late a
holder's silence is noticed."""

HOLDER_PAUSE_S = 0.3
"""Pause between two reads of the signs of life, in seconds; less than between two."""

CLAIM_CHECK_S = 0.1
"""Pause between two looks whether to claim, in seconds."""

_log = logging.getLogger(__name__)


class HolderElection:
    """Watches the holder, and takes its place when it is this node's turn."""

    def __init__(
        self,
        context: NodeContext,
        registry: NodeRegistry,
        jobs_tail: TopicTail,
        make_parts: Callable[[], HolderDependencies],
    ) -> None:
        """Hold with ``make_parts`` what ``jobs_tail`` has read into the book."""
        self._context = context
        self._registry = registry
        self._jobs_tail = jobs_tail
        self._make_parts = make_parts
        self._watch = HolderWatch(Instant(clock.now()), Instant(float("-inf")))
        self._is_claiming = False
        self.holder: Holder | None = None
        self.tail = TopicTail(
            context.reactor,
            context.store,
            HOLDER_TOPIC,
            self._take,
            self._take,
            HOLDER_WAIT_MS,
            HOLDER_PAUSE_S,
        )
        self._checks = LoopingCall(stop_process_on_error(self._check))
        self._checks.clock = context.reactor

    @property
    def holder_node(self) -> MemberId | None:
        """The node that holds the scheduling, as far as this one knows."""
        return self._watch.record.node if self._watch.record is not None else None

    def start(self) -> None:
        """Begin to look whether to claim."""
        self._checks.start(CLAIM_CHECK_S, now=False)

    async def release_for_shutdown(self) -> None:
        """Give the scheduling up, if this node holds it, and tell the others."""
        holder = self.holder
        if holder is None:
            return
        await holder.release()
        self._set_holder(None)
        for peer in self._context.peer_calls.connected_peers():
            self._context.links.send(peer, HolderReleased(holder.epoch))

    def _set_holder(self, holder: Holder | None) -> None:
        self.holder = holder
        self._context.metrics.set_is_holder(holder is not None)

    def _take(self, records: Sequence[KeyedRecord]) -> None:
        before = self._watch.record
        for record in records:
            decoded = decode_record(record.value, HolderRecord)
            if isinstance(decoded, Failure):
                extra = {"offset": record.offset, "reason": decoded.failure()}
                _log.error("claim not readable", extra=extra)
                continue
            self._watch.heartbeat_received(decoded.unwrap(), clock.now())
        now = self._watch.record
        if now is not None and (before is None or now.epoch != before.epoch):
            extra = {"node": now.node, "epoch": now.epoch}
            _log.info("holder changed", extra=extra)
        self._check_superseded()

    def _check_superseded(self) -> None:
        holder, record = self.holder, self._watch.record
        if holder is None or record is None or record.epoch <= holder.epoch:
            return
        holder.stop()
        self._ended(f"{record.node} holds epoch {record.epoch}")

    def _ended(self, reason: str) -> None:
        _log.warning("scheduling given up", extra={"reason": reason})
        self._set_holder(None)

    def _check(self) -> None:
        context = self._context
        if self.tail.caught_up_at is not None:
            self._watch.store_read(self.tail.caught_up_at)
        if self.holder is not None or self._is_claiming or context.is_draining:
            return
        if context.fleet is None or self._jobs_tail.next_offset is None:
            return
        candidates = self._registry.candidates()
        turn = candidate_rank(context.node_id, candidates, self.holder_node)
        started = self._registry.started_by_node()
        if self._watch.should_claim(turn, started, clock.now()):
            self._is_claiming = True
            spawn(self._claim())

    async def _claim(self) -> None:
        try:
            await self._claim_now()
        finally:
            self._is_claiming = False

    async def _claim_now(self) -> None:
        if not await self.tail.read_to_end():
            return
        context = self._context
        end = self.tail.next_offset
        started = self._registry.started_by_node()
        if end is None or not self._watch.should_claim(0, started, clock.now()):
            return
        last_order_in_s = self._watch.former_holder_grace_s(started)
        claimed = await claim(
            context.reactor,
            context.store,
            context.node_id,
            context.started_unix_ms,
            end,
        )
        if claimed is not None:
            last_order = Instant(clock.now() + last_order_in_s)
            _log.info("scheduling claimed", extra={"epoch": claimed.epoch})
            await self._take_over(claimed, last_order)

    async def _take_over(self, claimed: Claim, last_order: Instant) -> None:
        """Fence earlier holders, read what they wrote, then begin to decide."""
        context = self._context
        if context.fleet is None:
            return
        holder = Holder(
            self._make_parts(),
            claimed,
            context.job_index,
            context.fleet,
            last_order,
            self._ended,
        )
        is_fenced = await holder.fence()
        while is_fenced and not await self._jobs_tail.read_to_end():
            await deferLater(context.reactor, CLAIM_CHECK_S, lambda: None)
        record = self._watch.record
        is_replaced = record is not None and record.epoch > claimed.epoch
        if context.is_draining:
            await holder.release()
            return
        if not is_fenced or is_replaced:
            holder.stop()
            return
        self._set_holder(holder)
        _log.info("scheduling held", extra={"epoch": claimed.epoch})
        # The configuration may have changed since the claim.
        holder.set_fleet(context.fleet)
        holder.start()
