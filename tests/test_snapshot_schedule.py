"""Tests of when members write snapshots, and that a large fleet writes few."""

from tamarackmount.adapters.log_schema import RecordPage
from tamarackmount.ids import Instant, MemberId, Offset, RecordId
from tamarackmount.kernel.snapshot_schedule import SnapshotSchedule, spread_s

POLL_S = 0.5
WRITE_S = 0.5


def build_page(kept: int) -> RecordPage:
    return RecordPage(first_offset=Offset(1), next_offset=Offset(1 + kept), records=[])


def due_at(schedule: SnapshotSchedule, page: RecordPage) -> float:
    """Return when a member that polls writes its snapshot."""
    now = 0.0
    while not schedule.is_due(page, Instant(now)):
        now += POLL_S
    return now


def build_fleet(size: int) -> list[SnapshotSchedule]:
    spread = spread_s(size)
    return [SnapshotSchedule(MemberId(f"m{index}"), spread) for index in range(size)]


def test_short_log_needs_no_snapshot() -> None:
    (schedule,) = build_fleet(1)
    assert not schedule.is_due(build_page(10), Instant(1_000.0))


def test_no_snapshot_is_due_after_another_member_wrote_one() -> None:
    (schedule,) = build_fleet(1)
    page = build_page(200)
    assert due_at(schedule, page) <= spread_s(1) + POLL_S
    schedule.seen(Offset(150))
    assert not schedule.is_due(page, Instant(1_000.0))


def test_only_one_snapshot_is_written_at_a_time() -> None:
    (schedule,) = build_fleet(1)
    page = build_page(200)
    due_at(schedule, page)
    schedule.written(RecordId("r"))
    assert not schedule.is_due(page, Instant(1_000.0))
    schedule.settled(RecordId("r"))
    assert not schedule.is_due(page, Instant(1_000.0))
    assert schedule.is_due(page, Instant(1_000.0 + spread_s(1)))


def test_few_members_of_a_large_fleet_write_before_the_first_is_read() -> None:
    times = sorted(due_at(schedule, build_page(200)) for schedule in build_fleet(88))
    first_is_read_at = times[0] + WRITE_S + POLL_S
    writers = [at for at in times if at < first_is_read_at]
    assert len(writers) <= 5
