"""A holder process that is suspended for some seconds between two of its steps.

Guards against permissions that expired while it was suspended: another node may have
taken over, and counts on the end of every lease that this one gave.
"""

from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from tamarackmount.ids import Instant, MemberId
from tamarackmount.node import clock
from tamarackmount.node.authority_check import QUERY_AFTER_S, AuthorityCheck
from tamarackmount.node.holder import Holder
from tamarackmount.node.messages import StoreAgeReply
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.scheduling.membership.holder_authority import (
    RENEWAL_LIMIT_S,
    STORE_CONTACT_TIMEOUT_MS,
    HolderAuthority,
)

SUSPENDED_S = 5.0


class Time:
    """The clock of the process."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Begin at 100 s."""
        self.now = 100.0
        monkeypatch.setattr(clock, "now", lambda: Instant(self.now))


class RecordingScheduler:
    """Keeps the times that it is given."""

    def __init__(self) -> None:
        """Begin without times."""
        self.times: list[float] = []

    def tick(self, now: Instant, _unix_ms: int) -> None:
        self.times.append(now)

    def batch_stored(self, _batch: Any, now: Instant) -> None:
        self.times.append(now)

    def set_advice_concurrency(self, _count: int) -> None:
        """Do nothing."""

    def take_effects(self) -> list[Any]:
        return []

    @property
    def evacuated_run_count(self) -> int:
        return 0

    @property
    def has_more_to_place(self) -> bool:
        return False


@pytest.mark.parametrize("step", ["_tick", "_batch_stored"])
def test_a_suspension_after_the_check_of_the_authority_extends_no_lease(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    time = Time(monkeypatch)
    holder: Any = object.__new__(Holder)
    holder._is_stopped = False
    scheduler = holder.scheduler = RecordingScheduler()
    holder._advice = holder._writer = Anything()
    holder._dependencies = SimpleNamespace(metrics=NodeMetrics())

    def check() -> None:
        time.now += SUSPENDED_S

    holder._update_authority = check
    holder._remove_expired_jobs = holder._schedule_tick = lambda: None
    getattr(holder, step)(*([None] if step == "_batch_stored" else []))
    assert scheduler.times == [100.0]


class Anything:
    """Stands in for components that do nothing here."""

    def available_concurrency(self) -> int:
        return 1

    def start_writing(self) -> None:
        """Do nothing."""


class SlowPeers:
    """Other nodes whose replies are read when the test says so."""

    def __init__(self) -> None:
        """Begin with two nodes."""
        self.peers = {MemberId("a"), MemberId("b")}
        self.pending: list[Deferred[Any]] = []

    def connected_peers(self) -> list[MemberId]:
        return sorted(self.peers)

    def next_call_id(self) -> int:
        return 1

    async def call(self, _to: Any, _query: Any, _timeout_s: float) -> Any:
        pending: Deferred[Any] = Deferred()
        self.pending.append(pending)
        return await pending


def test_replies_read_after_a_suspension_do_not_restore_the_authority(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # While it was suspended, the store may have come back and another node taken over.
    time = Time(monkeypatch)
    peers: Any = SlowPeers()
    check = AuthorityCheck(None, peers)
    heartbeat_at = Instant(time.now - QUERY_AFTER_S - 0.1)
    check.check(heartbeat_at)
    time.now += SUSPENDED_S
    for pending in peers.pending:
        pending.callback(StoreAgeReply(1, STORE_CONTACT_TIMEOUT_MS + 500))
    assert time.now - heartbeat_at > RENEWAL_LIMIT_S
    assert check.check(heartbeat_at) is HolderAuthority.NONE
