"""Decide when a node claims to be the holder.

The holder writes a heartbeat to the store every ``HEARTBEAT_INTERVAL_S``. A node claims
once it has followed the store for ``HEARTBEAT_TIMEOUT_S`` without a heartbeat, or at
once if the holder has released its role or its process has ended. Only one of several
claims is accepted, as each names the offset at which the topic has to end.

Load pattern: the holder is cut off, frozen or turned away by the store, and urgent jobs
have half a second to spare. So a claim comes earlier, after ``UNRESPONSIVE_TIMEOUT_S``,
if the holder does not answer a probe or does not reach the store either, and the store
answers this node quickly: a slow store delays the heartbeats of a healthy holder.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Epoch, Instant, MemberId
from tamarackmount.scheduling.membership.holder_authority import RENEWAL_LIMIT_S
from tamarackmount.scheduling.store.journal import HolderRecord

HEARTBEAT_INTERVAL_S = 0.4
"""Pause between two heartbeats, in seconds; a slow store answers each in 0.6 s."""

HEARTBEAT_TIMEOUT_S = 1.3
"""Time without a heartbeat after which the holder is replaced, in seconds: three
heartbeats while the store is healthy, or one whose answer was lost twice. With a slow
store, heartbeats come every second, and a claim first reads all that was written."""

UNRESPONSIVE_TIMEOUT_S = 0.6
"""Time without a heartbeat after which an unresponsive holder is replaced, in seconds:
one that is well writes two heartbeats in it."""

MAX_QUICK_READ_S = 0.15
"""Longest read of the holder topic, in seconds, with which the store counts as quick;
reads take 5 to 15 ms."""

CLAIM_STAGGER_S = 0.12
"""Delay between the claims of two candidates, in seconds: the time of a whole claim."""

FIRST_CLAIM_DELAY_S = 1.0
"""Delay before a claim if there was no holder yet, in seconds: nodes register within
it."""

FORMER_ORDERS_LIMIT_S = RENEWAL_LIMIT_S + 0.3
"""Time after its last accepted heartbeat within which a replaced holder that still runs
may send orders, in seconds: see ``holder_authority.py``; 0.3 s allows for orders in
flight."""

MIN_FORMER_HOLDER_GRACE_S = 1.0
"""Least such time after a claim, in seconds: a holder that no node could replace just
before may rely for so long on what other nodes said of the store."""

StartTimes = Mapping[MemberId, int]
"""Start of the newest process of each entry VM, in milliseconds since 1970."""

MAX_READ_GAP_S = 2.2
"""Longest time since the start of the last complete read during which missing
heartbeats count, in seconds. A read of the holder topic waits up to 1 s, and the next
one begins then: just before it ends, the last complete read began 2 s ago."""


@dataclass(slots=True)
class HolderWatch:
    """What one node knows of the holder's heartbeats.

    ``silent_since`` is when the last heartbeat was read, or later if the store could
    not be read for a while after that. ``record`` is the newest record of the holder,
    ``None`` until one is read. ``vacant_since`` is when this node learned that the
    holder has released its role or that its process has ended.
    """

    silent_since: Instant
    last_read: Instant
    record: HolderRecord | None = None
    vacant_since: Instant | None = None

    def heartbeat_received(self, record: HolderRecord | None, now: Instant) -> None:
        """Record a claim, a heartbeat or a release of the holder.

        Records of a former holder, and older or repeated ones of this holder, are
        ignored: a heartbeat in the jobs topic may be read long after later ones in the
        holder topic.
        """
        known = self.record
        if (
            known is not None
            and record is not None
            and (record.epoch, record.beat) <= (known.epoch, known.beat)
        ):
            return
        if known is None or record is None or record.epoch != known.epoch:
            # This node may have been the holder since, and not watched the role.
            self.vacant_since = None
        self.record = record
        self.silent_since = now

    def update_vacancy(self, started_by_node: StartTimes, now: Instant) -> None:
        """Note whether the role is vacant; call this before :meth:`should_claim`.

        Load pattern: the holder's process ends together with others, and all nodes
        learn it at the same moment, long after its last heartbeat. Those of a lower
        rank have to wait from that moment, or a small VM takes the role.
        """
        record = self.record
        is_vacant = record is not None and (
            record.released or self.has_restarted(started_by_node)
        )
        if not is_vacant:
            self.vacant_since = None
        elif self.vacant_since is None:
            self.vacant_since = now

    def store_read(self, now: Instant) -> None:
        """Record that a read which began at ``now`` reached the end of the topic."""
        if now - self.last_read > MAX_READ_GAP_S:
            self.silent_since = now
        self.last_read = now

    def should_claim(
        self,
        rank: int,
        now: Instant,
        is_unresponsive: bool = False,
    ) -> bool:
        """Tell whether the candidate with this rank claims now.

        ``is_unresponsive`` tells whether the holder was probed in vain.
        """
        if now - self.last_read > MAX_READ_GAP_S:
            return False
        due_at = self.silent_since + self._claim_delay_s()
        if is_unresponsive:
            due_at = min(due_at, self.silent_since + UNRESPONSIVE_TIMEOUT_S)
        if self.vacant_since is not None:
            due_at = min(due_at, self.vacant_since)
        return now >= due_at + rank * CLAIM_STAGGER_S

    def has_restarted(self, started_by_node: StartTimes) -> bool:
        """Tell whether the holder's process has ended: its VM runs a later one."""
        record = self.record
        if record is None:
            return False
        return started_by_node.get(record.node, 0) > record.started_unix_ms

    def former_holder_grace_s(self, started_by_node: StartTimes, now: Instant) -> float:
        """Return for how many seconds the holder may send orders after a claim now."""
        record = self.record
        if record is None or record.released or self.has_restarted(started_by_node):
            return 0.0
        return max(
            MIN_FORMER_HOLDER_GRACE_S, self.silent_since + FORMER_ORDERS_LIMIT_S - now
        )

    def _claim_delay_s(self) -> float:
        return FIRST_CLAIM_DELAY_S if self.record is None else HEARTBEAT_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class FormerHolder:
    """What was known of the former holder when the role was claimed.

    It sends no orders after ``known_orders_end_at``, unless it has written a newer
    heartbeat to the jobs topic than ``heartbeat``, before that topic was fenced.
    """

    known_orders_end_at: Instant
    heartbeat: HolderRecord | None

    def orders_end_at(
        self, newest: HolderRecord | None, epoch: Epoch, read_at: Instant
    ) -> Instant:
        """Return when its orders end.

        ``newest`` is the last heartbeat in the jobs topic, read to its fenced end at
        ``read_at``; ``epoch`` is that of the new holder.
        """
        if newest is None or newest == self.heartbeat or newest.epoch >= epoch:
            return self.known_orders_end_at
        return max(self.known_orders_end_at, Instant(read_at + FORMER_ORDERS_LIMIT_S))


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that may claim; ``cores`` is its processor time, in cores."""

    node: MemberId
    data_centre: DataCentreId
    cores: float


def candidate_rank(
    node_id: MemberId, candidates: Collection[Candidate], former: MemberId | None
) -> int:
    """Return the node's rank among the candidates; the lowest claims first.

    Nodes with more processor time rank first, and equal ones alternate between data
    centres. Nodes in the data centre of the ``former`` holder rank last, as it may be
    cut off. A node that is no candidate ranks after all of them.
    """
    data_centre_by_node = {
        candidate.node: candidate.data_centre for candidate in candidates
    }
    former_data_centre = (
        data_centre_by_node.get(former)
        if former is not None and former != node_id
        else None
    )
    count_by_data_centre: Counter[DataCentreId] = Counter()
    keys: list[tuple[bool, float, int, MemberId]] = []
    for candidate in sorted(
        candidates, key=lambda candidate: (-candidate.cores, candidate.node)
    ):
        if candidate.node == former and former != node_id:
            continue
        is_in_former_data_centre = candidate.data_centre == former_data_centre
        keys.append(
            (
                is_in_former_data_centre,
                -candidate.cores,
                count_by_data_centre[candidate.data_centre],
                candidate.node,
            )
        )
        count_by_data_centre[candidate.data_centre] += 1
    ranked = [key[-1] for key in sorted(keys)]
    return ranked.index(node_id) if node_id in ranked else len(ranked)
