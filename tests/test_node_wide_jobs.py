"""The holder's turns while tasks of a wide job are left to place."""

import pytest

from tamarackmount.ids import Instant
from tamarackmount.node import clock
from tamarackmount.node.holder import TICK_INTERVAL_S
from tamarackmount.scheduling.scheduler import Scheduler
from tests.utils.memory_peers import STEP_S, MemoryFleet

TURNS = 40


def decisions_in_turns(fleet: MemoryFleet, monkeypatch: pytest.MonkeyPatch) -> int:
    """Return how many decisions the holder takes in a number of turns."""
    tick, count = Scheduler.tick, 0

    def counted_tick(scheduler: Scheduler, now: Instant, unix_ms: int) -> None:
        nonlocal count
        count += 1
        tick(scheduler, now, unix_ms)

    monkeypatch.setattr(Scheduler, "tick", counted_tick)
    fleet.run_for(TURNS * STEP_S)
    return count


@pytest.mark.parametrize("has_more", [False, True])
def test_the_rest_of_a_wide_job_waited_for_the_next_regular_decision(
    has_more: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = MemoryFleet(1)
    fleet.register("n0", cores=1.0)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    fleet.start_claiming()
    assert fleet.holder() == "n0"
    monkeypatch.setattr(Scheduler, "has_more_to_place", has_more)
    count = decisions_in_turns(fleet, monkeypatch)
    if has_more:
        assert count >= TURNS
    else:
        assert count <= TURNS * STEP_S / TICK_INTERVAL_S + 1
