"""Claims the holder role, keeps it, and releases it at shutdown."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Failure
from twisted.internet.defer import ensureDeferred, gatherResults
from twisted.internet.task import LoopingCall, deferLater

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.claims import (
    HOLDER_TOPIC,
    Claim,
    claim,
    decode_holder_record,
)
from tamarackmount.node.context import NodeContext
from tamarackmount.node.evacuation_watch import EvacuationWatch
from tamarackmount.node.hand_over import HandOver, HandOverTarget
from tamarackmount.node.holder import Holder
from tamarackmount.node.holder_dependencies import HolderDependencies
from tamarackmount.node.holder_probe import HolderProbe
from tamarackmount.node.jobs_follower import JobsFollower
from tamarackmount.node.messages import HolderReleased
from tamarackmount.node.node_registry import NodeRegistry
from tamarackmount.node.tasks import Event, spawn, stop_process_on_error
from tamarackmount.node.topic_tail import TopicTail
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.membership.holder_watch import (
    MAX_QUICK_READ_S,
    Candidate,
    FormerHolder,
    HolderWatch,
    candidate_rank,
)
from tamarackmount.scheduling.store.journal import HolderRecord

HOLDER_READ_WAIT_MS = 1_000
"""Long-poll wait of a read of holder records, in milliseconds; it bounds how late a
holder's silence is noticed."""

HOLDER_READ_INTERVAL_S = 0.3
"""Minimum time between the starts of two reads of holder records, in seconds; less than
the heartbeat interval."""

RELAXED_READ_INTERVAL_S = 1.0
"""The same on a node that does not follow the jobs topic, in seconds: it claims after
all those that do, and a new holder tells its peers."""

CLAIM_CHECK_INTERVAL_S = 0.1
"""Interval between two checks whether to claim the role, in seconds."""

CANDIDATE_LINGER_S = 2.0
"""Time for which a node that is not connected counts as a candidate, in seconds: since
its connection was lost, or since its registration was read."""

MAX_PROBING_RANK = 3
"""Rank among the candidates below which a node probes a silent holder; the others claim
later."""

SLOW_STORE_BACKOFF_S = 0.5
"""Time after a slow read of the store in which missing heartbeats do not count as those
of an unresponsive holder, in seconds."""

# Operators' tools read the messages "scheduling claimed", "scheduling held" and
# "scheduling given up"; they keep their texts.
_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HolderNotice:
    """A node that is the holder under ``epoch``."""

    node: MemberId
    epoch: Epoch


