"""Tests of one member's reading and writing of the log."""

from tamarackmount.ids import DataCentreId, Epoch, Instant, MemberId, Offset
from tamarackmount.kernel.effects import ReadLog
from tamarackmount.kernel.epochs import epoch_of_offset
from tamarackmount.kernel.log_records import ConfigSnapshot, LoggedOwner, OwnerClaim
from tamarackmount.kernel.log_state_machine import (
    ClaimAccepted,
    ClaimKnown,
    LogOutput,
    LogStateMachine,
)
from tests.utils.fake_log import FakeLog

DC = DataCentreId("dc1")
A, B = MemberId("a"), MemberId("b")
NOW = Instant(1.0)
NEVER = Epoch(0)


def claim(expected: Epoch = NEVER, member_id: MemberId = A) -> OwnerClaim:
    return OwnerClaim(data_centre=DC, member_id=member_id, expected=expected)


def make_state_machine(name: str = "a") -> LogStateMachine:
    return LogStateMachine(MemberId(name), "1", 100.0, 2.0, Instant(0.0))


def read_all(reader: LogStateMachine, log: FakeLog, now: Instant = NOW) -> LogOutput:
    output = LogOutput([], [])
    while True:
        step = reader.page_read(log.page(reader.config.applied), now, now)
        output.events.extend(step.events)
        if not any(isinstance(effect, ReadLog) for effect in step.effects):
            return output


def claims(step: LogOutput) -> list[tuple[MemberId, Epoch]]:
    return [
        (event.member_id, event.epoch)
        for event in step.events
        if isinstance(event, ClaimAccepted)
    ]


def test_the_first_of_two_claims_on_one_epoch_is_accepted() -> None:
    log = FakeLog()
    log.add(claim())
    log.add(claim(member_id=B))
    first = epoch_of_offset(Offset(1))
    log.add(claim(first, B))
    assert claims(read_all(make_state_machine(), log)) == [
        (A, first),
        (B, epoch_of_offset(Offset(3))),
    ]


def test_a_claim_on_a_term_begun_without_the_log_is_accepted() -> None:
    log = FakeLog()
    log.add(claim())
    log.add(claim(Epoch(epoch_of_offset(Offset(1)) + 77), B))
    assert len(claims(read_all(make_state_machine(), log))) == 2


def test_only_claims_of_this_run_are_its_own() -> None:
    log = FakeLog()
    for name in ("a/0/1", "a/1/1"):
        epoch = epoch_of_offset(Offset(log.next_offset - 1))
        log.add(claim(epoch, A), name)
    events = read_all(make_state_machine(), log).events
    owned = [event.is_own for event in events if isinstance(event, ClaimAccepted)]
    assert owned == [False, True]


def test_claims_after_a_gap_wait_for_a_snapshot() -> None:
    log = FakeLog()
    log.add(claim())
    first = epoch_of_offset(Offset(1))
    stale, right = claim(Epoch(0), B), claim(first, B)
    for record in (stale, right):
        log.add(record)
    owner = LoggedOwner(data_centre=DC, epoch=first)
    log.keep = 2
    reader = make_state_machine()
    assert not claims(read_all(reader, log))
    assert not reader.knows_claims
    log.add(ConfigSnapshot(applied=Offset(2), entries=[], owners=[owner]))
    step = read_all(reader, log)
    assert ClaimKnown(DC, first) in step.events
    assert claims(step) == [(B, epoch_of_offset(Offset(3)))]
    assert reader.knows_claims


def test_readers_of_the_whole_log_and_of_its_retained_part_agree() -> None:
    log = FakeLog()
    whole = make_state_machine("w")
    for index in range(300):
        epoch = whole._claims.owners()[0].epoch if index else Epoch(0)
        log.add(claim(epoch, B))
        read_all(whole, log)
        if index == 200:
            snapshot = whole.config.snapshot(whole._claims.owners())
            log.add(snapshot)
    log.keep = 150
    retained = make_state_machine("r")
    read_all(retained, log)
    assert retained._claims.owners() == whole._claims.owners()


def test_an_unreadable_record_does_not_stop_the_reading() -> None:
    log = FakeLog()
    log.store(A, "nonsense")  # type: ignore[arg-type]
    log.add(claim())
    assert claims(read_all(make_state_machine(), log))


def test_the_age_of_the_log_counts_from_when_the_read_was_sent() -> None:
    reader = make_state_machine()
    log = FakeLog()
    reader.page_read(log.page(Offset(1)), Instant(5.0), Instant(9.0))
    reader.page_read(log.page(Offset(1)), Instant(4.0), Instant(9.5))
    assert reader.end_read_age_s(Instant(10.0)) == 5.0
    assert not reader.is_fresh(2.0, Instant(10.0))
