"""Tests of the log stand-in: offsets, append limit, retention and faults."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import ValidationError
from returns.result import Failure

from tamarackmount.ids import Instant, Offset
from tamarackmount.standins.log_store import FIRST_OFFSET, LogRefusal, LogStore
from tests.utils.build_platform_messages import an_append

START = Instant(100.0)


def a_store(keep: int = 100, max_appends_per_second: int = 500) -> LogStore:
    return LogStore(keep, max_appends_per_second)


def test_records_of_a_group_get_consecutive_offsets() -> None:
    store = a_store()
    first = store.append(START, an_append("a", "b")).unwrap()
    second = store.append(START, an_append("c")).unwrap()
    assert first.reply.first_offset == FIRST_OFFSET
    assert second.reply.first_offset == FIRST_OFFSET + 2
    page = store.read(FIRST_OFFSET, 10).unwrap()
    assert [(record.offset, record.id) for record in page.records] == [
        (1, "a"),
        (2, "b"),
        (3, "c"),
    ]
    assert page.next_offset == FIRST_OFFSET + 3


def test_retention_drops_the_oldest_records_and_reports_the_first_offset() -> None:
    store = a_store(keep=2)
    store.append(START, an_append("a", "b", "c"))
    page = store.read(FIRST_OFFSET, 10).unwrap()
    assert page.first_offset == 2
    assert [record.id for record in page.records] == ["b", "c"]


def test_appends_over_the_limit_are_rejected_until_the_window_has_passed() -> None:
    store = a_store(max_appends_per_second=2)
    store.append(START, an_append("a"))
    store.append(Instant(START + 0.5), an_append("b"))
    refused = store.append(Instant(START + 0.9), an_append("c"))
    assert refused == Failure(LogRefusal.TOO_MANY_APPENDS)
    store.append(Instant(START + 1.0), an_append("d")).unwrap()
    assert store.append(Instant(START + 1.4), an_append("e")) == refused
    page = store.read(FIRST_OFFSET, 10).unwrap()
    assert [record.id for record in page.records] == ["a", "b", "d"]


def test_log_that_is_down_rejects_calls_without_effect() -> None:
    store = a_store()
    store.set_faults_json(b'{"mode": "down"}')
    assert store.append(START, an_append("a")) == Failure(LogRefusal.DOWN)
    assert store.read(FIRST_OFFSET, 10) == Failure(LogRefusal.DOWN)
    store.set_faults_json(b"{}")
    assert store.read(FIRST_OFFSET, 10).unwrap().records == []


def test_append_with_a_lost_reply_takes_effect_and_uses_up_the_fault() -> None:
    store = a_store()
    store.set_faults_json(b'{"lose_replies": 1}')
    assert store.append(START, an_append("a")).unwrap().reply_lost
    assert not store.append(START, an_append("b")).unwrap().reply_lost
    state = store.state()
    assert (state["appends"], state["records"], state["replies_lost"]) == (2, 2, 1)


def test_only_the_slow_mode_delays_replies() -> None:
    store = a_store()
    store.set_faults_json(b'{"delay_ms": 250}')
    assert store.reply_delay_s == 0.0
    store.set_faults_json(b'{"mode": "slow", "delay_ms": 250}')
    assert store.reply_delay_s == 0.25


@pytest.mark.parametrize(
    "body", [b'{"mood": "up"}', b'{"mode": "off"}', b'{"delay_ms": -1}', b"[]", b""]
)
def test_malformed_faults_are_rejected_and_change_nothing(body: bytes) -> None:
    store = a_store()
    store.set_faults_json(b'{"mode": "down"}')
    with pytest.raises(ValidationError):
        store.set_faults_json(body)
    assert store.state()["faults"]["mode"] == "down"


@given(
    groups=st.lists(st.integers(1, 7), max_size=20),
    keep=st.integers(1, 30),
    limit=st.integers(1, 9),
)
def test_pages_contain_exactly_the_retained_records_in_order(
    groups: list[int], keep: int, limit: int
) -> None:
    store = a_store(keep=keep)
    names: list[str] = []
    for size in groups:
        group = [f"r{len(names) + index}" for index in range(size)]
        store.append(START, an_append(*group))
        names += group
    read: list[str] = []
    offset = store.read(FIRST_OFFSET, 1).unwrap().first_offset
    while offset < store.state()["next_offset"]:
        page = store.read(offset, limit).unwrap()
        assert [record.offset for record in page.records] == list(
            range(offset, offset + len(page.records))
        )
        read += [record.id for record in page.records]
        offset = Offset(offset + len(page.records))
    assert read == names[-keep:]
