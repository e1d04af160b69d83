"""All processes are killed at once and start again."""

import pytest

from tamarackmount.ids import Instant
from tamarackmount.node import clock
from tamarackmount.node.claims import HOLDER_TOPIC
from tamarackmount.node.holder_election import CLAIM_CHECK_INTERVAL_S
from tests.utils.memory_peers import STEP_S, MemoryFleet


def test_the_first_claim_does_not_wait_for_the_interval_of_checks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Nothing is scheduled until the claim, and urgent jobs have half a second to spare.
    fleet = MemoryFleet(3)
    monkeypatch.setattr(clock, "now", lambda: Instant(fleet.clock.seconds()))
    for number in range(3):
        fleet.register(f"n{number}", cores=1.0)
    fleet.start_claiming()
    for number in range(3):
        fleet.kill(number)
    claims = len(fleet.store.records(HOLDER_TOPIC))
    restarted_at = fleet.clock.seconds()
    for number in range(3):
        fleet.restart(number)
        fleet.node(number).start_claiming()
    while len(fleet.store.records(HOLDER_TOPIC)) == claims:
        fleet.run_for(STEP_S)
    assert fleet.clock.seconds() - restarted_at < CLAIM_CHECK_INTERVAL_S
