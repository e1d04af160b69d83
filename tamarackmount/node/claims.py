"""Claims of the scheduling, and the holder's signs of life, in their own topic.

Nothing else is written there, so that a claim, which names the offset at which the
topic has to end, does not race callers' jobs.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.task import deferLater

from tamarackmount.ids import Epoch, MemberId, Offset
from tamarackmount.node import clock
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.store import Appended, KeyedRecord, Store, Topic
from tamarackmount.scheduling.holder_watch import HEARTBEAT_INTERVAL_S
from tamarackmount.scheduling.journal import (
    HolderRecord,
    RecordKind,
    encode_record,
    record_key,
)

HOLDER_TOPIC = Topic("keyed.holder")
"""Claims and signs of life."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Claim:
    """An accepted claim, and the log of signs of life under its epoch."""

    node: MemberId
    started_unix_ms: int
    epoch: Epoch
    log: FencedLog


async def claim(
    reactor: Any, store: Store, node: MemberId, started_unix_ms: int, end: Offset
) -> Claim | None:
    """Claim the scheduling if the topic of claims still ends at ``end``.

    The epoch is one more than the offset of the claim, so it rises with each claim;
    the same append fences the signs of life of earlier holders.
    """
    epoch = Epoch(end + 1)
    log = FencedLog(reactor, store, HOLDER_TOPIC, epoch)
    result = await log.append(
        [_row(HolderRecord(node, epoch, 0, started_unix_ms))], end
    )
    if isinstance(result, Appended):
        return Claim(node, started_unix_ms, epoch, log)
    _log.info("claim refused", extra={"epoch": epoch, "reason": str(result)})
    return None


def _row(record: HolderRecord) -> KeyedRecord:
    return KeyedRecord(record_key(RecordKind.HOLDER), encode_record(record))


class HeartbeatWriter:
    """Writes that the holder lives, until it stops or another one has claimed."""

    def __init__(
        self, reactor: Any, claimed: Claim, fenced: Callable[[str], None]
    ) -> None:
        """Call ``fenced`` once another holder writes.

        ``last_heartbeat_sent_at`` is when the newest accepted sign of life was first
        sent: others may claim some time after it.
        """
        self._reactor = reactor
        self._claimed = claimed
        self._fenced = fenced
        self._beat = 0
        self._is_over = False
        self.last_heartbeat_sent_at = clock.now()

    def start(self) -> None:
        """Begin to write."""
        spawn(self._run())

    def stop(self) -> None:
        """Write no more."""
        self._is_over = True

    async def release(self) -> None:
        """Write that the holder stops."""
        self._is_over = True
        await self._write(released=True)

    async def _run(self) -> None:
        while True:
            await deferLater(self._reactor, HEARTBEAT_INTERVAL_S, lambda: None)
            if self._is_over:
                return
            await self._write(released=False)

    async def _write(self, released: bool) -> None:
        self._beat += 1
        sent = clock.now()
        claimed = self._claimed
        record = HolderRecord(
            claimed.node,
            claimed.epoch,
            self._beat,
            claimed.started_unix_ms,
            released,
        )
        result = await claimed.log.append([_row(record)])
        if isinstance(result, Appended):
            self.last_heartbeat_sent_at = sent
        elif not self._is_over:
            self._is_over = True
            self._fenced(f"sign of life refused: {result}")
