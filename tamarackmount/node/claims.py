"""Holder claims and heartbeats, in a store topic of their own.

A claim names the offset at which the topic has to end. Nothing else is written to this
topic, so a claim conflicts only with other claims and with heartbeats.

Load pattern: the part of the store with this topic is away, while the part with the
jobs topic works. Heartbeats go to the jobs topic then. An append there confirms the
role as well: the next holder fences that topic before it sends its first order.
"""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result
from twisted.internet.task import deferLater

from tamarackmount.ids import Epoch, Instant, MemberId, Offset
from tamarackmount.node import clock
from tamarackmount.node.fenced_log import FencedLog
from tamarackmount.node.submissions import StoreOutcome
from tamarackmount.node.tasks import spawn
from tamarackmount.platform.store import Appended, KeyedRecord, Store, Topic
from tamarackmount.scheduling.membership.holder_watch import HEARTBEAT_INTERVAL_S
from tamarackmount.scheduling.store.journal import (
    HolderRecord,
    RecordKind,
    decode_record,
    encode_record,
    record_key,
)

HOLDER_TOPIC = Topic("keyed.holder")
"""Topic of holder claims and heartbeats."""

FALLBACK_AFTER_S = 2 * HEARTBEAT_INTERVAL_S
"""Time without an accepted heartbeat in the holder topic after which heartbeats are
written to the jobs topic, in seconds."""

WriteToJobsTopic = Callable[[KeyedRecord], Awaitable[StoreOutcome]]
"""Stores a record in the jobs topic under the holder's epoch."""

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


def decode_holder_record(row: KeyedRecord) -> Result[HolderRecord, str]:
    """Return the record at an offset of the holder topic, or why it is not valid.

    An epoch follows the offset of its claim, so none is above the offset after it. A
    holder that took a higher one for real would give up its role for good.
    """
    decoded = decode_record(row.value, HolderRecord)
    record = decoded.value_or(None)
    if record is not None and record.epoch > row.offset + 1:
        return Failure(f"epoch: at most {row.offset + 1} at its offset")
    return decoded


def _to_row(record: HolderRecord) -> KeyedRecord:
    return KeyedRecord(record_key(RecordKind.HOLDER), encode_record(record))


class HeartbeatWriter:
    """Writes heartbeats until the holder stops or another node has claimed the role."""

    def __init__(
        self, reactor: Any, claimed: Claim, on_fenced: Callable[[str], None]
    ) -> None:
        """Call ``on_fenced`` once heartbeats are rejected for good.

        The store rejects them because another holder writes.
        """
        self._reactor = reactor
        self._claimed = claimed
        self._on_fenced = on_fenced
        self._heartbeat_number = 0
        self._is_stopped = False
        self._sent_to_holder_topic_at = clock.now()
        self._sent_to_jobs_topic_at = Instant(float("-inf"))

    @property
    def last_heartbeat_sent_at(self) -> Instant:
        """When the newest accepted heartbeat was first sent.

        Other nodes may claim the role some time after it.
        """
        return max(self._sent_to_holder_topic_at, self._sent_to_jobs_topic_at)

    @property
    def is_quick(self) -> bool:
        """Whether the store answers heartbeats at once."""
        return self._claimed.log.is_quick

    def start(self) -> None:
        """Start writing heartbeats."""
        spawn(self._run())

    def start_fallback(self, write_to_jobs_topic: WriteToJobsTopic) -> None:
        """Write heartbeats to the jobs topic while the holder topic takes none.

        The jobs topic has to be fenced before.
        """
        spawn(self._run_fallback(write_to_jobs_topic))

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

    async def _run_fallback(self, write_to_jobs_topic: WriteToJobsTopic) -> None:
        while True:
            await deferLater(self._reactor, HEARTBEAT_INTERVAL_S, lambda: None)
            if self._is_stopped:
                return
            sent_at = clock.now()
            if sent_at <= self._sent_to_holder_topic_at + FALLBACK_AFTER_S:
                continue
            row = self._next_row(released=False)
            if await write_to_jobs_topic(row) is StoreOutcome.STORED:
                self._sent_to_jobs_topic_at = sent_at

    def _next_row(self, released: bool) -> KeyedRecord:
        self._heartbeat_number += 1
        claimed = self._claimed
        return _to_row(
            HolderRecord(
                claimed.node,
                claimed.epoch,
                self._heartbeat_number,
                claimed.started_unix_ms,
                released,
            )
        )

    async def _write(self, released: bool) -> None:
        sent_at = clock.now()
        result = await self._claimed.log.append([self._next_row(released)])
        if isinstance(result, Appended):
            self._sent_to_holder_topic_at = sent_at
        elif not self._is_stopped:
            self._is_stopped = True
            self._on_fenced(f"heartbeat rejected by the store: {result}")
