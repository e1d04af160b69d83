"""Tests of batched, rate-limited writing to the log and of lost replies."""

from tamarackmount.ids import Instant, RecordId
from tamarackmount.kernel.log_writer import (
    GROUP_DELAY_S,
    AppendResult,
    LogWriter,
    LogWriterEffect,
    PendingRecord,
    ReadBack,
    RecordSettled,
    SendAppend,
    WriteResult,
)


def pending(name: str, deadline: float = 5.0) -> PendingRecord:
    return PendingRecord(RecordId(name), name, Instant(deadline))


def writer(rate: float = 100.0) -> LogWriter:
    return LogWriter(rate, Instant(0.0))


def sent(effects: list[LogWriterEffect]) -> list[str]:
    sends = [effect for effect in effects if isinstance(effect, SendAppend)]
    return [record.id for send in sends for record in send.records]


def settled(effects: list[LogWriterEffect]) -> dict[str, WriteResult]:
    return {
        effect.id: effect.result
        for effect in effects
        if isinstance(effect, RecordSettled)
    }


def test_records_written_together_are_sent_in_one_append() -> None:
    log = writer()
    log.write([pending("a")], Instant(0.0))
    log.write([pending("b"), pending("a")], Instant(0.01))
    assert not log.tick(Instant(0.01))
    assert sent(log.tick(Instant(GROUP_DELAY_S))) == ["a", "b"]


def test_a_steady_stream_does_not_delay_an_append() -> None:
    log = writer()
    for step in range(10):
        log.write([pending(str(step))], Instant(step * GROUP_DELAY_S / 2))
    assert sent(log.tick(Instant(4.6 * GROUP_DELAY_S)))


def test_only_one_append_is_in_flight() -> None:
    log = writer()
    log.write([pending("a")], Instant(0.0))
    assert sent(log.tick(Instant(0.1))) == ["a"]
    log.write([pending("b")], Instant(0.1))
    assert not sent(log.tick(Instant(0.2)))
    assert settled(log.appended(AppendResult.DONE, Instant(0.2))) == {
        "a": WriteResult.WRITTEN
    }
    assert sent(log.tick(Instant(0.3))) == ["b"]


def test_appends_stay_within_the_rate_limit() -> None:
    log = writer(rate=4.0)
    appends = 0
    for step in range(1_000):
        now = Instant(step * 0.01)
        log.write([pending(str(step), 100.0)], now)
        if sent(log.tick(now)):
            appends += 1
            log.appended(AppendResult.DONE, now)
    assert 38 <= appends <= 41


def test_a_lost_reply_is_resolved_by_reading_the_log() -> None:
    log = writer()
    log.write([pending("a"), pending("b")], Instant(0.0))
    log.tick(Instant(0.1))
    assert log.appended(AppendResult.UNKNOWN, Instant(0.2)) == [ReadBack()]
    log.seen([RecordId("a")])
    log.read_back(Instant(0.3))
    assert sent(log.tick(Instant(1.0))) == ["b"]


def test_a_record_once_in_doubt_is_never_reported_as_not_written() -> None:
    log = writer()
    log.write([pending("a")], Instant(0.0))
    log.tick(Instant(0.1))
    log.appended(AppendResult.UNKNOWN, Instant(0.2))
    log.read_back(Instant(0.3))
    log.tick(Instant(1.0))
    log.appended(AppendResult.NOT_DONE, Instant(1.1))
    assert settled(log.tick(Instant(5.0))) == {"a": WriteResult.UNKNOWN}


def test_a_record_whose_append_was_not_done_is_not_written() -> None:
    log = writer()
    log.write([pending("a")], Instant(0.0))
    log.tick(Instant(0.1))
    log.appended(AppendResult.NOT_DONE, Instant(0.2))
    assert settled(log.tick(Instant(5.0))) == {"a": WriteResult.NOT_WRITTEN}


def test_lost_reply_expires_at_its_deadline_and_writing_resumes_after_the_outage() -> (
    None
):
    log = writer()
    log.write([pending("a")], Instant(0.0))
    log.tick(Instant(0.1))
    log.appended(AppendResult.UNKNOWN, Instant(0.2))
    log.write([pending("b")], Instant(0.3))
    late = log.tick(Instant(5.0))
    assert settled(late) == {"a": WriteResult.UNKNOWN, "b": WriteResult.NOT_WRITTEN}
    log.write([pending("c", 9_999.0)], Instant(3_600.0))
    assert not sent(log.tick(Instant(3_601.0)))
    log.read_back(Instant(3_602.0))
    assert sent(log.tick(Instant(3_603.0))) == ["c"]
