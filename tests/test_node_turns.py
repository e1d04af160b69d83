"""Turns of the event loop that the holder's work holds."""

import logging
import re

import pytest

from tamarackmount.ids import Instant
from tamarackmount.node import clock
from tamarackmount.node.metrics import NodeMetrics
from tamarackmount.node.turns import LONG_TURN_S, TurnWork
from tamarackmount.scheduling.scheduler import Scheduler
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
    [("tick", TurnWork.DECISIONS), ("restore", TurnWork.RESTORE)],
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

    monkeypatch.setattr(Scheduler, method, take_long)
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
