"""Holder claims and heartbeats, in a store topic of their own.

A claim names the offset at which the topic has to end. Nothing else is written to this
topic, so a claim conflicts only with other claims and with heartbeats.
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
from tamarackmount.scheduling.membership.holder_watch import HEARTBEAT_INTERVAL_S
from tamarackmount.scheduling.store.journal import (
    HolderRecord,
    RecordKind,
    encode_record,
    record_key,
)

HOLDER_TOPIC = Topic("keyed.holder")
"""Topic of holder claims and heartbeats."""

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Claim:
    """An accepted claim, and the log that writes heartbeats under its epoch."""

    node: MemberId
    started_unix_ms: int
    epoch: Epoch
    log: FencedLog


async def claim(
    reactor: Any, store: Store, node: MemberId, started_unix_ms: int, end: Offset
) -> Claim | None:
    """Claim the holder role if the topic of claims still ends at ``end``.

    The epoch is one more than the offset of the claim, so each claim has a higher epoch
    than those before. The claim's append also fences the heartbeats of former holders.
    """
    epoch = Epoch(end + 1)
    log = FencedLog(reactor, store, HOLDER_TOPIC, epoch)
    result = await log.append(
        [_to_row(HolderRecord(node, epoch, 0, started_unix_ms))], end
    )
    if isinstance(result, Appended):
        return Claim(node, started_unix_ms, epoch, log)
    _log.info(
        "holder claim rejected by the store",
        extra={"epoch": epoch, "reason": str(result)},
    )
    return None


def _to_row(record: HolderRecord) -> KeyedRecord:
    return KeyedRecord(record_key(RecordKind.HOLDER), encode_record(record))


class HeartbeatWriter:
    """Writes heartbeats until the holder stops or another node has claimed the role."""

    def __init__(
        self, reactor: Any, claimed: Claim, on_fenced: Callable[[str], None]
    ) -> None:
        """Call ``on_fenced`` once heartbeats are rejected for good.

        The store rejects them because another holder writes.
        ``last_heartbeat_sent_at`` is when the newest accepted heartbeat was first sent.
        Other nodes may claim the role some time after it.
        """
        self._reactor = reactor
        self._claimed = claimed
        self._on_fenced = on_fenced
        self._heartbeat_number = 0
        self._is_stopped = False
        self.last_heartbeat_sent_at = clock.now()

    @property
    def is_quick(self) -> bool:
        """Whether the store answers heartbeats at once."""
        return self._claimed.log.is_quick

    def start(self) -> None:
        """Start writing heartbeats."""
        spawn(self._run())

    def stop(self) -> None:
        """Stop writing heartbeats."""
        self._is_stopped = True

    async def release(self) -> None:
        """Stop, and record in the store that the holder has released its role."""
        self._is_stopped = True
        await self._write(released=True)

    async def _run(self) -> None:
        while True:
            await deferLater(self._reactor, HEARTBEAT_INTERVAL_S, lambda: None)
            if self._is_stopped:
                return
            await self._write(released=False)

    async def _write(self, released: bool) -> None:
        self._heartbeat_number += 1
        sent_at = clock.now()
        claimed = self._claimed
        record = HolderRecord(
            claimed.node,
            claimed.epoch,
            self._heartbeat_number,
            claimed.started_unix_ms,
            released,
        )
        result = await claimed.log.append([_to_row(record)])
        if isinstance(result, Appended):
            self.last_heartbeat_sent_at = sent_at
        elif not self._is_stopped:
            self._is_stopped = True
            self._on_fenced(f"heartbeat rejected by the store: {result}")
