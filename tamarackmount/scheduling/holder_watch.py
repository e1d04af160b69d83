"""When a node takes the scheduling over.

The holder writes a sign of life to the store every ``HEARTBEAT_INTERVAL_S``. A node
claims when the store was read without one for long enough; one of several claims is
accepted, as each names the offset at which the topic has to end.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from tamarackmount.ids import DataCentreId, Instant, MemberId
from tamarackmount.scheduling.holder_authority import RENEWAL_LIMIT_S
from tamarackmount.scheduling.journal import HolderRecord

HEARTBEAT_INTERVAL_S = 0.4
"""Pause between two signs of life, in seconds; a slow store answers each in 0.6 s."""

HEARTBEAT_TIMEOUT_S = 1.3
"""Silence after which a holder is replaced, in seconds: three signs of life while the
store is well, or one whose answer was lost twice. In a slow store they come each
second, and a claim first reads all that was written."""

CLAIM_STAGGER_S = 0.12
"""Each further candidate waits this much longer, in seconds: a claim's whole way."""

FIRST_CLAIM_DELAY_S = 1.0
"""Silence before the first claim of all, in seconds: nodes register within it."""

FORMER_HOLDER_STOPS_S = RENEWAL_LIMIT_S - HEARTBEAT_TIMEOUT_S + 0.3
"""A replaced holder that lives has sent its last order by then, in seconds from the
claim: see ``holder_authority.py``; the rest is for orders on their way."""

StartTimes = Mapping[MemberId, int]
"""When the newest process of each entry VM started, in milliseconds since 1970."""

MAX_READ_GAP_S = 1.6
"""Silence counts only while the store was read at least this often, in seconds: a read
waits up to 1 s, and the pause between two is 0.5 s."""


@dataclass(slots=True)
class HolderWatch:
    """What one node knows of the holder's signs of life.

    ``silent_since`` moves on with each sign of life, and whenever the store could not
    be read for a while.
    """

    silent_since: Instant
    last_read: Instant
    record: HolderRecord | None = None

    def heartbeat_received(self, record: HolderRecord | None, now: Instant) -> None:
        """Take a sign of life, or the record that a holder stops."""
        known = self.record
        if known is not None and record is not None and record.epoch < known.epoch:
            return
        self.record = record
        self.silent_since = now

    def store_read(self, now: Instant) -> None:
        """Note that the store was read to its end."""
        if now - self.last_read > MAX_READ_GAP_S:
            self.silent_since = now
        self.last_read = now

    def should_claim(self, rank: int, started: StartTimes, now: Instant) -> bool:
        """Tell whether the node whose turn comes as number ``turn`` claims now."""
        if now - self.last_read > MAX_READ_GAP_S:
            return False
        patience_s = self._patience_s(started)
        return now >= self.silent_since + patience_s + rank * CLAIM_STAGGER_S

    def is_dead(self, started: StartTimes) -> bool:
        """Tell whether the holder's process has ended: its VM runs a later one."""
        record = self.record
        if record is None:
            return False
        return started.get(record.node, 0) > record.started_unix_ms

    def former_holder_grace_s(self, started: StartTimes) -> float:
        """Return for how long the holder may send orders after it is replaced."""
        record = self.record
        if record is None or record.released or self.is_dead(started):
            return 0.0
        return FORMER_HOLDER_STOPS_S

    def _patience_s(self, started: StartTimes) -> float:
        record = self.record
        if record is None:
            return FIRST_CLAIM_DELAY_S
        return 0.0 if record.released or self.is_dead(started) else HEARTBEAT_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that may claim; ``cores`` is its processor time."""

    node: MemberId
    data_centre: DataCentreId
    cores: float


def candidate_rank(
    me: MemberId, candidates: Collection[Candidate], former: MemberId | None
) -> int:
    """Return the node's turn to claim.

    Those with most processor time come first, among equals one of each data centre in
    turn, and those in the data centre of the ``former`` holder last, as that may be cut
    off.
    """
    homes = {row.node: row.data_centre for row in candidates}
    lost = homes.get(former) if former is not None and former != me else None
    seen: Counter[DataCentreId] = Counter()
    keys: list[tuple[bool, float, int, MemberId]] = []
    for row in sorted(candidates, key=lambda row: (-row.cores, row.node)):
        if row.node == former and former != me:
            continue
        is_lost = row.data_centre == lost
        keys.append((is_lost, -row.cores, seen[row.data_centre], row.node))
        seen[row.data_centre] += 1
    order = [key[-1] for key in sorted(keys)]
    return order.index(me) if me in order else len(order)
