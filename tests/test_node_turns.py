"""Turns of the event loop that the holder's work holds."""

import inspect
import logging
import re
from collections.abc import Iterator
from typing import Any

import pytest

from tamarackmount.ids import Instant
from tamarackmount.node import clock
from tamarackmount.node.context import JOBS_TOPIC
from tamarackmount.node.holder import RESTORE_TURN_S
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.turns import LONG_TURN_S, TurnWork
from tamarackmount.platform.store import KeyedRecord
from tamarackmount.scheduling.domain.model import JobPhase
from tamarackmount.scheduling.scheduler import Scheduler
from tamarackmount.scheduling.store.journal import (
    CancelRecord,
    RecordKind,
    encode_record,
    job_key,
    record_key,
)
from tests.utils.build_scheduling import UNIX_MS, job
from tests.utils.memory_peers import STEP_S, MemoryFleet

NAME = "tamarackmount_longest_turn_seconds"


def longest_turns(metrics: NodeMetrics) -> dict[str, float]:
    """Return the longest turn of each work, in seconds."""
    text = metrics.render().decode()
    rows = re.findall(rf'^{NAME}\{{work="([^"]+)"\}} (\S+)$', text, re.MULTILINE)
    return {work: float(value) for work, value in rows}


def test_the_shorter_of_two_turns_hid_the_longer_one() -> None:
    metrics = NodeMetrics()
    for took_s in (0.1, 0.3, 0.2):
        metrics.record_turn(TurnWork.RESTORE.value, took_s)
    assert longest_turns(metrics) == {"restore": 0.3}


@pytest.mark.parametrize(
    ("method", "work"),
    [("tick", TurnWork.DECISIONS), ("restore_in_steps", TurnWork.RESTORE)],
)
@pytest.mark.parametrize("is_long", [False, True])
def test_nobody_was_told_what_held_the_event_loop(
    method: str,
    work: TurnWork,
    is_long: bool,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    fleet = MemoryFleet(1)
    fleet.register("n0", cores=1.0)
    took_s = LONG_TURN_S * (2.0 if is_long else 0.5)
    original, passed_s = getattr(Scheduler, method), 0.0

    def take_long(*arguments: object) -> object:
        nonlocal passed_s
        passed_s += took_s
        return original(*arguments)

    def take_long_in_first_step(*arguments: object) -> Iterator[None]:
        nonlocal passed_s
        passed_s += took_s
        yield from original(*arguments)

    is_generator = inspect.isgeneratorfunction(original)
    replacement = take_long_in_first_step if is_generator else take_long
    monkeypatch.setattr(Scheduler, method, replacement)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds() + passed_s))
    with caplog.at_level(logging.WARNING, logger="tamarackmount.node.turns"):
        fleet.start_claiming()
        fleet.run_for(2 * STEP_S)
    logged = {
        (record.__dict__["work"], record.__dict__["took_s"])
        for record in caplog.records
        if record.getMessage() == "event loop held"
    }
    assert logged == ({(work.value, took_s)} if is_long else set())
    turns = longest_turns(fleet.node(0)._context.metrics)
    assert turns[work.value] == pytest.approx(took_s)


def test_many_jobs_were_restored_in_one_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a new holder that sends no heartbeats before it has restored all.
    fleet = MemoryFleet(1)
    fleet.register("n0", cores=1.0)
    step_s, steps, passed_s = 0.3 * RESTORE_TURN_S, 100, 0.0
    turns_s: list[float] = []

    def take_long(*_: object) -> Iterator[None]:
        nonlocal passed_s
        for _step in range(steps):
            passed_s += step_s
            yield

    def record_turn(_: NodeMetrics, work: str, took_s: float) -> None:
        if work == TurnWork.RESTORE.value:
            turns_s.append(took_s)

    monkeypatch.setattr(Scheduler, "restore_in_steps", take_long)
    monkeypatch.setattr(NodeMetrics, "record_turn", record_turn)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds() + passed_s))
    fleet.start_claiming()
    fleet.run_for(2 * STEP_S)
    assert sum(turns_s) == pytest.approx(steps * step_s)
    assert max(turns_s) <= RESTORE_TURN_S + step_s
    assert fleet.node(0)._election.holder is not None


def test_a_job_that_came_while_others_were_restored_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against jobs and cancellations that are stored between two turns.
    fleet = MemoryFleet(1)
    fleet.register("n0", cores=1.0)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    early, late = job(1), job(2)
    fleet.store.put(JOBS_TOPIC, KeyedRecord(job_key(early), encode_record(early)))
    fleet.run_for(0.5)
    original = Scheduler.restore_in_steps

    def store_meanwhile(*arguments: Any) -> Iterator[None]:
        yield from original(*arguments)
        index = fleet.node(0)._context.job_index
        index.apply(job_key(late), encode_record(late))
        cancelled = encode_record(CancelRecord(UNIX_MS))
        index.apply(record_key(RecordKind.CANCEL, early.job_id), cancelled)

    monkeypatch.setattr(Scheduler, "restore_in_steps", store_meanwhile)
    fleet.start_claiming()
    holder = fleet.node(0)._election.holder
    assert holder is not None
    assert holder.phase(early.job_id) is JobPhase.CANCELLED
    assert holder.phase(late.job_id) is JobPhase.QUEUED