class HolderElection:
    """Watches the holder, and claims its role when this node is next in rank."""

    def __init__(
        self,
        context: NodeContext,
        registry: NodeRegistry,
        follower: JobsFollower,
        evacuations: EvacuationWatch,
        make_dependencies: Callable[[], HolderDependencies],
    ) -> None:
        """Prepare the election.

        A new holder is built with ``make_dependencies``. It takes over the jobs that
        ``follower`` has read into the job index, and starts no run before
        ``evacuations`` has read the operator topic to its end.
        """
        self._context = context
        self._registry = registry
        self._follower = follower
        self._evacuations = evacuations
        follower.is_needed_here = lambda: self._is_claiming or self.holder is not None
        self._make_dependencies = make_dependencies
        self._watch = HolderWatch(Instant(clock.now()), Instant(float("-inf")))
        self._notice: HolderNotice | None = None
        self._probe = HolderProbe(context.peer_calls)
        self._slow_store_until = Instant(float("-inf"))
        self._hand_over = HandOver(context, registry)
        self._connected_at_by_node: dict[MemberId, Instant] = {}
        self._is_claiming = False
        self.new_holder_ready = Event()
        self.on_holder_node_changed: Callable[[], None] = lambda: None
        self.holder: Holder | None = None
        self.tail = TopicTail(
            context.reactor,
            context.store,
            HOLDER_TOPIC,
            self._apply_records,
            self._apply_records,
            HOLDER_READ_WAIT_MS,
            HOLDER_READ_INTERVAL_S,
        )
        self.tail.on_caught_up = self.check_soon
        self._checks = LoopingCall(stop_process_on_error(self._check_claim))
        self._checks.clock = context.reactor

    @property
    def holder_node(self) -> MemberId | None:
        """The current holder's node, as far as this node knows."""
        newest = self._newest_holder()
        return newest.node if newest is not None else None

    def start(self) -> None:
        """Start checking whether to claim the role."""
        self._checks.start(CLAIM_CHECK_INTERVAL_S, now=False)

    def check_soon(self) -> None:
        """Check whether to claim the role after the current event.

        Load pattern: all processes are killed at once and start again. Nothing is
        scheduled meanwhile, so the first check must not wait for the next interval.
        """
        if self._checks.running:
            self._context.reactor.callLater(
                0.0, stop_process_on_error(self._check_claim)
            )

    async def release(self, target: HandOverTarget | None = None) -> None:
        """Release the role, if this node is the holder, and tell the other nodes.

        The node of ``target`` claims before all others.
        """
        holder = self.holder
        if holder is None:
            return
        await holder.release(is_urgent=target is not None and target.is_urgent)
        self._set_holder(None)
        successor = target.node if target is not None else None
        for peer in self._context.peer_calls.connected_peers():
            notice = HolderReleased(holder.epoch, is_successor=peer == successor)
            self._context.links.send(peer, notice)

    async def handle_holder_notice(
        self, sender: MemberId, message: HolderReleased
    ) -> None:
        """Read the newest record of the holder, after a notice of another node.

        Load pattern: the store turns away this node and the former holder. Records sent
        to that one would be rejected for as long as this node can't read the store.
        """
        epoch = Epoch(message.epoch)
        is_new = message.is_holder and self._note_holder(HolderNotice(sender, epoch))
        if is_new:
            self.new_holder_ready.notify()
        await self.tail.read_now()
        if message.is_successor:
            self._hand_over.chosen()
            self.check_soon()
        record = self._watch.record
        if is_new and (record is None or record.epoch < epoch):
            extra = {"node": sender, "epoch": epoch}
            _log.info("holder known by its notice only", extra=extra)
            self._context.metrics.record_holder_notice()
        if is_new or record is None or record.node != sender:
            return
        if not record.released:
            self.new_holder_ready.notify()

    def _note_holder(self, notice: HolderNotice) -> bool:
        """Keep what a holder says of itself; tell whether this node did not know it."""
        newest = self._newest_holder()
        if newest is not None and notice.epoch <= newest.epoch:
            return False
        self._notice = notice
        if newest is None or newest.node != notice.node:
            self.on_holder_node_changed()
        self._check_superseded()
        return True

    def _newest_holder(self) -> HolderNotice | None:
        """Return the holder with the highest epoch that is known.

        A notice counts until a record of that holder, or of a later one, is read.
        """
        record, notice = self._watch.record, self._notice
        if record is None or (notice is not None and notice.epoch > record.epoch):
            return notice
        return HolderNotice(record.node, Epoch(record.epoch))

    def _set_holder(self, holder: Holder | None) -> None:
        self.holder = holder
        self._context.metrics.set_is_holder(holder is not None)

    def _apply_records(self, records: Sequence[KeyedRecord]) -> None:
        previous = self._watch.record
        for record in records:
            decoded = decode_holder_record(record)
            if isinstance(decoded, Failure):
                extra = {"offset": record.offset, "reason": decoded.failure()}
                _log.error("holder record not readable; skipped", extra=extra)
                continue
            self._watch.heartbeat_received(decoded.unwrap(), clock.now())
        self._note_changed_holder(previous)

    def _read_heartbeat_in_jobs_topic(self) -> None:
        previous = self._watch.record
        heartbeat = self._context.job_index.heartbeat
        if heartbeat is not None:
            self._watch.heartbeat_received(heartbeat, clock.now())
            self._note_changed_holder(previous)

    def _note_changed_holder(self, previous: HolderRecord | None) -> None:
        latest = self._watch.record
        if latest is not None and (previous is None or latest.epoch != previous.epoch):
            extra = {"node": latest.node, "epoch": latest.epoch}
            _log.info("holder changed", extra=extra)
            if previous is None or latest.node != previous.node:
                self.on_holder_node_changed()
        self._check_superseded()

    def _check_superseded(self) -> None:
        holder, newest = self.holder, self._newest_holder()
        if holder is None or newest is None or newest.epoch <= holder.epoch:
            return
        holder.stop()
        self._holder_ended(f"{newest.node} holds epoch {newest.epoch}")

    def _holder_ended(self, reason: str) -> None:
        _log.warning("scheduling given up", extra={"reason": reason})
        self._set_holder(None)

    def _check_claim(self) -> None:
        context = self._context
        if self.tail.caught_up_at is not None:
            self._watch.store_read(self.tail.caught_up_at)
        self._read_heartbeat_in_jobs_topic()
        if self.holder is not None:
            self._check_hand_over()
            return
        if self._is_claiming or context.is_draining:
            return
        self.tail.min_interval_s = (
            RELAXED_READ_INTERVAL_S
            if self._follower.leaves_jobs_to_others
            else HOLDER_READ_INTERVAL_S
        )
        if context.fleet is None:
            return
        candidates = self._live_candidates()
        rank = self._hand_over.claim_rank(
            candidate_rank(context.node_id, candidates, self.holder_node)
        )
        started = self._registry.started_by_node()
        is_unresponsive = self._is_holder_unresponsive(rank)
        self._watch.update_vacancy(started, clock.now())
        if not self._watch.should_claim(rank, clock.now(), is_unresponsive):
            return
        if not self._follower.is_following:
            self._follower.follow_now()
        if self._follower.has_snapshot:
            self._is_claiming = True
            spawn(self._claim())

    def _live_candidates(self) -> list[Candidate]:
        """Return this node, and those that were connected a moment ago.

        VMs that have left stay registered; nodes of lower rank must not wait for them.
        """
        now = clock.now()
        live = []
        for candidate in self._registry.candidates():
            node = candidate.node
            if node == self._context.node_id or self._context.links.is_open(node):
                self._connected_at_by_node[node] = now
            seen_at = self._connected_at_by_node.setdefault(node, now)
            if now <= seen_at + CANDIDATE_LINGER_S:
                live.append(candidate)
        return live

    def _check_hand_over(self) -> None:
        """Hand the role over to a larger VM, if there is one that reaches the store."""
        if not self._hand_over.is_due():
            return
        larger = self._hand_over.larger_vms()
        if larger:
            self._hand_over.is_busy = True
            spawn(self._hand_over_to_one_of(larger))

    async def _hand_over_to_one_of(self, larger: list[Candidate]) -> None:
        target = await self._hand_over.choose(larger)
        # In a slow store the release takes long, and nothing starts meanwhile.
        if (
            target is not None
            and self.holder is not None
            and (target.is_urgent or self.holder.stores_quickly)
        ):
            self._hand_over.start(target)
            await self.release(target)
        self._hand_over.is_busy = False

    def _is_holder_unresponsive(self, rank: int) -> bool:
        """Tell whether the holder was probed in vain, while the store is quick."""
        if rank >= MAX_PROBING_RANK or clock.now() < self._slow_store_until:
            return False
        self._probe.update(self.holder_node, self._watch.silent_since)
        return self._probe.is_unresponsive

    async def _claim(self) -> None:
        try:
            await self._claim_if_due()
        finally:
            self._is_claiming = False

    async def _claim_if_due(self) -> None:
        is_unresponsive = self._probe.is_unresponsive
        read_started_at = clock.now()
        if not await self.tail.read_now():
            return
        if clock.now() > read_started_at + MAX_QUICK_READ_S:
            is_unresponsive = False
            self._slow_store_until = Instant(clock.now() + SLOW_STORE_BACKOFF_S)
        context = self._context
        end = self.tail.next_offset
        started = self._registry.started_by_node()
        # Rank 0: this node has waited for its rank already. The read above may have
        # shown a newer record of the holder.
        now = clock.now()
        self._read_heartbeat_in_jobs_topic()
        self._watch.update_vacancy(started, now)
        if end is None or not self._watch.should_claim(0, now, is_unresponsive):
            return
        grace_s = self._watch.former_holder_grace_s(started, now)
        heartbeat_at_claim = context.job_index.heartbeat
        new_claim = await claim(
            context.reactor,
            context.store,
            context.node_id,
            context.started_unix_ms,
            end,
        )
        if new_claim is not None:
            former = FormerHolder(Instant(clock.now() + grace_s), heartbeat_at_claim)
            _log.info("scheduling claimed", extra={"epoch": new_claim.epoch})
            await self._take_over(new_claim, former)

    async def _take_over(self, new_claim: Claim, former: FormerHolder) -> None:
        """Fence former holders, read their records, then start scheduling."""
        context = self._context
        if context.fleet is None:
            return
        holder = Holder(
            self._make_dependencies(),
            new_claim,
            context.job_index,
            context.fleet,
            self._holder_ended,
        )
        is_fenced = await holder.fence()
        while (
            is_fenced
            and not self._is_over(holder, new_claim.epoch)
            and not await self._read_all()
        ):
            await deferLater(context.reactor, CLAIM_CHECK_INTERVAL_S, lambda: None)
        if is_fenced and not self._is_over(holder, new_claim.epoch):
            newest = context.job_index.heartbeat
            orders_end_at = former.orders_end_at(newest, new_claim.epoch, clock.now())
            await holder.restore(orders_end_at)
        if context.is_draining:
            await holder.release()
            return
        if not is_fenced or self._is_over(holder, new_claim.epoch):
            holder.stop()
            return
        self._hand_over.holder_started()
        self._set_holder(holder)
        _log.info("scheduling held", extra={"epoch": new_claim.epoch})
        # The configuration may have changed since the claim.
        holder.set_fleet_config(context.fleet)
        holder.set_evacuated_data_centres(self._evacuations.data_centres)
        holder.start()
        self.new_holder_ready.notify()
        for peer in context.peer_calls.connected_peers():
            context.links.send(peer, HolderReleased(holder.epoch, is_holder=True))

    def _is_over(self, holder: Holder, epoch: Epoch) -> bool:
        """Tell whether a holder that has not started must not do so any more."""
        newest = self._newest_holder()
        is_replaced = newest is not None and newest.epoch > epoch
        return is_replaced or holder.is_stopped or self._context.is_draining

    async def _read_all(self) -> bool:
        """Read the jobs and the operator's records; tell whether to their ends.

        Both are read at once, as nothing starts meanwhile.
        """
        reads = [self._follower.read_now(), self._evacuations.read_now()]
        results: list[bool] = await gatherResults(
            [ensureDeferred(read) for read in reads]
        )
        return all(results)
